"""Fetches from other routers what this router lacks."""

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
"""Seconds that another router gets to hand out what it knows."""

CHECK_INTERVAL_SECONDS = 0.25
"""Seconds between looks at whether another router knows more."""

MIN_CHECKS_BEHIND = 2
"""Looks in a row at which another router must know later endpoints before they are
fetched from it: a call to the platform, which comes first, takes 4 ms."""

START_CHECK_INTERVAL_SECONDS = 0.03
"""Seconds between looks while the places of parts are not known."""

SNAPSHOT_PATH = "/snapshot"
CONFIGURATION_PATH = "/configuration"


class Fetcher:
    """Catches up with other routers.

    Args:
        view: What this router acts on.
        caches: Where parts of prompts are.
        directory: The other routers.
        peer_summary: What they vouch for.
        documents: Decodes what others hand out.
        cache_discovery: Asks endpoints what they have cached.
        platform_age: Tells the seconds since the platform's last word.
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
        """Fetch what is lacking until cancelled."""
        async with self._pool:
            while True:
                pause = (
                    CHECK_INTERVAL_SECONDS
                    if self._caches.is_populated
                    else START_CHECK_INTERVAL_SECONDS
                )
                await anyio.sleep(pause * self._generator.uniform(0.8, 1.2))
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
        """The router that knows the most, if it knows more than this one."""
        alive = self._directory.alive
        if not alive:
            return None
        latest = max(alive, key=lambda peer: peer.report.version)
        if latest.report.version > self._view.version:
            return latest
        most = max(alive, key=lambda peer: peer.report.parts)
        if most.report.parts and self._lacks_uses:
            return most
        newest = self._peer_summary.peer_ahead
        self._checks_behind = 0 if newest is None else self._checks_behind + 1
        # One that is told of all news by others does not call the platform.
        at_once = (
            self._view.endpoints_revision is None
            or self._peer_summary.receives_endpoints
        )
        return newest if at_once or self._checks_behind >= MIN_CHECKS_BEHIND else None

    @property
    def _lacks_uses(self) -> bool:
        """Whether to fetch where parts of prompts are.

        In a large fleet owners know, and learn it from the engines themselves: 200 KB
        for each of hundreds of routers that start at once would take one that hands
        them out over a small link half a minute.
        """
        return not self._caches.is_populated and not self._peer_summary.is_large_fleet

    async def _fetch(self, *, peer: Peer) -> None:
        """Fetch what another router knows.

        Raises:
            ControlError: If it gave no usable answer in time.
            RecordError: If something that it knows can't be used here.
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
        age = self._platform_age()
        log.info(
            "snapshot_taken",
            router=peer.report.router,
            version=self._view.version,
            revision=self._view.endpoints_revision,
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
            raise ControlError("no answer in time", peer=str(control)) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise ControlError(f"no answer: {error!r}", peer=str(control)) from error
        return response.content
