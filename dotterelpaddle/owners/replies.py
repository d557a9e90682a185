"""Tells which owners answer late, or not at all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.peers.report import PeerInfo

log = get_logger(name=__name__)

OWNER_TIMEOUT_SECONDS = 0.03
"""Seconds that a router waits for an owner before it asks the next one. An answer takes
3 ms between failure domains and ten times that on a busy host; callers expect answers
within 0.12 s or more."""

OWNER_COOLDOWN_SECONDS = 0.4
"""Seconds for which a router does not ask an owner again after a timeout. The
aggregators name another owner once this one has been unresponsive for a second."""

MAX_TIMEOUT_SECONDS = 0.2
"""Longest time that a request which may wait for a slot waits for a reply of an owner
that is late. A second owner grants slots that the first one has granted."""

MEAN_WEIGHT, DEVIATION_WEIGHT, DEVIATIONS = 1 / 8, 1 / 4, 4
"""Weights of a new reply in the mean and in the deviation of the reply times, and the
number of deviations above the mean at which a reply is late, as in RFC 6298."""

MAX_SILENCE_SECONDS = 0.4
"""Seconds without any reply after which an owner counts as silent to requests that
wait, four times the interval in which they are sent again. Another owner costs more
than a late reply."""

QUESTION_TTL_SECONDS = 2.0
"""Seconds after the last grant request from which its missing reply tells nothing."""


@dataclass(kw_only=True, slots=True)
class _Questions:
    """Grant requests since the last reply of an owner.

    Attributes:
        first_at: When the first of them was sent, seconds on the monotonic clock.
        last_at: When the last one was sent.
    """

    first_at: float
    last_at: float


@dataclass(kw_only=True, slots=True)
class _ReplyTimes:
    """How long an owner takes to reply, estimated as in RFC 6298.

    Attributes:
        mean: Mean of the reply times in seconds, None before the first reply.
        deviation: Their mean deviation.
        backoff: Factor on the timeout, doubled with each late reply.
    """

    mean: float | None = None
    deviation: float = 0.0
    backoff: float = 1.0

    @property
    def timeout(self) -> float:
        """Seconds after which a reply is late."""
        usual = 0.0 if self.mean is None else self.mean + DEVIATIONS * self.deviation
        timeout = max(OWNER_TIMEOUT_SECONDS, usual) * self.backoff
        return min(MAX_TIMEOUT_SECONDS, timeout)

    def record(self, *, seconds: float) -> None:
        """Record a reply."""
        self.backoff = 1.0
        if self.mean is None:
            self.mean, self.deviation = seconds, seconds / 2
            return
        error = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (error - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)


class OwnerReplies:
    """Tracks the grant requests that owners have not answered in time.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._cooldown_until: dict[RouterId, float] = {}
        self._questions: dict[Address, _Questions] = {}
        self._times: dict[Address, _ReplyTimes] = {}

    def record_timeout(self, *, owner: PeerInfo, seconds: float) -> None:
        """Record that an owner has not replied in time, and ask it no more for now.

        Args:
            owner: The owner.
            seconds: Time that it had for a reply.
        """
        self._cooldown_until[owner.router] = self._clock() + OWNER_COOLDOWN_SECONDS
        times = self._times.setdefault(owner.address, _ReplyTimes())
        times.backoff = min(
            2 * times.backoff, MAX_TIMEOUT_SECONDS / OWNER_TIMEOUT_SECONDS
        )
        log.warning("owner_silent", router=owner.router, seconds=round(seconds, 3))

    def record_question(self, *, owner: Address) -> None:
        """Record that a grant request that waits for a reply is sent to an owner."""
        now = self._clock()
        questions = self._questions.setdefault(
            owner, _Questions(first_at=now, last_at=now)
        )
        if now - questions.last_at > QUESTION_TTL_SECONDS:
            questions.first_at = now
        questions.last_at = now

    def record_reply(self, *, owner: Address, asked_at: float | None) -> None:
        """Record a message of an owner.

        Args:
            owner: The owner.
            asked_at: When it was last asked for what it replies to, seconds on the
                monotonic clock; None if it has replied since or nothing waits for it.
        """
        self._questions.pop(owner, None)
        if asked_at is not None:
            times = self._times.setdefault(owner, _ReplyTimes())
            times.record(seconds=self._clock() - asked_at)

    def timeout(self, *, owner: Address) -> float:
        """Seconds that a request which may wait for a slot waits for a reply."""
        return self._times.get(owner, _ReplyTimes()).timeout

    def is_cooling_down(self, *, router: RouterId) -> bool:
        """Return whether an owner has lately timed out."""
        return self._clock() < self._cooldown_until.get(router, 0.0)

    def unresponsive(self, *, owners: Iterable[PeerInfo]) -> tuple[RouterId, ...]:
        """Return the owners that have timed out, or are silent to waiting requests."""
        return tuple(
            owner.router
            for owner in owners
            if self.is_cooling_down(router=owner.router)
            or self._is_silent(owner.address)
        )

    def _is_silent(self, owner: Address) -> bool:
        questions = self._questions.get(owner)
        if questions is None:
            return False
        now = self._clock()
        return (
            now - questions.first_at > MAX_SILENCE_SECONDS
            and now - questions.last_at <= QUESTION_TTL_SECONDS
        )
