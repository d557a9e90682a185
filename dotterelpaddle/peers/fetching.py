"""Fetches from other routers, or from endpoints, what this router lacks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.exceptions import ControlError, EndpointError, RecordError
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
    from dotterelpaddle.forwarding.interface import CachesReader, Documents
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.network import LinkedBackend
    from dotterelpaddle.peers.directory import Peer, PeerDirectory
    from dotterelpaddle.peers.word import PeersWord

log = get_logger(name=__name__)

FETCH_TIME = 0.8
"""Seconds that another router gets to hand out what it knows."""

FETCH_PAUSE = 0.25
"""Seconds between looks at whether another router knows more."""

LOOKS_BEHIND = 2
"""Looks in a row at which another router must know later endpoints before they are
fetched from it: a call to the platform, which comes first, takes 4 ms."""

ALONE_AFTER = 0.03
"""Seconds after the start from which a router that knows no places of parts, and
hears of none, asks endpoints. A router that lives answers the first report within some
5 ms. Where all have stopped, callers of the last third of a second wait at the door,
and each moment that this takes makes more of their streams late."""

ENOUGH_TIME = 0.06
"""Seconds that requests wait for engines' lists; engines in reach need some 0.02 s, and
those behind a cut would make streams wait for 0.3 s, by which they are late."""

MOST_READ_BY_EACH = 16
"""Engines that every router asks for itself, as it takes 0.1 s; of more one router
asks all, since each question takes an engine some of its time."""

FIRST_AFTER = 0.4
"""Seconds after the start until the router that asks for all is known to be that:
two rounds of reports."""

GIVEN_UP_AFTER = 3.0
"""Seconds after the start after which the others do without its answer."""

START_PAUSE = 0.03
"""Seconds between looks while the places of parts are not known."""

SNAPSHOT_PATH = "/snapshot"
CONFIGURATION_PATH = "/configuration"


class Fetcher:
    """Catches up with other routers.

    Args:
        view: What this router acts on.
        caches: Where parts of prompts are.
        directory: The other routers.
        word: What they vouch for.
        documents: Decodes what others hand out.
        caches_reader: Asks endpoints for what they have cached.
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
        word: PeersWord,
        documents: Documents,
        caches_reader: CachesReader,
        platform_age: Callable[[], float],
        backend: LinkedBackend,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._caches = caches
        self._directory = directory
        self._word = word
        self._looks_behind = 0
        self._documents = documents
        self._unusable = UnusableEntries()
        self._caches_reader = caches_reader
        self._platform_age = platform_age
        self._clock = clock
        self._generator = generator
        self._started_at = clock()
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
                pause = FETCH_PAUSE if self._caches.known else START_PAUSE
                await anyio.sleep(pause * self._generator.uniform(0.8, 1.2))
                peer = self._better_informed()
                if peer is None:
                    await self._read_caches()
                    continue
                try:
                    await self._fetch(peer=peer)
                except (ControlError, RecordError) as error:
                    log.warning(
                        "snapshot_failed",
                        router=peer.report.router,
                        cause=error.message,
                    )

    def _better_informed(self) -> Peer | None:
        """The router that knows the most, if it knows more than this one."""
        alive = self._directory.alive
        if not alive:
            return None
        latest = max(alive, key=lambda peer: peer.report.version)
        if latest.report.version > self._view.version:
            return latest
        most = max(alive, key=lambda peer: peer.report.parts)
        if most.report.parts and not self._caches.known:
            return most
        newest = self._word.better_informed
        self._looks_behind = 0 if newest is None else self._looks_behind + 1
        # One that is told of all news by others does not call the platform.
        at_once = (
            self._view.endpoints_revision is None or self._word.endpoints_passed_on
        )
        return newest if at_once or self._looks_behind >= LOOKS_BEHIND else None

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
                self._view.take_configuration(configuration=configuration)
        request = SnapshotRequest(
            revision=self._view.endpoints_revision, uses=not self._caches.known
        )
        content = await self._get(peer=peer, target=f"{SNAPSHOT_PATH}?{request.query}")
        snapshot = decode_snapshot(
            content=content, documents=self._documents, unusable=self._unusable
        )
        if snapshot.endpoints is not None:
            self._view.take_endpoints(read=snapshot.endpoints)
        if not self._caches.known:
            self._caches.hear(uses=snapshot.uses)
            self._caches.mark_known()
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
            with anyio.fail_after(FETCH_TIME):
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

    async def _read_caches(self) -> None:
        """Ask endpoints what they have cached, if no router can tell.

        That is so after all routers have stopped at once. Where there are few
        engines each asks for itself: to wait for another one's word would cost more
        than the question.
        """
        waited = self._clock() - self._started_at
        if self._caches.known or not self._view.complete or waited < ALONE_AFTER:
            return
        engines = [entry for entry in self._view.used_entries if entry.models]
        if len(engines) > MOST_READ_BY_EACH:
            if waited < FIRST_AFTER:
                return
            if not self._word.reads_first:
                if waited >= GIVEN_UP_AFTER:
                    self._caches.mark_known()
                return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._mark_known_soon)
            async with anyio.create_task_group() as reads:
                for entry in engines:
                    reads.start_soon(self._read_cache, entry)
            tasks.cancel_scope.cancel()
        self._caches.mark_known()

    async def _mark_known_soon(self) -> None:
        """Let requests go on while some engines have not answered.

        Engines behind a cut never do; what the others told is all that can be used.
        """
        await anyio.sleep(ENOUGH_TIME)
        self._caches.mark_known()

    async def _read_cache(self, entry: EndpointEntry) -> None:
        try:
            cached = await self._caches_reader.cached_parts(entry=entry)
        except EndpointError as error:
            log.warning("cache_unread", endpoint=entry.endpoint, cause=error.message)
            return
        self._caches.hear(uses=[(part, cached.endpoint) for part in cached.parts])
        log.info("cache_read", endpoint=cached.endpoint, parts=len(cached.parts))
