"""One attempt's target and what the attempt brought."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.endpoint.evidence import Evidence
from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.dispatch.outcome import Attempt
    from dotterelpaddle.endpoint.patience import KeepWaiting, Patience
    from dotterelpaddle.records.model import Endpoint


class Progress:
    """Notes when an attempt reached each stage, and tells its state machine.

    Args:
        attempt: The attempt.
        clock: Source of time.
    """

    def __init__(self, *, attempt: Attempt, clock: Clock) -> None:
        self._attempt = attempt
        self._clock = clock
        self._started_at = clock()
        self._connected_at: float | None = None
        self._begun_at: float | None = None
        self._longest_gap: float | None = None

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def longest_gap(self) -> float | None:
        """Longest wait between two parts of an answer, seconds, None without."""
        return self._longest_gap

    @longest_gap.setter
    def longest_gap(self, seconds: float) -> None:
        self._longest_gap = seconds

    @property
    def attempt(self) -> Attempt:
        """The attempt's state machine."""
        return self._attempt

    @property
    def connect_time(self) -> float | None:
        """Seconds until a connection was there, None if there was none."""
        if self._connected_at is None:
            return None
        return self._connected_at - self._started_at

    @property
    def first_byte_time(self) -> float | None:
        """Seconds from the connection to the answer's begin, None without."""
        if self._begun_at is None or self._connected_at is None:
            return None
        return self._begun_at - self._connected_at

    def observe(self, evidence: Evidence) -> None:
        """Take in a piece of evidence."""
        self._attempt.observe(evidence)
        if evidence is Evidence.CONNECTED:
            self._connected_at = self._clock()
        elif evidence is Evidence.ANSWER_BEGUN:
            self._begun_at = self._clock()


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Where and how one attempt is sent.

    Attributes:
        endpoint: The endpoint.
        patience: Deadlines on progress.
        time_left: Seconds until the caller's deadline.
        fresh: Whether only a new connection may carry it.
        progress: Takes in the evidence.
        keep_waiting: Asked when a deadline on progress passes; False if a retry
            follows.
    """

    endpoint: Endpoint
    patience: Patience
    time_left: float
    fresh: bool
    progress: Progress
    keep_waiting: KeepWaiting


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """An answer that is held until it goes to the caller at once.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller.
        body: Whole body.
        outcome: What it means for the request.
        cached_tokens: Prompt tokens that the engine found in its cache.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: Outcome = Outcome.COMPLETED
    cached_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Relayed:
    """An answer that has gone to the caller part by part, but for its end.

    Attributes:
        tail: Last bytes of the body.
        cached_tokens: Prompt tokens that the engine found in its cache.
    """

    tail: bytes
    cached_tokens: int = 0


Result = WholeAnswer | Relayed
"""What a successful attempt brings."""
