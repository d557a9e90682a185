"""A large fleet that follows a store, in memory and in virtual time.

Routers run production code, from the calls to the store to reports and snapshots. The
module simulates the store's clients, the network, and the time that a host spends on a
datagram.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.links import Links
from dotterelpaddle.peers.app import ControlApp
from dotterelpaddle.peers.ranks import rank_of
from dotterelpaddle.peers.report import PeerInfo
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.platform.names import Table
from dotterelpaddle.platform.store import StoreSource
from dotterelpaddle.standins.runner import RunnerStandin
from dotterelpaddle.standins.store import StoreStandin
from dotterelpaddle.tests.forwarding.harness import SERVICE, configuration
from dotterelpaddle.tests.memory_http import MemoryHttp, MemoryPool
from dotterelpaddle.tests.owners.hosts import (
    CROSS_DOMAIN_SECONDS,
    DOMAINS,
    FAST_LINK_MBITS,
    LINK_MBITS,
    HostDatagrams,
    Router,
    build_router,
)

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

STORE = Address(host="10.200.0.1", port=1)
DISCOVERY_SECONDS = 6.0
"""Seconds from the start of the fleet until all routers know each other."""

FAST_LINKS_PER_DOMAIN = 3


@dataclass(kw_only=True)
class FollowingFleet:
    """Routers and the store that they follow.

    Args:
        routers: Number of routers.

    Attributes:
        cut_off: Routers whose calls to the store get lost.
    """

    routers: int
    store: StoreStandin = field(default_factory=StoreStandin)
    http: MemoryHttp = field(default_factory=MemoryHttp)
    cut_off: set[Router] = field(default_factory=set)
    hosts: list[Router] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.tasks: TaskGroup
        self.hosts = [
            Router(
                number=number,
                domain=DOMAINS[number % len(DOMAINS)],
                link=FAST_LINK_MBITS
                if number < FAST_LINKS_PER_DOMAIN * len(DOMAINS)
                else LINK_MBITS,
            )
            for number in range(self.routers)
        ]
        self._by_address = {host.address: host for host in self.hosts}
        self.http.listen(address=STORE, app=self.store)
        self.store.configure(configuration=configuration())

    def register(self, name: str, **fields: Any) -> None:
        """Write an endpoint's entry."""
        entry = RunnerStandin(name=name).entry(address=STORE, service=SERVICE, **fields)
        self.store.put(table=Table.ENDPOINTS, key=name, value=entry)

    async def heartbeat(self, names: list[str], interval: float) -> None:
        """Write the entries of endpoints again and again."""
        while True:
            for name in names:
                self.register(name)
                await anyio.sleep(interval / len(names))

    def by_rank(self) -> list[Router]:
        """Return the routers in the order in which they take over roles."""
        return sorted(
            self.hosts,
            key=lambda host: rank_of(
                PeerInfo(
                    router=host.name,
                    failure_domain=host.domain,
                    address=host.address,
                    link=host.link,
                )
            ),
        )

    def uses(self, host: Router, *, name: str) -> bool:
        """Return whether a router still sends requests to an endpoint."""
        assert host.parts is not None
        ready = host.parts.state.view.ready(service=SERVICE)  # type: ignore[arg-type]
        return any(entry.endpoint == name for entry in ready)

    async def start(self) -> None:
        """Start all routers, and wait until they know each other."""
        for host in self.hosts:
            self.tasks.start_soon(self._run_host, host)
        await anyio.sleep(DISCOVERY_SECONDS)

    async def _run_host(self, host: Router) -> None:
        documents = PlatformDocumentDecoder()
        source = StoreSource(address=STORE, documents=documents, links=Links())
        source._pool = MemoryPool(  # type: ignore[assignment]
            http=self.http, is_cut=lambda *_: host in self.cut_off
        )
        parts = build_router(
            router=host.name,
            failure_domain=host.domain,
            address=host.address,
            link=host.link,
            clock=anyio.current_time,
            first_start=True,
            source=source,
            stream_store=source,
            documents=documents,
        )
        parts.fetcher._pool = MemoryPool(http=self.http)  # type: ignore[assignment]
        datagrams: Any = HostDatagrams(router=host, send=self._send_datagram)
        host.parts, host.datagrams = parts, datagrams
        state = parts.state
        self.http.listen(
            address=host.address,
            app=ControlApp(view=state.view, caches=state.caches, metrics=parts.metrics),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(parts.exchange.run, datagrams, host.address)
            tasks.start_soon(parts.follower.run)
            tasks.start_soon(parts.fetcher.run)
            tasks.start_soon(parts.stream_archive.run)

    def _send_datagram(self, datagram: bytes, sender: Router, target: Address) -> None:
        host = self._by_address.get(target)
        if host is not None:
            self.tasks.start_soon(self._deliver, datagram, sender, host)

    async def _deliver(self, datagram: bytes, sender: Router, target: Router) -> None:
        await anyio.sleep(CROSS_DOMAIN_SECONDS)
        if target.datagrams is not None:
            await target.datagrams.deliver(datagram=datagram, sender=sender.address)
