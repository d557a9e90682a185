"""Rate limits of the stand-ins."""

from __future__ import annotations


class TokenBucket:
    """Lets a mean rate pass, with bursts up to one second's worth.

    Args:
        rate: Units a second; 0 lets everything pass.
        now: Current time, seconds on the monotonic clock.
    """

    def __init__(self, *, rate: float, now: float) -> None:
        self._rate = rate
        self._level = rate
        self._filled_at = now

    def take(self, *, now: float) -> bool:
        """Take one unit.

        Returns:
            False if there is none left.
        """
        if self._rate <= 0.0:
            return True
        self._level += (now - self._filled_at) * self._rate
        self._level = min(self._level, self._rate)
        self._filled_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
