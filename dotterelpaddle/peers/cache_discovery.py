"""Queries engines for their cached prompt parts when no router knows them.

This happens after all routers have stopped at once. In a large fleet only owners need
the cached parts: the owner of each failure domain queries the engines of its domain.
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
"""Uptime from which a router queries engines if no peer has sent it cached parts. A
running router answers the first report within some 5 ms. If all routers have stopped,
requests of the last third of a second are waiting, and every further delay makes more
of their streams late."""

MAX_QUERY_WAIT_SECONDS = 0.06
"""How long requests wait for the engines' answers. A reachable engine answers in some
0.02 s; an unreachable one would hold streams up for 0.3 s, which makes them late."""

MAX_ENGINES_QUERIED_BY_ALL = 16
"""Up to this many engines, every router queries all of them, which takes 0.1 s. With
more engines a single router does, since each query costs the engine time."""

READER_SETTLED_SECONDS = 1.0
"""Uptime from which the choice of the platform reader is reliable. When hundreds of
routers start together, most have received hardly any reports before this time: each
would consider itself the platform reader and query all engines."""

GIVE_UP_SECONDS = 3.0
"""Uptime from which the other routers stop waiting for the platform reader's
results."""


class QueryScope(Enum):
    """Which engines a router queries."""

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
    """Decide which engines a router without cached parts queries.

    Args:
        engine_count: Number of engines in the fleet.
        uptime: Seconds since the router started.
        is_domain_owner: Whether the router owns its failure domain; None if no owner
            is known.
        is_platform_reader: Whether the router reads the platform for its peers.
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
    """Queries engines for the prompt parts that they have cached.

    Args:
        view: The engines of the fleet.
        caches: Receives the cached prompt parts.
        peer_summary: This router's role among its peers.
        shards: Maps engines to the failure domains whose owners count them.
        backoffs: Engines that have asked this router to back off.
        reader: Queries one engine.
        failure_domain: Failure domain of this router.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        caches: CacheMap,
        peer_summary: PeerSummary,
        shards: ShardMap,
        backoffs: EndpointBackoffs,
        reader: CacheReader,
        failure_domain: FailureDomain,
        clock: Clock,
    ) -> None:
        self._view = view
        self._caches = caches
        self._peer_summary = peer_summary
        self._shards = shards
        self._backoffs = backoffs
        self._reader = reader
        self._failure_domain = failure_domain
        self._clock = clock
        self._started_at = clock()
        self._was_owner = False

    async def discover(self) -> None:
        """Query the engines that this router is responsible for, if a query is due."""
        is_owner = self._peer_summary.is_domain_owner
        became_owner = bool(is_owner) and not self._was_owner
        if not self._view.complete or (self._caches.is_populated and not became_owner):
            return
        eligible = self._view.evacuations.exclude_evacuated(
            entries=self._view.routed_entries
        )
        engines = [entry for entry in eligible if entry.models]
        match choose_query_scope(
            engine_count=len(engines),
            uptime=self._clock() - self._started_at,
            is_domain_owner=is_owner,
            is_platform_reader=self._peer_summary.is_platform_reader,
        ):
            case QueryScope.NONE:
                self._caches.mark_populated()
            case QueryScope.OWN_DOMAIN:
                self._was_owner = True
                own = self._failure_domain
                domain_of = self._shards.owning_domain
                await self._query(
                    [one for one in engines if domain_of(endpoint=one.endpoint) == own]
                )
            case QueryScope.ALL:
                await self._query(engines)

    async def _query(self, engines: Sequence[EndpointEntry]) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._mark_populated_after_wait)
            async with anyio.create_task_group() as queries:
                for entry in engines:
                    queries.start_soon(self._query_engine, entry)
            tasks.cancel_scope.cancel()
        self._caches.mark_populated()

    async def _mark_populated_after_wait(self) -> None:
        """Stop holding requests up for engines that have not answered.

        An unreachable engine never answers; the router then uses the other answers.
        """
        await anyio.sleep(MAX_QUERY_WAIT_SECONDS)
        self._caches.mark_populated()

    async def _query_engine(self, entry: EndpointEntry) -> None:
        if self._backoffs.is_backing_off(endpoint=entry.endpoint):
            log.info(
                "cache_unread",
                endpoint=entry.endpoint,
                cause="endpoint backoff is in effect",
            )
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
