"""Circuit breaker of one endpoint."""

from __future__ import annotations

from enum import Enum

CONSECUTIVE_FAILURES = 4
"""Failures in a row that open the breaker."""

FAILURE_SHARE = 0.5
"""Share of failures, weighted to the recent, that opens the breaker."""

MIN_SAMPLES = 12.0
"""Weighted number of attempts before a share or latency counts."""

DECAY = 0.95
"""Weight that a sample keeps with each later one."""

FIRST_PAUSE = 3.0
"""Seconds for which the breaker opens the first time."""

MAX_PAUSE = 30.0
"""Longest time for which it opens."""

SLOW_RATIO = 4.0
"""Latency relative to the other endpoints' median that opens the breaker."""


class BreakerState(Enum):
    """Whether attempts pass."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Counts results of attempts and opens when too many fail."""

    def __init__(self) -> None:
        self._state = BreakerState.CLOSED
        self._samples = 0.0
        self._failed = 0.0
        self._latency = 0.0
        self._timed = 0.0
        self._in_a_row = 0
        self._pause = FIRST_PAUSE
        self._until = 0.0

    @property
    def latency(self) -> float | None:
        """Recent mean latency in seconds, None while too few are known."""
        if self._timed < MIN_SAMPLES / 2:
            return None
        return self._latency / self._timed

    def state(self, *, now: float) -> BreakerState:
        """Tell whether attempts pass; an open breaker half opens by itself."""
        if self._state is BreakerState.OPEN and now >= self._until:
            self._state = BreakerState.HALF_OPEN
        return self._state

    def succeed(self, *, latency: float) -> None:
        """Count an attempt that went well."""
        self._count(failed=0.0)
        self._in_a_row = 0
        if latency > 0.0:
            self._latency = self._latency * DECAY + latency
            self._timed = self._timed * DECAY + 1.0
        if self._state is BreakerState.HALF_OPEN:
            self._state = BreakerState.CLOSED
            self._pause = FIRST_PAUSE

    def fail(self) -> None:
        """Count an attempt that failed."""
        self._count(failed=1.0)
        self._in_a_row += 1

    def should_open(self, *, typical: float | None) -> bool:
        """Tell whether the results speak for opening the breaker.

        Args:
            typical: Median latency of the other endpoints, None if unknown.
        """
        if self._state is BreakerState.OPEN:
            return False
        if self._state is BreakerState.HALF_OPEN:
            return self._in_a_row > 0
        if self._in_a_row >= CONSECUTIVE_FAILURES:
            return True
        enough = self._samples >= MIN_SAMPLES
        if enough and self._failed / self._samples > FAILURE_SHARE:
            return True
        return self._is_slow(typical=typical)

    def open(self, *, now: float) -> None:
        """Let no attempts pass for a while, longer each time in a row."""
        self._state = BreakerState.OPEN
        self._until = now + self._pause
        self._pause = min(self._pause * 2.0, MAX_PAUSE)
        self._samples = self._failed = 0.0
        self._latency = self._timed = 0.0
        self._in_a_row = 0

    def _is_slow(self, *, typical: float | None) -> bool:
        own = self.latency
        if own is None or not typical or self._timed < MIN_SAMPLES:
            return False
        return own > SLOW_RATIO * typical

    def _count(self, *, failed: float) -> None:
        self._samples = self._samples * DECAY + 1.0
        self._failed = self._failed * DECAY + failed
