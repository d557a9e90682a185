"""Registers this router in the platform's store, and reads the registry for its peers.

Each router writes its own row. One router of those that hear each other reads all rows;
the others take what it tells in its reports.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import ControlError, PlatformError
from dotterelpaddle.forwarding.revisions import FIRST_ERA
from dotterelpaddle.forwarding.store_clock import StoreTime
from dotterelpaddle.logs import get_logger
from dotterelpaddle.registry.known import (
    ACTIVE_SECONDS,
    EXPIRY_SECONDS,
    MAX_SUMMARY_AGE_SECONDS,
    SIMULTANEOUS_SECONDS,
)
from dotterelpaddle.registry.registration import (
    Registration,
    decode_registration,
    encode_registration,
)
from dotterelpaddle.registry.summary import RegistrySummary

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.store_clock import StoreClock
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.registry.interface import RegistryRows, RegistryStore
    from dotterelpaddle.registry.known import KnownRegistry

log = get_logger(name=__name__)

CHECK_INTERVAL_SECONDS = 1.0
"""Seconds between two checks of what is due."""

READ_INTERVAL_SECONDS = 5.0
"""Seconds between two reads of all rows."""

MAX_START_DELAY_SECONDS = 0.3
"""Longest time until the first call, as all routers of a fleet may start at once."""

RENEWAL_SECONDS = 30.0
"""Seconds between two renewals of a registration."""

MAX_COOLDOWN_SECONDS = 8.0
"""Longest time after a failed call until the next one."""

LONG_AGO = StoreTime(era=FIRST_ERA, seconds=0.0)
"""Earliest time on the store's clock."""

HEARING_SECONDS = 1.0
"""Seconds after its start in which a router may not have heard who reads for it."""

TELLING_SECONDS = 4.0
"""Seconds after its start in which it may not have been told what others read."""

MAX_UNTOLD_SECONDS = MAX_SUMMARY_AGE_SECONDS / 2
"""Age of its summary after which a router reads by itself: the reader of its peers may
not reach the store, or run a release that tells nothing of the registry."""


