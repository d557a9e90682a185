"""A fleet of catalogs in one process, for tests and measurements."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.backing.http import open_platform
from dotterelpaddle.catalog.service import run_catalog
from dotterelpaddle.catalog.settings import CatalogSettings
from dotterelpaddle.clock import monotonic
from dotterelpaddle.control.channel import open_channel
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.links import Links
from dotterelpaddle.membership.view import Member, MemberState
from dotterelpaddle.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup

    from dotterelpaddle.backing.interface import Platform
    from dotterelpaddle.catalog.live import LiveCatalog
    from dotterelpaddle.control.channel import DatagramChannel

LOOPBACK = Address(host="127.0.0.1", port=0)
KEY = b"a key of the whole fleet"


class SharedView:
    """A view of members that a test controls."""

    def __init__(self, *, own: Member, shared: dict[RouterId, Member]) -> None:
        self._own = own
        self._shared = shared
        self._listed: tuple[Member, ...] = ()
        self._version = 0

    @property
    def own(self) -> Member:
        return self._own

    @property
    def version(self) -> int:
        if len(self._listed) != len(self._shared):
            self._listed = tuple(self._shared.values())
            self._version += 1
        return self._version

    def members(self) -> tuple[Member, ...]:
        return tuple(self._shared.values())

    def find(self, *, router: RouterId) -> Member | None:
        return self._shared.get(router)


@dataclass(kw_only=True)
class Node:
    """One running catalog with its surroundings."""

    member: Member
    links: Links
    channel: DatagramChannel
    platform: Platform
    catalog: LiveCatalog
    metrics: Metrics
    scope: anyio.CancelScope
    stopped: anyio.Event = field(default_factory=anyio.Event)


class CatalogFleet:
    """Starts, stops and cuts catalogs."""

    def __init__(
        self,
        *,
        platform: Address,
        token: str,
        settings: CatalogSettings,
        bytes_per_second: float,
        platform_timeout: float,
        tasks: TaskGroup,
    ) -> None:
        self._platform = platform
        self._token = token
        self._settings = settings
        self._bytes_per_second = bytes_per_second
        self._platform_timeout = platform_timeout
        self._tasks = tasks
        self._members: dict[RouterId, Member] = {}
        self._links: dict[RouterId, Links] = {}
        self.nodes: dict[RouterId, Node] = {}

    @property
    def members(self) -> dict[RouterId, Member]:
        return self._members

    async def start(self, *, name: str, domain: str) -> Node:
        node: Node = await self._tasks.start(
            self._run, RouterId(name), FailureDomain(domain)
        )
        self.nodes[node.member.router] = node
        return node

    async def stop(self, *, name: str, forget: bool = False) -> None:
        node = self.nodes.pop(RouterId(name))
        node.scope.cancel()
        await node.stopped.wait()
        if forget:
            del self._members[node.member.router]

    def cut_platform(self, *, domain: str) -> None:
        for node in self._in_domain(domain):
            node.links.cut(peers=frozenset({self._platform}))

    def cut_domain(self, *, domain: str) -> None:
        """Cut a domain off from all other domains."""
        inside = {node.member.address for node in self._in_domain(domain)}
        outside = {node.member.address for node in self.nodes.values()} - inside
        for node in self.nodes.values():
            is_inside = node.member.address in inside
            node.links.cut(peers=frozenset(outside if is_inside else inside))

    def heal(self) -> None:
        for node in self.nodes.values():
            node.links.heal()

    def _in_domain(self, domain: str) -> list[Node]:
        return [
            node for node in self.nodes.values() if node.member.failure_domain == domain
        ]

    async def _run(
        self,
        router: RouterId,
        domain: FailureDomain,
        *,
        task_status: anyio.abc.TaskStatus[Node],
    ) -> None:
        known = self._members.get(router)
        links = self._links.setdefault(router, Links())
        metrics = Metrics()
        with anyio.CancelScope() as scope:
            async with (
                open_channel(
                    address=known.address if known else LOOPBACK,
                    key=KEY,
                    bytes_per_second=self._bytes_per_second,
                    links=links,
                    metrics=metrics,
                    clock=monotonic,
                ) as channel,
                open_platform(
                    url=f"http://{self._platform}",
                    token=self._token,
                    timeout=self._platform_timeout,
                    links=links,
                ) as platform,
            ):
                member = self._join(router, domain, channel.address)
                async with run_catalog(
                    platform=platform,
                    channel=channel,
                    view=SharedView(own=member, shared=self._members),
                    settings=self._settings,
                    metrics=metrics,
                    clock=monotonic,
                ) as catalog:
                    node = Node(
                        member=member,
                        links=links,
                        channel=channel,
                        platform=platform,
                        catalog=catalog,
                        metrics=metrics,
                        scope=scope,
                    )
                    task_status.started(node)
                    await anyio.sleep_forever()
        node.stopped.set()

    def _join(
        self, router: RouterId, domain: FailureDomain, address: Address
    ) -> Member:
        known = self._members.get(router)
        if known is not None:
            member = replace(known, incarnation=known.incarnation + 1)
        else:
            member = Member(
                router=router,
                address=address,
                failure_domain=domain,
                state=MemberState.ALIVE,
            )
        self._members[router] = member
        return member


@asynccontextmanager
async def run_fleet(
    *,
    platform: Address,
    token: str = "",
    settings: CatalogSettings | None = None,
    bytes_per_second: float = 1e6,
    platform_timeout: float = 2.0,
) -> AsyncIterator[CatalogFleet]:
    async with anyio.create_task_group() as tasks:
        yield CatalogFleet(
            platform=platform,
            token=token,
            settings=settings or CatalogSettings(),
            bytes_per_second=bytes_per_second,
            platform_timeout=platform_timeout,
            tasks=tasks,
        )
        tasks.cancel_scope.cancel()
