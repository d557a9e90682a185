"""Asks endpoints what they have cached, where no router can tell.

That is so after all routers have stopped at once. In a large fleet only those that
decide need to know: the owner of each failure domain asks the engines there.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import EndpointError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.interface import CacheReader
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import FailureDomain
    from dotterelpaddle.owners.shards import ShardMap
    from dotterelpaddle.peers.summary import PeerSummary

log = get_logger(name=__name__)

QUERY_DELAY_SECONDS = 0.03
"""Seconds after the start from which a router that knows no places of parts, and
hears of none, asks endpoints. A router that lives answers the first report within some
5 ms. Where all have stopped, callers of the last third of a second wait at the door,
and each moment that this takes makes more of their streams late."""

MAX_QUERY_WAIT_SECONDS = 0.06
"""Seconds that requests wait for engines' lists; engines in reach need some 0.02 s, and
those behind a cut would make streams wait for 0.3 s, by which they are late."""

MAX_ENGINES_QUERIED_BY_ALL = 16
"""Engines that every router asks for itself, as it takes 0.1 s; of more one router
asks all, since each question takes an engine some of its time."""

READER_SETTLED_SECONDS = 1.0
"""Seconds after the start until the router that asks for all is known to be that.
Sooner most of hundreds of routers that start together hear of hardly any other one,
take themselves for the first, and ask all engines."""

GIVE_UP_SECONDS = 3.0
"""Seconds after the start after which the others do without its answer."""


class QueryScope(Enum):
    """Which engines a router asks."""

    LATER = "later"
    NONE = "none"
    OWN_DOMAIN = "own_domain"
    ALL = "all"


def choose_query_scope(
    *,
    engine_count: int,
    uptime: float,
    is_domain_owner: bool | None,
    is_platform_reader: bool,
) -> QueryScope:
    """Decide which engines a router asks that does not know their caches.

    Args:
        engine_count: How many there are.
        uptime: Seconds since its start.
        is_domain_owner: Whether it decides for its failure domain; None where no owners are known.
        is_platform_reader: Whether it reads for all routers that it hears.
    """
    if is_domain_owner is not None:
        return QueryScope.OWN_DOMAIN if is_domain_owner else QueryScope.NONE
    if uptime < QUERY_DELAY_SECONDS:
        return QueryScope.LATER
    if engine_count <= MAX_ENGINES_QUERIED_BY_ALL:
        return QueryScope.ALL
    if uptime >= READER_SETTLED_SECONDS and is_platform_reader:
        return QueryScope.ALL
    return QueryScope.NONE if uptime >= GIVE_UP_SECONDS else QueryScope.LATER


class CacheDiscovery:
    """Learns from engines what they have cached.

    Args:
        view: The engines.
        caches: Where parts of prompts are.
        peer_summary: Tells what part this router has among the others.
        shards: Tells who decides for which engines.
        quiet: Engines that want nothing from this router for a while.
        reader: Asks an engine.
        failure_domain: Where this router is.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        caches: CacheMap,
        peer_summary: PeerSummary,
        shards: ShardMap,
        quiet: EndpointBackoffs,
        reader: CacheReader,
        failure_domain: FailureDomain,
        clock: Clock,
    ) -> None:
        self._view = view
        self._caches = caches
        self._peer_summary = peer_summary
        self._shards = shards
        self._quiet = quiet
        self._reader = reader
        self._failure_domain = failure_domain
        self._clock = clock
        self._started_at = clock()
        self._was_owner = False

    async def discover(self) -> None:
        """Ask engines, if it is due and this router's part."""
        owns = self._peer_summary.is_domain_owner
        became_owner = bool(owns) and not self._was_owner
        if not self._view.complete or (self._caches.is_populated and not became_owner):
            return
        asked = self._view.evacuations.exclude_evacuated(
            entries=self._view.routed_entries
        )
        engines = [entry for entry in asked if entry.models]
        match choose_query_scope(
            engine_count=len(engines),
            uptime=self._clock() - self._started_at,
            is_domain_owner=owns,
            is_platform_reader=self._peer_summary.is_platform_reader,
        ):
            case QueryScope.NONE:
                self._caches.mark_populated()
            case QueryScope.OWN_DOMAIN:
                self._was_owner = True
                own = self._failure_domain
                owning = self._shards.owning_domain
                await self._query(
                    [each for each in engines if owning(endpoint=each.endpoint) == own]
                )
            case QueryScope.ALL:
                await self._query(engines)

    async def _query(self, engines: Sequence[EndpointEntry]) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._mark_populated_after_wait)
            async with anyio.create_task_group() as reads:
                for entry in engines:
                    reads.start_soon(self._query_engine, entry)
            tasks.cancel_scope.cancel()
        self._caches.mark_populated()

    async def _mark_populated_after_wait(self) -> None:
        """Let requests go on while some engines have not answered.

        Engines behind a cut never do; what the others told is all that can be used.
        """
        await anyio.sleep(MAX_QUERY_WAIT_SECONDS)
        self._caches.mark_populated()

    async def _query_engine(self, entry: EndpointEntry) -> None:
        if self._quiet.is_backing_off(endpoint=entry.endpoint):
            log.info("cache_unread", endpoint=entry.endpoint, cause="it wants quiet")
            return
        try:
            cached = await self._reader.cached_parts(entry=entry)
        except EndpointError as error:
            log.warning("cache_unread", endpoint=entry.endpoint, cause=error.message)
            return
        if cached.leaving:
            self._view.leaving.record(endpoint=cached.endpoint)
        self._caches.receive(uses=[(part, cached.endpoint) for part in cached.parts])
        log.info("cache_read", endpoint=cached.endpoint, parts=len(cached.parts))
