"""The platform stand-in's rate-limited store of weights."""

from __future__ import annotations


class RateLimitedWeights:
    """Lets one transfer at a time pass at a fixed rate.

    Args:
        bytes_per_second: Rate of transfers.

    Attributes:
        bytes_per_second: The same; it may be changed.
    """

    def __init__(self, *, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self._free_at = 0.0
        self._reserved: dict[str, float] = {}

    def reserve(self, *, name: str, size: int, now: float) -> float:
        """Book a transfer; a name that is still waiting keeps its place.

        Returns:
            Seconds after which the transfer may start.
        """
        start = self._reserved.get(name, 0.0)
        if start <= now:
            start = max(now, self._free_at)
            self._free_at = start + size / self.bytes_per_second
            self._reserved[name] = start
        self._forget(now=now)
        return start - now

    def _forget(self, *, now: float) -> None:
        passed = [name for name, start in self._reserved.items() if start < now]
        for name in passed:
            del self._reserved[name]
