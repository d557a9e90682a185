"""Sends and receives reports, and fetches what this router lacks."""

from __future__ import annotations

import math
import secrets
import socket
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import ControlError, EndpointError, RecordError
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.peers.messages import PeerReport, decode_report, encode_report
from dotterelpaddle.peers.snapshot import decode_snapshot

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from anyio.abc import UDPSocket

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.interface import CachesReader, Documents
    from dotterelpaddle.forwarding.loads import LoadBook
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.repeats import SharedRepeats
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.links import Links
    from dotterelpaddle.peers.directory import Peer, PeerDirectory

log = get_logger(name=__name__)

REPORT_PAUSE = 0.2
"""Seconds between reports: at a few requests a second for each router, loads
are off by a handful of requests over all endpoints."""

FETCH_TIME = 0.8
"""Seconds that another router gets to hand out what it knows."""

FETCH_PAUSE = 0.25
"""Seconds between looks at whether another router knows more."""

STALE_AFTER = 0.8
"""Seconds without word of the platform after which endpoints are fetched from
other routers, because leaving must be known within two."""

ALONE_AFTER = 0.1
"""Seconds after the start from which a router that knows no places of parts, and
hears of none, asks endpoints; a router that lives answers its first report."""

START_PAUSE = 0.03
"""Seconds between looks while the places of parts are not known."""

UNKNOWN = Revision(-1)
"""Revision of a router that knows no endpoints yet."""

SNAPSHOT_PATH = "/snapshot"