class RouterRegistry:
    """Keeps this router registered, and reads the registry where no peer does.

    Args:
        router: Id of this router.
        store: Keeps the rows.
        known: Receives what the store tells.
        is_reader: Returns whether this router reads for those that it hears.
        store_clock: Estimates the clock of the store.
        clock: Monotonic clock.
        generator: Source of jitter.
    """

    def __init__(
        self,
        *,
        router: RouterId,
        store: RegistryStore,
        known: KnownRegistry,
        is_reader: Callable[[], bool],
        store_clock: StoreClock,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._router = router
        self._store = store
        self._known = known
        self._is_reader = is_reader
        self._store_clock = store_clock
        self._clock = clock
        self._generator = generator
        self._cooldown = CHECK_INTERVAL_SECONDS
        self._failing = False
        self._started_at = clock()
        self._era_since: StoreTime | None = None

    async def run(self) -> None:
        """Register, renew and read what is due until cancelled."""
        await anyio.sleep(self._generator.uniform(0.0, MAX_START_DELAY_SECONDS))
        while True:
            jitter = self._generator.uniform(0.5, 1.0)
            try:
                await self.synchronize()
                self._failing, self._cooldown = False, CHECK_INTERVAL_SECONDS
                await anyio.sleep(CHECK_INTERVAL_SECONDS * jitter)
            except PlatformError as error:
                self._log_failure(error=error)
                self._cooldown = min(2 * self._cooldown, MAX_COOLDOWN_SECONDS)
                await anyio.sleep(self._cooldown * jitter)

    def _log_failure(self, *, error: PlatformError) -> None:
        if not self._failing:
            log.warning("registry_failing", cause=error.message, peer=error.peer)
        self._failing = True

    async def synchronize(self) -> None:
        """Register, renew and read what is due now.

        Raises:
            PlatformError: If the store returns no usable answer in time.
        """
        own = self._known.own
        if own is None or self._may_be_unlisted(own):
            await self._register()
            own = self._known.own
        if self._known.own is not None and self._is_read_due():
            await self._read_all()
        if own is not None and self._is_renewal_due(own):
            await self._write(registered_at=own.registered_at)

    def _may_be_unlisted(self, own: Registration) -> bool:
        """Return whether the store may not have this router's row any more."""
        summary = self._known.summary
        if summary is not None and summary.as_of.era > own.renewed_at.era:
            return True
        return self._store_clock.age(of=own.renewed_at) > EXPIRY_SECONDS

    def _is_renewal_due(self, own: Registration) -> bool:
        return self._store_clock.age(of=own.renewed_at) > RENEWAL_SECONDS

    def _is_read_due(self) -> bool:
        age = self._known.summary_age
        uptime = self._clock() - self._started_at
        if uptime >= TELLING_SECONDS and age >= MAX_UNTOLD_SECONDS:
            return True
        if uptime < HEARING_SECONDS or not self._is_reader():
            return False
        # A new fleet waits for a summary that includes all of its routers.
        is_new = uptime < 2 * SIMULTANEOUS_SECONDS and self._known.obstacle is not None
        return age >= (CHECK_INTERVAL_SECONDS if is_new else READ_INTERVAL_SECONDS)

    async def _register(self) -> None:
        """Take over the row of an earlier process of this router, or write one."""
        self._known.own = None
        answer = await self._answer(self._store.router_row(router=self._router))
        earlier = _decoded(answer).get(self._router)
        if answer.as_of is None:
            return
        if earlier is not None and _may_be_taken_over(earlier, as_of=answer.as_of):
            self._known.own = earlier
            log.info("registration_found", router=self._router)
            return
        await self._write(registered_at=answer.as_of)
        # The write may have taken effect late; only a read shows that it has.
        written = await self._answer(self._store.router_row(router=self._router))
        if self._router in written.rows and written.as_of is not None:
            self._known.own = Registration(
                registered_at=written.as_of, renewed_at=answer.as_of
            )
            log.info("router_registered", router=self._router)

    async def _write(self, *, registered_at: StoreTime) -> None:
        """Write the row of this router."""
        now = self._store_clock.earliest_time()
        if now is None:
            return
        registration = Registration(registered_at=registered_at, renewed_at=now)
        await self._store.put_router_row(
            router=self._router, row=encode_registration(registration=registration)
        )
        if self._known.own is not None:
            self._known.own = registration

    async def _read_all(self) -> None:
        answer = await self._answer(self._store.router_rows())
        as_of = answer.as_of
        if as_of is None:
            return
        if self._era_since is None or self._era_since.era != as_of.era:
            self._era_since = as_of
        registrations = _decoded(answer)
        expired = {
            router: answer.rows[router]
            for router, registration in registrations.items()
            if self._has_expired(registration, as_of=as_of)
        }
        listed = [
            registration
            for router, registration in registrations.items()
            if router not in expired
        ]
        if listed:
            summary = RegistrySummary(
                routers=len(listed),
                active=sum(_is_active(each, as_of=as_of) for each in listed),
                oldest=min(each.registered_at for each in listed),
                as_of=as_of,
            )
            self._known.receive(summary=summary)
        if expired:
            await self._store.remove_router_rows(rows=expired)
            log.info("registrations_removed", routers=sorted(expired))

    def _has_expired(self, registration: Registration, *, as_of: StoreTime) -> bool:
        """Return whether a registration was not renewed for too long.

        After the store has come back from a copy its clock may start anew, so that
        registrations of earlier eras count from its return.
        """
        renewed_at = registration.renewed_at
        if renewed_at.era != as_of.era and self._era_since is not None:
            renewed_at = self._era_since
        return as_of.seconds - renewed_at.seconds > EXPIRY_SECONDS

    async def _answer(self, call: Awaitable[RegistryRows]) -> RegistryRows:
        """Await a read, and tell its time to the estimate of the store's clock."""
        requested_at = self._clock()
        answer = await call
        if answer.as_of is not None:
            self._store_clock.record_answer(
                time=answer.as_of, requested_at=requested_at
            )
        return answer


def _is_active(registration: Registration, *, as_of: StoreTime) -> bool:
    """Return whether a router ran a moment before the rows were read."""
    renewed_at = registration.renewed_at
    if renewed_at.era != as_of.era:
        return True
    return as_of.seconds - renewed_at.seconds <= ACTIVE_SECONDS


def _may_be_taken_over(registration: Registration, *, as_of: StoreTime) -> bool:
    """Return whether a row of this router is sound, and still counts at all readers."""
    renewed_at = registration.renewed_at
    if renewed_at.era != as_of.era or registration.registered_at == LONG_AGO:
        return False
    return as_of.seconds - renewed_at.seconds < EXPIRY_SECONDS


def _decoded(answer: RegistryRows) -> dict[RouterId, Registration]:
    """Decode rows; a malformed one counts as a router that joined long ago."""
    registrations: dict[RouterId, Registration] = {}
    if answer.as_of is None:
        return registrations
    for router, row in answer.rows.items():
        try:
            registrations[router] = decode_registration(row=row.value)
        except ControlError as error:
            log.warning("registration_unusable", router=router, cause=error.message)
            registrations[router] = Registration(
                registered_at=LONG_AGO, renewed_at=answer.as_of
            )
    return registrations
