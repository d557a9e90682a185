"""Requests under which endpoints ended, as all routers know them.

A request may crash each endpoint that begins to run it. Its caller sends it again, with
another id, to any router; so what is known of it is kept by its fingerprint and told to
all routers. Most requests under which an endpoint ended only happened to be there: they
are served elsewhere, and a whole answer ends the suspicion everywhere.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RequestBlocked
from dotterelpaddle.forwarding.crash_causes import Suspicion, find_causes
from dotterelpaddle.forwarding.report_state import ReportState
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId, Fingerprint

log = get_logger(name=__name__)

MIN_CRASHES_TO_BLOCK = 3
"""Endpoints that may end under one request before it is blocked. One or two end by
chance under a request that is sent on during a series of crashes; three seldom do."""

MIN_BLOCK_SECONDS = 60.0
"""Seconds for which a request is blocked first; then it is tried once more."""

MAX_BLOCK_SECONDS = 600.0
"""Seconds for which it is blocked at most, each time twice as long as before."""

SUSPICION_SECONDS = 60.0
"""Seconds after the last end under a request after which none counts any more; a block
comes on top."""

MAX_ATTEMPT_SECONDS = 3.0
"""Seconds for which a try counts as under way; a stream begins within them or waits."""

ATTEMPT_RETRY_AFTER_SECONDS = 1.0
"""Seconds after which a caller may come back while its request is tried elsewhere."""

MAX_SUSPECTS = 256
"""Requests that are remembered, 200 KB: some ends of endpoints with all they ran."""

REPORT_INTERVAL_SECONDS = 2.0
"""Seconds until the ends under a request are told again if there are several, to
routers that were cut off or have just started."""

SINGLE_CRASH_REPORT_INTERVAL_SECONDS = 10.0
"""The same of a single end; most of these are of requests that nobody sends again."""

MAX_NOTES_PER_REPORT = 12
"""Notes in one report, 0.7 KB."""


class NoteKind(Enum):
    """What a note tells of a request."""

    ENDED = "ended"
    TRIED = "tried"
    SERVED = "served"


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashNote:
    """One thing that a router has seen of a request, as it tells others.

    Attributes:
        kind: What.
        fingerprint: The request.
        endpoint: The start of an endpoint that ended under it, or is trying it; empty
            if it was served.
        age: Seconds since then.
        begun: Whether its answer had begun there, and had brought nothing yet.
    """

    kind: NoteKind
    fingerprint: Fingerprint
    endpoint: EndpointId | None = None
    age: float = 0.0
    begun: bool = False


@dataclass(kw_only=True, slots=True)
class _Observation:
    """When something was seen, and whether it is still to be told."""

    at: float
    begun: bool = False
    report_state: ReportState = field(default_factory=ReportState)


@dataclass(kw_only=True, slots=True)
class _Suspect:
    """What is known of one request."""

    crashes: dict[EndpointId, _Observation] = field(default_factory=dict)
    attempts: dict[EndpointId, _Observation] = field(default_factory=dict)
    served: _Observation | None = None

    @property
    def last_crash_at(self) -> float:
        """When the last endpoint ended under it."""
        return max((seen.at for seen in self.crashes.values()), default=float("-inf"))

    @property
    def last_seen_at(self) -> float:
        """When anything was last seen of it."""
        served = self.served.at if self.served is not None else float("-inf")
        return max(self.last_crash_at, served)

    @property
    def suspicion(self) -> Suspicion:
        """What speaks for it as the cause of the ends."""
        return Suspicion(
            crashed_endpoints=frozenset(self.crashes),
            begun_count=sum(seen.begun for seen in self.crashes.values()),
        )

    def forget_before(self, *, at: float) -> None:
        """Forget what was seen until a moment."""
        for seen in (self.crashes, self.attempts):
            for endpoint in [each for each in seen if seen[each].at <= at]:
                del seen[endpoint]


class CrashTracker:
    """Remembers under which requests endpoints ended, and blocks the cause of it.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._cached_causes: frozenset[Fingerprint] | None = None

    @property
    def suspect_count(self) -> int:
        """Requests under which an endpoint ended of late."""
        return sum(bool(suspect.crashes) for suspect in self._suspects.values())

    @property
    def blocked_count(self) -> int:
        """Requests that are blocked, or would be tried once more."""
        return len(self._causes())

    def check(self, *, fingerprint: Fingerprint) -> None:
        """Let a request pass unless endpoints end under it.

        Raises:
            RequestBlocked: If it may not be sent to an endpoint now.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return
        now = self._clock()
        tries = self._attempts_in_flight(suspect)
        if fingerprint in self._causes():
            left = (
                suspect.last_crash_at
                + _block_seconds(crash_count=len(suspect.crashes))
                - now
            )
            if left > 0.0 or tries:
                raise self._blocked_error(
                    suspect=suspect,
                    attempts=tries,
                    wait=max(left, ATTEMPT_RETRY_AFTER_SECONDS),
                )
        elif (
            len(suspect.crashes) < MIN_CRASHES_TO_BLOCK <= len(suspect.crashes) + tries
        ):
            raise self._blocked_error(
                suspect=suspect, attempts=tries, wait=ATTEMPT_RETRY_AFTER_SECONDS
            )

    def begin_attempt(self, *, fingerprint: Fingerprint, endpoint: EndpointId) -> None:
        """Note that a suspect is sent to an endpoint, for the other routers."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.crashes:
            suspect.attempts[endpoint] = _Observation(at=self._clock())

    def end_attempt(self, *, fingerprint: Fingerprint, endpoint: EndpointId) -> None:
        """Note that a try came to an end, and its endpoint did not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.attempts.pop(endpoint, None)

    def record_crash(
        self, *, fingerprint: Fingerprint, endpoint: EndpointId, at: float, begun: bool
    ) -> None:
        """Note that an endpoint ended under a request."""
        self._apply_crash(fingerprint, endpoint, _Observation(at=at, begun=begun))

    def record_served(self, *, fingerprint: Fingerprint) -> None:
        """Note that an endpoint answered a request and did not end."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.crashes:
            self._clear(fingerprint, suspect, _Observation(at=self._clock()))

    def receive(self, *, notes: Iterable[CrashNote], forward: bool) -> None:
        """Take in what another router has seen.

        Args:
            notes: What it told.
            forward: Whether others hear of it through this router.
        """
        now = self._clock()
        for note in notes:
            telling = (
                ReportState()
                if forward
                else ReportState(reports_left=0, reported_at=now)
            )
            seen = _Observation(
                at=now - note.age, begun=note.begun, report_state=telling
            )
            match note.kind:
                case NoteKind.ENDED if note.endpoint:
                    self._apply_crash(note.fingerprint, note.endpoint, seen)
                case NoteKind.TRIED if note.endpoint:
                    self._apply_attempt(note.fingerprint, note.endpoint, seen)
                case NoteKind.SERVED:
                    suspect = self._suspects.get(note.fingerprint)
                    if suspect is not None:
                        self._clear(note.fingerprint, suspect, seen)

    def take_due_notes(self) -> list[CrashNote]:
        """What to tell in the next report, what matters most first."""
        now = self._clock()
        self._expire(now=now)
        due = [each for each in self._observations() if _is_due(each, now=now)]
        due.sort(
            key=lambda each: (
                each.crash_count,
                each.observation.report_state.reports_left,
            ),
            reverse=True,
        )
        told = due[:MAX_NOTES_PER_REPORT]
        for each in told:
            each.observation.report_state.mark_reported(now=now)
        return [each.note(now=now) for each in told]

    def _apply_crash(
        self, fingerprint: Fingerprint, endpoint: EndpointId, seen: _Observation
    ) -> None:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        if suspect.served is not None and suspect.served.at >= seen.at:
            # Whoever still tells of it has not heard of the answer.
            suspect.served.report_state.report_again()
            return
        if endpoint in suspect.crashes:
            return
        suspect.crashes[endpoint] = seen
        suspect.attempts.pop(endpoint, None)
        self._cached_causes = None
        log.info(
            "request_suspected",
            fingerprint=fingerprint,
            endpoint=endpoint,
            seconds_ago=round(self._clock() - seen.at, 3),
            begun=seen.begun,
            ended=len(suspect.crashes),
        )
        self._evict()

    def _apply_attempt(
        self, fingerprint: Fingerprint, endpoint: EndpointId, seen: _Observation
    ) -> None:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        is_old = suspect.served is not None and suspect.served.at >= seen.at
        if not is_old and endpoint not in suspect.crashes:
            suspect.attempts.setdefault(endpoint, seen)
        self._evict()

    def _clear(
        self, fingerprint: Fingerprint, suspect: _Suspect, seen: _Observation
    ) -> None:
        if suspect.served is not None and suspect.served.at >= seen.at:
            return
        was_blocked = fingerprint in self._causes()
        suspect.served = seen
        suspect.forget_before(at=seen.at)
        self._cached_causes = None
        if was_blocked:
            log.info("request_block_ended", fingerprint=fingerprint, cause="served")

    def _attempts_in_flight(self, suspect: _Suspect) -> int:
        oldest = self._clock() - MAX_ATTEMPT_SECONDS
        return sum(
            seen.at > oldest and endpoint not in suspect.crashes
            for endpoint, seen in suspect.attempts.items()
        )

    def _causes(self) -> frozenset[Fingerprint]:
        """Requests that are blocked, or would be tried once more."""
        if self._cached_causes is None:
            self._cached_causes = find_causes(
                suspicions={
                    fingerprint: suspect.suspicion
                    for fingerprint, suspect in self._suspects.items()
                },
                min_crashes=MIN_CRASHES_TO_BLOCK,
            )
        return self._cached_causes

    def _blocked_error(
        self, *, suspect: _Suspect, attempts: int, wait: float
    ) -> RequestBlocked:
        now = self._clock()
        ends = sorted(suspect.crashes.items(), key=lambda item: item[1].at)
        told = ", ".join(f"{name} {now - seen.at:.1f} s ago" for name, seen in ends)
        return RequestBlocked(
            f"{len(ends)} endpoints ended under this request ({told}) and {attempts} "
            "are trying it; send another one, or this one later",
            retry_after=wait,
        )

    def _observations(self) -> Iterator[_Reportable]:
        for fingerprint, suspect in self._suspects.items():
            for kind, all_seen in (
                (NoteKind.ENDED, suspect.crashes),
                (NoteKind.TRIED, suspect.attempts),
            ):
                for endpoint, seen in all_seen.items():
                    yield _Reportable(
                        kind=kind,
                        fingerprint=fingerprint,
                        endpoint=endpoint,
                        observation=seen,
                        crash_count=len(suspect.crashes),
                    )
            if suspect.served is not None:
                yield _Reportable(
                    kind=NoteKind.SERVED,
                    fingerprint=fingerprint,
                    endpoint=None,
                    observation=suspect.served,
                    crash_count=len(suspect.crashes),
                )

    def _expire(self, *, now: float) -> None:
        causes = self._causes()
        for fingerprint, suspect in tuple(self._suspects.items()):
            kept = SUSPICION_SECONDS
            if fingerprint in causes:
                kept += _block_seconds(crash_count=len(suspect.crashes))
            suspect.attempts = {
                endpoint: seen
                for endpoint, seen in suspect.attempts.items()
                if now - seen.at <= MAX_ATTEMPT_SECONDS
            }
            if now - suspect.last_seen_at > kept and not suspect.attempts:
                del self._suspects[fingerprint]
                self._cached_causes = None

    def _evict(self) -> None:
        """Forget the least suspect, oldest first, beyond what may be kept."""
        while len(self._suspects) > MAX_SUSPECTS:
            least = min(
                self._suspects,
                key=lambda each: (
                    len(self._suspects[each].crashes),
                    self._suspects[each].last_seen_at,
                ),
            )
            del self._suspects[least]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reportable:
    """Something that may be told, and how much it matters."""

    kind: NoteKind
    fingerprint: Fingerprint
    endpoint: EndpointId | None
    observation: _Observation
    crash_count: int

    def note(self, *, now: float) -> CrashNote:
        """As other routers are told."""
        return CrashNote(
            kind=self.kind,
            fingerprint=self.fingerprint,
            endpoint=self.endpoint,
            age=now - self.observation.at,
            begun=self.observation.begun,
        )


def _is_due(reportable: _Reportable, *, now: float) -> bool:
    """Tell whether something is news, or an end that was told a while ago."""
    pause = (
        REPORT_INTERVAL_SECONDS
        if reportable.crash_count > 1
        else SINGLE_CRASH_REPORT_INTERVAL_SECONDS
    )
    if reportable.kind is not NoteKind.ENDED:
        pause = float("inf")
    return reportable.observation.report_state.is_due(now=now, interval=pause)


def _block_seconds(*, crash_count: int) -> float:
    """Seconds for which a request is blocked under which some endpoints ended."""
    return min(
        MIN_BLOCK_SECONDS * 2 ** (crash_count - MIN_CRASHES_TO_BLOCK), MAX_BLOCK_SECONDS
    )
