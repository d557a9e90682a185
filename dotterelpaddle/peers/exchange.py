"""Sends and receives the reports of routers."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger
from dotterelpaddle.peers.messages import PeerReport, decode_report, encode_report

if TYPE_CHECKING:
    import random

    from anyio.abc import UDPSocket

    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.follower import Follower
    from dotterelpaddle.forwarding.loads import LoadBook
    from dotterelpaddle.forwarding.repeats import SharedRepeats
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.links import Links
    from dotterelpaddle.peers.directory import PeerDirectory

log = get_logger(name=__name__)

REPORT_PAUSE = 0.2
"""Seconds between reports: at a few requests a second for each router, loads
are off by a handful of requests over all endpoints."""

PEERS_EVERY = 8
"""Reports of which one names the routers that its sender hears. With nine routers
the names are a third of a report, and new routers are rare."""

UNKNOWN = Revision(-1)
"""Revision of a router that knows no endpoints yet."""


class PeerExchange:
    """Keeps routers informed of each other.

    Args:
        router: This router's name.
        failure_domain: Where it is.
        view: What it acts on.
        loads: Requests in flight.
        repeats: What repeats cost.
        caches: Where parts of prompts are.
        directory: The other routers.
        follower: Knows how long ago the platform was heard from.
        links: The process's links.
        generator: Source of jitter.
    """

    def __init__(
        self,
        *,
        router: RouterId,
        failure_domain: FailureDomain,
        view: FleetView,
        loads: LoadBook,
        repeats: SharedRepeats,
        caches: CacheMap,
        directory: PeerDirectory,
        follower: Follower,
        links: Links,
        generator: random.Random,
    ) -> None:
        self._router = router
        self._failure_domain = failure_domain
        self._view = view
        self._loads = loads
        self._repeats = repeats
        self._caches = caches
        self._directory = directory
        self._follower = follower
        self._links = links
        self._generator = generator
        self._incarnation = secrets.randbits(53)
        self._sequence = 0
        self._dropped = 0
        self._sending = anyio.Lock()

    async def run(self, datagrams: UDPSocket, control: Address) -> None:
        """Exchange reports until cancelled.

        Args:
            datagrams: The socket for them.
            control: Where this router hands out what it knows.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, datagrams, control)
            tasks.start_soon(self._report_regularly, datagrams, control)

    async def _report_regularly(self, datagrams: UDPSocket, control: Address) -> None:
        while True:
            report = encode_report(report=self._report(control=control))
            for target in self._directory.targets():
                await self._send(datagrams, report, target)
            await anyio.sleep(REPORT_PAUSE * self._generator.uniform(0.9, 1.1))

    async def _send(self, datagrams: UDPSocket, report: bytes, target: Address) -> None:
        if not self._links.is_open(peer=target) or self._links.loses():
            return
        try:
            # Reports and answers to new routers are sent by different tasks.
            async with self._sending:
                await datagrams.sendto(report, target.host, target.port)
        except OSError as error:
            log.warning("report_unsent", peer=str(target), cause=str(error))

    def _report(self, *, control: Address) -> PeerReport:
        self._sequence += 1
        revision = self._view.endpoints_revision
        return PeerReport(
            router=self._router,
            failure_domain=self._failure_domain,
            incarnation=self._incarnation,
            sequence=self._sequence,
            control=control,
            version=self._view.version,
            revision=UNKNOWN if revision is None else revision,
            configuration_age=self._follower.configuration_age,
            endpoints_age=self._follower.endpoints_age,
            endpoints_tag=self._view.endpoints_tag,
            loads=self._loads.own,
            repeats=self._repeats.counts(),
            uses=tuple(self._caches.news()),
            parts=self._caches.parts if self._caches.known else 0,
            peers=self._names() if self._sequence % PEERS_EVERY == 1 else (),
        )

    def _names(self) -> tuple[Address, ...]:
        return tuple(peer.address for peer in self._directory.alive)

    async def _receive(self, datagrams: UDPSocket, control: Address) -> None:
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
                answer = encode_report(report=self._report(control=control))
                await self._send(datagrams, answer, address)

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
