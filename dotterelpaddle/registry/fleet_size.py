"""The number of routers among which bounds of the whole fleet are divided.

A router that counts too few others takes too large a part of a bound. Routers that it
does not hear may run on the other side of a network partition. So it counts those that
are registered in the platform's store, and those that it has heard.
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
        heard: Returns the number of routers heard lately, this one included.
        has_seeds: Whether the settings name other routers.
        registered: Returns the number of routers in the registry, None while it is
            uncertain. Without a registry those that were heard are all that are known.
        clock: Monotonic clock.
        use: What the number is for, in log lines.
        memory: Seconds for which routers that are no longer heard still count.
    """

    def __init__(
        self,
        *,
        heard: Callable[[], int],
        has_seeds: bool,
        registered: Callable[[], int | None] | None = None,
        clock: Clock,
        use: str = "bounds",
        memory: float = MEMORY_SECONDS,
    ) -> None:
        self._heard = heard
        self._has_seeds = has_seeds
        self._registered = registered
        self._clock = clock
        self._use = use
        self._memory = memory
        self._started_at = clock()
        self._largest = 1
        self._largest_at = clock()
        self._logged: int | None = None

    @property
    def count(self) -> int | None:
        """Largest recent number of routers; None while too few may be known."""
        heard = self._heard()
        count = self._count(heard=heard)
        if count != self._logged:
            log.info("fleet_size_changed", use=self._use, count=count, heard=heard)
            self._logged = count
        return count

    def _count(self, *, heard: int) -> int | None:
        now = self._clock()
        if heard >= self._largest or now - self._largest_at > self._memory:
            self._largest = heard
            self._largest_at = now
        if self._registered is not None:
            registered = self._registered()
            return None if registered is None else max(registered, self._largest)
        # A router that has never heard another one can't tell how many there are.
        is_settling = now - self._started_at < SETTLING_SECONDS
        if self._has_seeds and (is_settling or self._largest == 1):
            return None
        return self._largest
