"""Fetches missing configurations, endpoints and cached parts from other routers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.exceptions import ControlError, RecordError
from dotterelpaddle.forwarding.unusable import UnusableEntries
from dotterelpaddle.logs import get_logger
from dotterelpaddle.peers.snapshot import (
    SnapshotRequest,
    decode_configuration,
    decode_snapshot,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.interface import DocumentDecoder
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.network import LinkedBackend
    from dotterelpaddle.peers.cache_discovery import CacheDiscovery
    from dotterelpaddle.peers.directory import Peer, PeerDirectory
    from dotterelpaddle.peers.summary import PeerSummary

log = get_logger(name=__name__)

FETCH_TIMEOUT_SECONDS = 0.8
"""Timeout of a request to another router."""

CHECK_INTERVAL_SECONDS = 0.25
"""Time between checks whether another router has newer state."""

MIN_CHECKS_BEHIND = 2
"""Consecutive checks that must find newer endpoints at a peer before a router fetches
them from that peer: the router calls the platform first, which takes 4 ms."""

START_CHECK_INTERVAL_SECONDS = 0.03
"""Time between checks while this router doesn't know the endpoints' cached parts."""

SNAPSHOT_PATH = "/snapshot"
CONFIGURATION_PATH = "/configuration"


class Fetcher:
    """Fetches newer state from other routers.

    Args:
        view: Receives configurations and endpoints.
        caches: Receives the cached prompt parts of endpoints.
        directory: The other routers.
        peer_summary: Determines which peer has newer endpoints.
        documents: Decodes the fetched documents.
        cache_discovery: Queries engines when no router knows their cached parts.
        platform_age: Returns the seconds since the last answer of the platform.
        backend: Opens connections.
        clock: Monotonic clock.
        generator: Source of jitter.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        caches: CacheMap,
        directory: PeerDirectory,
        peer_summary: PeerSummary,
        documents: DocumentDecoder,
        cache_discovery: CacheDiscovery,
        platform_age: Callable[[], float],
        backend: LinkedBackend,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._caches = caches
        self._directory = directory
        self._peer_summary = peer_summary
        self._checks_behind = 0
        self._documents = documents
        self._unusable = UnusableEntries()
        self._cache_discovery = cache_discovery
        self._platform_age = platform_age
        self._clock = clock
        self._generator = generator
        self._pool = httpcore.AsyncConnectionPool(
            network_backend=backend,
            max_connections=4,
            max_keepalive_connections=2,
            keepalive_expiry=5.0,
        )

    async def run(self) -> None:
        """Check for newer state and fetch it, until cancelled."""
        async with self._pool:
            while True:
                interval = (
                    CHECK_INTERVAL_SECONDS
                    if self._caches.is_populated
                    else START_CHECK_INTERVAL_SECONDS
                )
                await anyio.sleep(interval * self._generator.uniform(0.8, 1.2))
                peer = self._peer_ahead()
                if peer is None:
                    await self._cache_discovery.discover()
                    continue
                try:
                    await self._fetch(peer=peer)
                except (ControlError, RecordError) as error:
                    log.warning(
                        "snapshot_failed",
                        router=peer.report.router,
                        cause=error.message,
                    )

    def _peer_ahead(self) -> Peer | None:
        """Return the router to fetch from, None if no router has newer state."""
        alive = self._directory.alive
        if not alive:
            return None
        newest = max(alive, key=lambda peer: peer.report.version)
        if newest.report.version > self._view.version:
            return newest
        best_cached = max(alive, key=lambda peer: peer.report.parts)
        if best_cached.report.parts and self._lacks_uses:
            return best_cached
        ahead = self._peer_summary.peer_ahead
        self._checks_behind = 0 if ahead is None else self._checks_behind + 1
        # A router that receives all endpoints from peers does not call the platform.
        at_once = (
            self._view.endpoints_revision is None
            or self._peer_summary.receives_endpoints
        )
        return ahead if at_once or self._checks_behind >= MIN_CHECKS_BEHIND else None

    @property
    def _lacks_uses(self) -> bool:
        """Whether to fetch the cached prompt parts of endpoints.

        In a large fleet only owners need them, and they query the engines. If hundreds
        of routers start at once and fetch 200 KB each, a router with a small link would
        take half a minute to send it.
        """
        return not self._caches.is_populated and not self._peer_summary.is_large_fleet

    async def _fetch(self, *, peer: Peer) -> None:
        """Fetch another router's newer state.

        Raises:
            ControlError: If the router sent no usable answer in time.
            RecordError: If this release can't use its configuration.
        """
        if peer.report.version > self._view.version:
            content = await self._get(peer=peer, target=CONFIGURATION_PATH)
            configuration = decode_configuration(
                content=content, documents=self._documents
            )
            if configuration is not None:
                self._view.apply_configuration(configuration=configuration)
        request = SnapshotRequest(
            revision=self._view.endpoints_revision, uses=self._lacks_uses
        )
        content = await self._get(peer=peer, target=f"{SNAPSHOT_PATH}?{request.query}")
        snapshot = decode_snapshot(
            content=content, documents=self._documents, unusable=self._unusable
        )
        if snapshot.endpoints is not None:
            self._view.apply_endpoints_update(update=snapshot.endpoints)
        if request.uses:
            self._caches.receive(uses=snapshot.uses)
            self._caches.mark_populated()
        age, revision = self._platform_age(), self._view.endpoints_revision
        log.info(
            "snapshot_taken",
            router=peer.report.router,
            version=self._view.version,
            era=revision.era if revision else None,
            revision=revision.number if revision else None,
            platform_age=round(age, 3) if math.isfinite(age) else None,
        )

    async def _get(self, *, peer: Peer, target: str) -> bytes:
        control = peer.report.control
        url = httpcore.URL(
            scheme=b"http",
            host=control.host.encode(),
            port=control.port,
            target=target.encode(),
        )
        try:
            with anyio.fail_after(FETCH_TIMEOUT_SECONDS):
                response = await self._pool.request("GET", url)
        except TimeoutError as error:
            raise ControlError(
                "peer did not answer in time", peer=str(control)
            ) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise ControlError(
                f"request to peer failed: {error!r}", peer=str(control)
            ) from error
        return response.content
