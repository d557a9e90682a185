"""The number of routers among which bounds of the whole fleet are divided.

A router that counts too few others takes too large a part of a bound. Routers that it
no longer hears may run on the other side of a network partition, and a router that has
just started has not heard all of them yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock

log = get_logger(name=__name__)

SETTLING_SECONDS = 2.0
"""Seconds after its start in which a router may know few of the others."""

MEMORY_SECONDS = 600.0
"""Seconds for which routers that are no longer heard still count. Regions may lose each
other for minutes."""


class FleetSize:
    """Counts the routers of the fleet, this one included.

    Args:
        known: Returns the number of routers known at present.
        has_seeds: Whether the settings name other routers.
        clock: Monotonic clock.
        memory: Seconds for which routers that are no longer heard still count.
    """

    def __init__(
        self,
        *,
        known: Callable[[], int],
        has_seeds: bool,
        clock: Clock,
        memory: float = MEMORY_SECONDS,
    ) -> None:
        self._known = known
        self._has_seeds = has_seeds
        self._clock = clock
        self._memory = memory
        self._started_at = clock()
        self._largest = 1
        self._largest_at = clock()
        self._logged: int | None = None

    @property
    def count(self) -> int | None:
        """Largest recent number of routers; None while too few may be known.

        A router that has never heard any other one can't tell how many there are.
        """
        known = self._known()
        count = self._count(known=known)
        if count != self._logged:
            log.info("fleet_size_changed", count=count, heard=known)
            self._logged = count
        return count

    def _count(self, *, known: int) -> int | None:
        now = self._clock()
        if known >= self._largest or now - self._largest_at > self._memory:
            self._largest = known
            self._largest_at = now
        settling = now - self._started_at < SETTLING_SECONDS
        if self._has_seeds and (settling or self._largest == 1):
            return None
        return self._largest
