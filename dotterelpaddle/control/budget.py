"""The byte budget of a router's control traffic.

Datagrams draw on token buckets: each class but the lowest has a reserved one,
and what the reserved ones can't hold flows into a common one. A class may draw
the common bucket down to its own floor, so the lowest class is refused first
and no class can starve a higher one, nor the reserved share of a lower one.
TCP transfers draw on a bucket of their own that may go into debt; the sender
then waits.
"""

from __future__ import annotations

from dotterelpaddle.control.interface import TrafficClass

BULK_SHARE = 0.25
"""Share of the whole budget for TCP transfers."""

BULK_BURST = 262_144.0
"""Bytes that TCP transfers may send at once, such as to a router that starts."""

BURST_SECONDS = 5.0
"""Seconds of the rate that a bucket holds."""

REFILL_INTERVAL = 0.005
"""Seconds between additions to the buckets, as each one costs time."""

MIN_CAPACITY = 2_600.0
"""Bytes that each bucket holds at least: two datagrams with headers."""

RESERVED_SHARES = {
    TrafficClass.MEMBERSHIP: 0.25,
    TrafficClass.CONFIGURATION: 0.20,
    TrafficClass.PERMIT: 0.20,
    TrafficClass.LOAD: 0.0,
}
"""Shares of the datagrams' rate that no other class can take."""

COMMON_FLOORS = {
    TrafficClass.MEMBERSHIP: 0.0,
    TrafficClass.CONFIGURATION: 0.10,
    TrafficClass.PERMIT: 0.25,
    TrafficClass.LOAD: 0.50,
}
"""Shares of the common bucket that a class leaves to higher ones."""


class Budget:
    """Decides whether a datagram may be sent now.

    Args:
        bytes_per_second: Rate of all datagrams.
        now: Seconds on the monotonic clock.
    """

    def __init__(self, *, bytes_per_second: float, now: float) -> None:
        self._rate = bytes_per_second
        self._updated_at = now
        self._capacity = {
            traffic: self._capacity_of(share=share) if share else 0.0
            for traffic, share in RESERVED_SHARES.items()
        }
        common_share = 1.0 - sum(RESERVED_SHARES.values())
        self._common_capacity = self._capacity_of(share=common_share)
        self._reserved = dict(self._capacity)
        self._common = self._common_capacity

    def take(self, *, traffic: TrafficClass, size: int, now: float) -> bool:
        """Take the bytes of a message if its class may have them."""
        self._refill(now=now)
        own = max(0.0, min(self._reserved[traffic], size))
        rest = size - own
        floor = COMMON_FLOORS[traffic] * self._common_capacity
        if rest > 0 and self._common - rest < floor:
            return False
        self._reserved[traffic] -= own
        self._common -= rest
        return True

    def settle(self, *, size: int) -> None:
        """Give back bytes that were taken and not sent, or take more."""
        self._common = min(self._common_capacity, self._common + size)

    def _capacity_of(self, *, share: float) -> float:
        return max(MIN_CAPACITY, self._rate * share * BURST_SECONDS)

    def _refill(self, *, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed < REFILL_INTERVAL:
            return
        gained = elapsed * self._rate
        self._updated_at = now
        overflow = gained
        for traffic, share in RESERVED_SHARES.items():
            room = self._capacity[traffic] - self._reserved[traffic]
            part = min(gained * share, room)
            self._reserved[traffic] += part
            overflow -= part
        self._common = min(self._common_capacity, self._common + overflow)


class BulkBudget:
    """Decides how long a TCP transfer has to wait.

    Args:
        bytes_per_second: Rate of all TCP transfers.
        now: Seconds on the monotonic clock.
    """

    def __init__(self, *, bytes_per_second: float, now: float) -> None:
        self._rate = bytes_per_second
        self._level = BULK_BURST
        self._updated_at = now

    def wait(self, *, size: int, now: float) -> float:
        """Tell how many seconds a transfer would have to wait."""
        self._refill(now=now)
        return max(0.0, (size - self._level) / self._rate)

    def take(self, *, size: int, now: float) -> None:
        """Take the bytes of a transfer."""
        self._refill(now=now)
        self._level -= size

    def _refill(self, *, now: float) -> None:
        gained = max(0.0, now - self._updated_at) * self._rate
        self._updated_at = now
        self._level = min(BULK_BURST, self._level + gained)