class PeerExchange:
    """Keeps routers informed of each other.

    Args:
        router: This router's name.
        address: Where it exchanges reports.
        control: Where it hands out what it knows.
        directory: The other routers.
        view: What this router acts on.
        loads: Requests in flight.
        repeats: What repeats cost.
        caches: Where parts of prompts are.
        documents: Decodes what others hand out.
        platform_age: Tells the seconds since the platform's last word.
        caches_reader: Asks endpoints for what they have cached.
        first: Whether the whole fleet starts for the first time, so that no
            endpoint has cached anything.
        links: The process's links.
        clock: Monotonic clock.
        generator: Source of jitter.
    """

    def __init__(
        self,
        *,
        router: RouterId,
        address: Address,
        control: Address,
        directory: PeerDirectory,
        view: FleetView,
        loads: LoadBook,
        repeats: SharedRepeats,
        caches: CacheMap,
        documents: Documents,
        platform_age: Callable[[], float],
        caches_reader: CachesReader,
        first: bool,
        links: Links,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._router = router
        self._address = address
        self._control = control
        self._directory = directory
        self._view = view
        self._loads = loads
        self._repeats = repeats
        self._caches = caches
        self._documents = documents
        self._platform_age = platform_age
        self._caches_reader = caches_reader
        self._links = links
        self._clock = clock
        self._generator = generator
        self._incarnation = secrets.randbits(53)
        self._sequence = 0
        self._dropped = 0
        self._sending = anyio.Lock()
        self._started_at = clock()
        self._caches_known = first
        self._pool = httpcore.AsyncConnectionPool(
            network_backend=LinkedBackend(links=links),
            max_connections=4,
            max_keepalive_connections=2,
            keepalive_expiry=5.0,
        )

    async def run(self) -> None:
        """Exchange reports and fetch what is lacking, until cancelled."""
        async with (
            await anyio.create_udp_socket(
                family=socket.AF_INET,
                local_host=self._address.host,
                local_port=self._address.port,
            ) as datagrams,
            self._pool,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._receive, datagrams)
            tasks.start_soon(self._send, datagrams)
            tasks.start_soon(self._catch_up)

    async def _send(self, datagrams: UDPSocket) -> None:
        while True:
            report = encode_report(report=self._report())
            for target in self._directory.targets():
                await self._send_to(datagrams, report, target)
            await anyio.sleep(REPORT_PAUSE * self._generator.uniform(0.9, 1.1))

    async def _send_report(self, *, datagrams: UDPSocket, target: Address) -> None:
        await self._send_to(datagrams, encode_report(report=self._report()), target)

    async def _send_to(
        self, datagrams: UDPSocket, report: bytes, target: Address
    ) -> None:
        if not self._links.is_open(peer=target) or self._links.loses():
            return
        try:
            # Reports and answers to new routers are sent by different tasks.
            async with self._sending:
                await datagrams.sendto(report, target.host, target.port)
        except OSError as error:
            log.warning("report_unsent", peer=str(target), cause=str(error))

    def _report(self) -> PeerReport:
        self._sequence += 1
        revision = self._view.endpoints_revision
        return PeerReport(
            router=self._router,
            incarnation=self._incarnation,
            sequence=self._sequence,
            control=self._control,
            version=self._view.version,
            revision=UNKNOWN if revision is None else revision,
            fresh=self._platform_age() < STALE_AFTER,
            loads=self._loads.own,
            repeats=self._repeats.counts(),
            uses=tuple(self._caches.news()),
            parts=self._caches.parts,
            peers=tuple(peer.address for peer in self._directory.alive),
        )

    async def _receive(self, datagrams: UDPSocket) -> None:
        async for datagram, (host, port) in datagrams:
            address = Address(host=host, port=port)
            if not self._links.is_open(peer=address):
                continue
            try:
                report = decode_report(datagram=datagram)
            except ControlError as error:
                self._dropped += 1
                log.warning(
                    "report_dropped",
                    peer=str(address),
                    cause=error.message,
                    dropped=self._dropped,
                )
                continue
            if self._hear(report=report, address=address):
                await self._send_report(datagrams=datagrams, target=address)

    def _hear(self, *, report: PeerReport, address: Address) -> bool:
        """Take in a report.

        Returns:
            Whether its process was not heard of before, and waits for an answer.
        """
        if report.router == self._router:
            return False
        known = self._directory.knows(report=report)
        if not self._directory.hear(report=report, address=address):
            return False
        self._loads.hear(router=report.router, counts=report.loads)
        self._repeats.hear(router=report.router, counts=report.repeats)
        self._caches.hear(uses=report.uses)
        return not known

    async def _catch_up(self) -> None:
        """Fetch from another router what this one lacks."""
        while True:
            pause = FETCH_PAUSE if self._caches_known else START_PAUSE
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
        revision = self._view.endpoints_revision
        best = max(alive, key=lambda peer: (peer.report.version, peer.report.revision))
        if best.report.version > self._view.version:
            return best
        if not self._caches_known:
            most = max(alive, key=lambda peer: peer.report.parts)
            if most.report.parts:
                return most
        newest = max(alive, key=lambda peer: peer.report.revision)
        behind = revision is None or newest.report.revision > revision
        if behind and self._platform_age() > STALE_AFTER:
            return newest
        return None

    async def _read_caches(self) -> None:
        """Ask endpoints what they have cached, if no router can tell.

        That is so after all routers have stopped at once. Each asks for itself:
        to wait for another one's word would cost more than the question.
        """
        waited = self._clock() - self._started_at
        if self._caches_known or not self._view.complete or waited < ALONE_AFTER:
            return
        self._caches_known = True
        async with anyio.create_task_group() as tasks:
            for entry in self._view.entries:
                if entry.models:
                    tasks.start_soon(self._read_cache, entry)

    async def _read_cache(self, entry: EndpointEntry) -> None:
        try:
            parts = await self._caches_reader.cached_parts(entry=entry)
        except EndpointError as error:
            log.warning("cache_unread", endpoint=entry.endpoint, cause=error.message)
            return
        self._caches.hear(uses=[(part, entry.endpoint) for part in parts])
        log.info("cache_read", endpoint=entry.endpoint, parts=len(parts))

    async def _fetch(self, *, peer: Peer) -> None:
        """Fetch what another router knows.

        Raises:
            ControlError: If it gave no usable answer in time.
            RecordError: If something that it knows can't be used here.
        """
        control = peer.report.control
        url = httpcore.URL(
            scheme=b"http",
            host=control.host.encode(),
            port=control.port,
            target=f"{SNAPSHOT_PATH}?version={self._view.version}".encode(),
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
        snapshot = decode_snapshot(content=response.content, documents=self._documents)
        if snapshot.configuration is not None:
            self._view.take_configuration(configuration=snapshot.configuration)
        if snapshot.endpoints is not None:
            self._view.take_endpoints(read=snapshot.endpoints)
        if not self._caches_known:
            self._caches_known = True
            self._caches.hear(uses=snapshot.uses)
        log.info(
            "snapshot_taken",
            router=peer.report.router,
            version=self._view.version,
            revision=self._view.endpoints_revision,
            platform_age=_finite(self._platform_age()),
        )


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
