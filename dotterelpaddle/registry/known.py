"""The number of registered routers, once it is certain that each of them counts all.

Several routers may divide one bound only if each of them counts each other one. So a
router divides only while its summary of the registry is recent, and only once it has
been registered for so long that the summaries of all others include it. Then of two
routers that divide at the same time each is in the other's summary, whether they hear
each other or not.

Routers that are registered at the same time as the whole fleet have none before them
that could hold an older summary. They only wait until a summary includes all of them.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.store_clock import StoreTime
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.store_clock import StoreClock
    from dotterelpaddle.registry.registration import Registration
    from dotterelpaddle.registry.summary import RegistrySummary

log = get_logger(name=__name__)

EXPIRY_SECONDS = 180.0
"""Seconds after its last renewal for which a registration counts."""

ACTIVE_SECONDS = 45.0
"""Seconds after its last renewal for which a router is taken to run."""

MAX_SUMMARY_AGE_SECONDS = 20.0
"""Seconds for which a summary may be relied on."""

JOIN_SECONDS = 30.0
"""Seconds after its registration for which a router waits until it divides a bound. All
others have newer summaries ten seconds before: the store may perform a write late, and
what they spent of a larger part must leave the window of a bound."""

SIMULTANEOUS_SECONDS = 5.0
"""Seconds within which the routers of a new fleet register."""


class RegistryObstacle(Enum):
    """Why the number of routers is uncertain."""

    NOT_REGISTERED = "not_registered"
    NO_SUMMARY = "no_summary"
    SUMMARY_OLD = "summary_old"
    JOINING = "joining"


class KnownRegistry:
    """Keeps a router's registration and the latest summary of the registry.

    Args:
        store_clock: Estimates the clock of the store.
        clock: Monotonic clock.
    """

    def __init__(self, *, store_clock: StoreClock, clock: Clock) -> None:
        self._store_clock = store_clock
        self._clock = clock
        self._own: Registration | None = None
        self._summary: RegistrySummary | None = None
        self._summary_at = clock()
        self._logged: RegistryObstacle | None = None

    @property
    def own(self) -> Registration | None:
        """The registration of this router, None while it has none."""
        return self._own

    @own.setter
    def own(self, registration: Registration | None) -> None:
        self._own = registration

    @property
    def summary(self) -> RegistrySummary | None:
        """The latest summary, read by this router or told by another one."""
        return self._summary

    @property
    def to_tell(self) -> RegistrySummary | None:
        """The latest summary, None if this router can't tell whether it still holds.

        Routers that reach no store would else pass it on among each other for good.
        """
        return self._summary if self.summary_age <= EXPIRY_SECONDS else None

    def receive(self, *, summary: RegistrySummary | None) -> None:
        """Keep a summary if it is the latest one."""
        known = self._summary
        if summary is None or (known is not None and summary.as_of <= known.as_of):
            return
        self._summary = summary
        self._summary_at = self._clock()

    @property
    def routers(self) -> int | None:
        """Number of registered routers; None while it is uncertain."""
        summary, obstacle = self._summary, self.obstacle
        if obstacle is not self._logged:
            log.info(
                "registry_certain" if obstacle is None else "registry_uncertain",
                obstacle="" if obstacle is None else obstacle.value,
                routers=None if summary is None else summary.routers,
            )
            self._logged = obstacle
        return None if summary is None or obstacle is not None else summary.routers

    @property
    def recent_routers(self) -> int | None:
        """Number of routers registered lately; None before the first summary.

        It holds until all of these registrations have expired, though the store may be
        away. Routers that were registered since are missing.
        """
        summary = self._summary
        if summary is None:
            return None
        return 0 if self._has_expired else summary.routers

    @property
    def active_routers(self) -> int | None:
        """Number of those that ran when they were read last, as long as it holds."""
        summary = self._summary
        if summary is None:
            return None
        return 0 if self._has_expired else summary.active

    @property
    def _has_expired(self) -> bool:
        return self._clock() - self._summary_at > EXPIRY_SECONDS

    @property
    def obstacle(self) -> RegistryObstacle | None:
        """Why the number of routers is uncertain, None if it is not."""
        own, summary = self._own, self._summary
        if own is None or self._age(own.renewed_at) > EXPIRY_SECONDS:
            return RegistryObstacle.NOT_REGISTERED
        if summary is None:
            return RegistryObstacle.NO_SUMMARY
        if self._age(summary.as_of) > MAX_SUMMARY_AGE_SECONDS:
            return RegistryObstacle.SUMMARY_OLD
        if summary.as_of < own.registered_at or self._is_joining(own, summary):
            return RegistryObstacle.JOINING
        return None

    @property
    def summary_age(self) -> float:
        """Seconds since the latest summary was read, infinite if unknown."""
        return self._age(None if self._summary is None else self._summary.as_of)

    def _is_joining(self, own: Registration, summary: RegistrySummary) -> bool:
        registered_at = own.registered_at
        now = self._store_clock.earliest_time()
        if now is None:
            return True
        if now.era != registered_at.era:
            return False
        if now.seconds - registered_at.seconds >= JOIN_SECONDS:
            return False
        is_new_fleet = summary.oldest >= _shifted(registered_at, -SIMULTANEOUS_SECONDS)
        includes_all = summary.as_of >= _shifted(registered_at, SIMULTANEOUS_SECONDS)
        return not (is_new_fleet and includes_all)

    def _age(self, time: StoreTime | None) -> float:
        return self._store_clock.age(of=time)


def _shifted(time: StoreTime, seconds: float) -> StoreTime:
    return StoreTime(era=time.era, seconds=time.seconds + seconds)
