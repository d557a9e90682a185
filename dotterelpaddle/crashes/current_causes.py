"""The causes among all suspects of a router, found anew when something has changed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.crashes.blocks import MIN_CRASHES_TO_BLOCK
from dotterelpaddle.crashes.causes import (
    MIN_CRASHES_OF_NEW_PART,
    added_crashes,
    find_causes,
)
from dotterelpaddle.crashes.subjects import (
    PartSubject,
    fingerprint_text,
    part_text,
)
from dotterelpaddle.crashes.suspects import MIN_IN_TURN
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.crashes.suspects import Suspect
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)

MIN_CRASHES_THAT_COUNT = min(MIN_CRASHES_TO_BLOCK, MIN_CRASHES_OF_NEW_PART, MIN_IN_TURN)
"""Crashes of a suspect without which it changes no result."""

SETTLE_SECONDS = 1.0
"""Seconds within which routers tell each other what they know of a new cause: crashes
that explain it better, and answers to requests with the part."""


class CurrentCauses:
    """Finds the causes and remembers since when each is one.

    Args:
        suspects: Returns all suspects.
        all_crashes: The crashes of whatever ran.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        suspects: Callable[[], Mapping[CrashSubject, Suspect]],
        all_crashes: Suspect,
        clock: Clock,
    ) -> None:
        self._suspects = suspects
        self._all_crashes = all_crashes
        self._clock = clock
        self._cached: frozenset[CrashSubject] | None = None
        self._expires_at: float | None = None
        self._since: dict[CrashSubject, float] = {}

    @property
    def subjects(self) -> frozenset[CrashSubject]:
        """The causes."""
        if self._cached is None or self._has_expired():
            self._cached = self._find(now=self._clock())
        return self._cached

    def invalidate(self) -> None:
        """Record that the suspects have changed."""
        self._cached = None

    def is_settled(self, subject: CrashSubject) -> bool:
        """Return whether other routers had time to object to a cause."""
        return self._clock() - self._since[subject] >= SETTLE_SECONDS

    def would_include(
        self, *, subject: CrashSubject, suspect: Suspect, live: int
    ) -> bool:
        """Return whether a subject is a cause if all its attempts in flight crash.

        Crashes that a cause explains don't count. Sound parts run at several endpoints
        at a time, so one crash of a part isn't enough.

        Args:
            subject: The subject.
            suspect: Its crashes.
            live: Number of its attempts in flight.
        """
        suspects = self._suspects()
        explained: frozenset[EndpointId] = frozenset().union(
            *(suspects[each].crashes for each in self.subjects)
        )
        crashes = len(suspect.crashes.keys() - explained)
        others = self._all_crashes.crashes.keys() - suspect.crashes.keys() - explained
        required = MIN_CRASHES_TO_BLOCK + added_crashes(unexplained=len(others))
        if isinstance(subject, PartSubject) and (
            suspect.was_answered or crashes < required - 1
        ):
            return False
        return crashes < required <= crashes + live

    def _has_expired(self) -> bool:
        # The clock is read only where time alone may add a cause.
        return self._expires_at is not None and self._clock() >= self._expires_at

    def _find(self, *, now: float) -> frozenset[CrashSubject]:
        suspects = self._suspects()
        # One crash neither makes a cause nor speaks against another one.
        repeated = {
            subject: suspect
            for subject, suspect in suspects.items()
            if len(suspect.crashes) >= MIN_CRASHES_THAT_COUNT
        }
        causes = find_causes(
            suspicions={
                subject: suspect.suspicion(now=now)
                for subject, suspect in repeated.items()
            },
            min_crashes=MIN_CRASHES_TO_BLOCK,
            crashed_endpoints=frozenset(self._all_crashes.crashes),
        )
        times = (each.conclusive_at() for each in repeated.values())
        self._expires_at = min(
            (at for at in times if at is not None and at > now), default=None
        )
        for subject in causes - self._since.keys():
            log.info(
                "crash_cause_found",
                fingerprint=fingerprint_text(subject),
                part=part_text(subject),
                ended=len(suspects[subject].crashes),
            )
        self._since = {subject: self._since.get(subject, now) for subject in causes}
        return causes
