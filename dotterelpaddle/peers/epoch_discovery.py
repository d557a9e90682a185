"""Reads the epochs of engines while the store confirms their entries.

An engine that names the same epoch later, while the store is away, still is in the
lifetime of its entry; see `streams.lifetimes`. One router of the fleet reads each epoch
once: a question costs the engine time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import EndpointError
from dotterelpaddle.forwarding.model import UNKNOWN_INCARNATION
from dotterelpaddle.logs import get_logger
from dotterelpaddle.streams.lifetimes import epoch_tag

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.interface import CacheReader, PeerStatus
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.use_queue import PartTag
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, SoftwareVersion

log = get_logger(name=__name__)

STEP_SECONDS = 0.25
"""Seconds between two questions."""

READER_SETTLED_SECONDS = 2.0
"""Seconds for which this router has been the platform reader before it asks engines."""

MAX_CONFIRMATION_AGE_SECONDS = 2.0
"""Seconds without a confirmation of the entries after which no engine is asked: its
epoch would prove nothing before the store is back."""

REGISTRATION_SECONDS = 5.0
"""Seconds after the start of an endpoint from which the entry under its name is its
own: it has written one, or the platform has removed the earlier one."""

RETRY_SECONDS = 10.0
"""Seconds after which an engine that has not answered is asked again."""

REPORT_SECONDS = 60.0
"""Seconds after which a known epoch is reported again; some routers may lack it."""


@dataclass(kw_only=True, slots=True)
class _Reading:
    """What an engine has told of its epoch.

    Attributes:
        version: Software version in its entry then.
        read_at: When, seconds on the monotonic clock.
        part: Tag of its epoch; None if it has told none.
        reported_at: When the epoch was last reported.
    """

    version: SoftwareVersion
    read_at: float
    part: PartTag | None = None
    reported_at: float = float("-inf")


class EpochDiscovery:
    """Asks engines with streams to resume for their epochs, and reports these.

    Args:
        view: The engines of the fleet.
        confirmed_age: Returns the seconds since the store confirmed their entries.
        caches: Receives the epochs, for reports to other routers.
        peer_summary: Whether this router reads the platform for its peers.
        backoffs: Engines that have asked this router to back off.
        reader: Asks one engine.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        confirmed_age: Callable[[], float],
        caches: CacheMap,
        peer_summary: PeerStatus,
        backoffs: EndpointBackoffs,
        reader: CacheReader,
        clock: Clock,
    ) -> None:
        self._view = view
        self._confirmed_age = confirmed_age
        self._caches = caches
        self._peer_summary = peer_summary
        self._backoffs = backoffs
        self._reader = reader
        self._clock = clock
        self._reader_since: float | None = None
        self._readings: dict[EndpointId, _Reading] = {}

    async def run(self) -> None:
        """Ask engines that have not been asked, until cancelled."""
        while True:
            await anyio.sleep(STEP_SECONDS)
            await self.step()

    async def step(self) -> None:
        """Report known epochs, and ask at most one engine."""
        now = self._clock()
        confirmed_age = self._confirmed_age()
        is_confirmed = confirmed_age <= MAX_CONFIRMATION_AGE_SECONDS
        if not (is_confirmed and self._peer_summary.is_platform_reader):
            self._reader_since = None
            return
        if self._reader_since is None:
            self._reader_since = now
        engines = tuple(self._engines())
        self._report(engines=engines, now=now, confirmed_at=now - confirmed_age)
        if now - self._reader_since < READER_SETTLED_SECONDS:
            return
        for entry in engines:
            if self._is_due(entry=entry, now=now):
                await self._read(entry=entry)
                return

    def _engines(self) -> Iterator[EndpointEntry]:
        """Engines with streams to resume whose entries name no start."""
        configuration = self._view.configuration
        if configuration is None:
            return
        services = configuration.resumable_services
        for entry in self._view.entries:
            names_start = entry.incarnation != UNKNOWN_INCARNATION
            if entry.models and not names_start and entry.service in services:
                yield entry

    def _is_due(self, *, entry: EndpointEntry, now: float) -> bool:
        if self._backoffs.is_backing_off(endpoint=entry.endpoint):
            return False
        reading = self._readings.get(entry.endpoint)
        if reading is None or reading.version != entry.software_version:
            return True
        return reading.part is None and now - reading.read_at >= RETRY_SECONDS

    async def _read(self, *, entry: EndpointEntry) -> None:
        part: PartTag | None = None
        try:
            cached = await self._reader.cached_parts(entry=entry)
        except EndpointError as error:
            log.warning("epoch_unread", endpoint=entry.endpoint, cause=error.message)
        else:
            if cached.leaving:
                self._view.leaving.record(endpoint=cached.endpoint)
            epoch = cached.mark.epoch
            if epoch is not None:
                part = epoch_tag(epoch=epoch, version=entry.software_version)
            log.info("epoch_read", endpoint=entry.endpoint, epoch=epoch)
        self._readings[entry.endpoint] = _Reading(
            version=entry.software_version, read_at=self._clock(), part=part
        )

    def _report(
        self, *, engines: tuple[EndpointEntry, ...], now: float, confirmed_at: float
    ) -> None:
        """Report the epochs that certainly belong to the entries of their engines.

        Had an engine just started as it named its epoch, its entry could have been that
        of an earlier lifetime; so the store has to have confirmed it long enough after.
        """
        known: dict[EndpointId, _Reading] = {}
        for entry in engines:
            reading = self._readings.get(entry.endpoint)
            if reading is None or reading.version != entry.software_version:
                continue
            known[entry.endpoint] = reading
            is_registered = confirmed_at >= reading.read_at + REGISTRATION_SECONDS
            is_due = now - reading.reported_at >= REPORT_SECONDS
            if reading.part is not None and is_registered and is_due:
                reading.reported_at = now
                self._caches.record_part(endpoint=entry.endpoint, part=reading.part)
        self._readings = known
