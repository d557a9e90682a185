"""How much this process lags behind.

A process that is short of time sees answers late and would take others for
dead. While its own ticks come late, it waits longer for answers.
"""

from __future__ import annotations

LATE_TICKS = 2.0
"""Times the interval of ticks from which on a tick is late."""

MAX_PATIENCE = 10.0
"""Most that the waiting times are multiplied by."""

RECOVERY = 0.95
"""Share of the patience that is kept from one tick in time to the next."""


class Pace:
    """Turns late ticks into patience.

    Args:
        interval: Seconds between ticks that come in time.
    """

    def __init__(self, *, interval: float) -> None:
        self._interval = interval
        self._patience = 1.0

    @property
    def patience(self) -> float:
        """Times the usual waiting time for answers."""
        return self._patience

    def tick(self, *, gap: float) -> float:
        """Note the time since the last tick.

        Returns:
            Seconds that the tick was late, 0 if it came in time.
        """
        if gap < LATE_TICKS * self._interval:
            self._patience = max(1.0, self._patience * RECOVERY)
            return 0.0
        lag = min(gap / self._interval, MAX_PATIENCE)
        self._patience = max(self._patience, lag)
        return gap - self._interval
