"""A large fleet whose routers lose their links to endpoints, in virtual time.

The routers run the real code, from a caller's request to the connection to an endpoint,
with the reports and the tunnels between them.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.links import Links
from dotterelpaddle.tests.forwarding.crash_callers import Callers
from dotterelpaddle.tests.forwarding.crash_world import DISCOVERY_SECONDS, CrashWorld
from dotterelpaddle.tests.owners.hosts import DOMAINS, FAST_LINK_MBITS
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Collection

    from dotterelpaddle.forwarding.components import Components
    from dotterelpaddle.tests.owners.hosts import Router

TUNNEL_PORT = 2
ENGINE_PORT = 80
SUCCESS = 200
PATHS = ("/safe/", "/unsafe/", "/stream/", "/stream/again/")

SETTLED_SECONDS = 4.0
"""Seconds from a fault on after which users expect callers to be served."""


@dataclass(kw_only=True)
class LargeWorld(CrashWorld):
    """Routers in three failure domains, of which each has two with fast links.

    Attributes:
        links: Links of each router by its number.
        statuses: Statuses of first attempts since `counting` was set, by the number of
            the router that received them.
        counting: Whether answers are counted.
    """

    links: dict[int, Links] = field(default_factory=dict)
    statuses: dict[int, Counter[int]] = field(default_factory=dict)
    counting: bool = False

    def __post_init__(self) -> None:
        super().__post_init__()
        for host in self.hosts[: 2 * len(DOMAINS)]:
            host.link = FAST_LINK_MBITS
        self.statuses = {host.number: Counter() for host in self.hosts}

    def build_parts(self, host: Router, **fields: Any) -> Components:
        """Build the components of a router that serves tunnels."""
        links = self.links[host.number] = Links()
        parts = super().build_parts(host, links=links, **fields)
        address = Address(host=host.address.host, port=TUNNEL_PORT)
        self.network.listen(address=address, handler=parts.tunnel_server.handle)
        self.tasks.start_soon(self._announce_tunnels, parts, address)
        return parts

    async def _announce_tunnels(self, parts: Components, address: Address) -> None:
        with parts.tunnel_server.announced(address=address):
            await anyio.sleep_forever()

    async def start(self) -> None:
        """Start endpoints and routers, and wait until they know each other."""
        for number in range(self.engines):
            self.start_engine(
                address=Address(host=f"10.0.1.{number}", port=ENGINE_PORT),
                domain=DOMAINS[number % len(DOMAINS)],
            )
        for host in self.hosts:
            self.tasks.start_soon(self.run_host, host)
        await anyio.sleep(2 * DISCOVERY_SECONDS)

    def cut_from_endpoints(self, *, routers: Collection[int], refused: bool) -> None:
        """Cut routers off from all endpoints.

        Args:
            routers: Numbers of the routers.
            refused: Whether new connections are refused and open ones live on;
                otherwise all of them hang.
        """
        peers = frozenset(engine.address for engine in self.live)
        for number in routers:
            links = self.links[number]
            (links.refuse if refused else links.cut)(peers=peers)

    async def call_all(self, *, rate: float, seconds: float) -> None:
        """Send requests to all routers alike, each at random intervals.

        Args:
            rate: Requests a second for each router.
            seconds: Duration.
        """
        callers = Callers(world=self)
        async with anyio.create_task_group() as tasks:
            for host in self.hosts:
                tasks.start_soon(self._call_one, callers, host.number, rate, seconds)

    async def _call_one(
        self, callers: Callers, number: int, rate: float, seconds: float
    ) -> None:
        dice = random.Random(f"{self.seed} {number}")
        end_at = anyio.current_time() + seconds
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < end_at:
                await anyio.sleep(dice.expovariate(rate))
                path = f"{dice.choice(PATHS)}{dice.random()}"
                tasks.start_soon(self._record, callers, number, path)

    async def _record(self, callers: Callers, number: int, path: str) -> None:
        counting = self.counting
        answer = await callers.call(path, router=number)
        if counting:
            self.statuses[number][SUCCESS if answer.whole else answer.status] += 1

    def served_share(self, *, routers: Collection[int]) -> float:
        """Return the share of counted first attempts that some routers served."""
        counts = [self.statuses[number] for number in routers]
        served = sum(each[SUCCESS] for each in counts)
        return served / sum(each.total() for each in counts)


def run_cut(
    *,
    cut_off: Collection[int],
    refused: bool,
    routers: int,
    engines: int,
    rate: float,
    seconds: float = 8.0,
    seed: int = 1,
) -> LargeWorld:
    """Cut routers off from all endpoints under load.

    Answers count once callers expect to be served again.
    """
    world = LargeWorld(routers=routers, engines=engines, seed=seed)

    async def _run() -> None:
        async with anyio.create_task_group() as tasks:
            world.tasks = world.network.tasks = tasks
            with world.network.installed():
                await world.start()
                tasks.start_soon(_cut)
                await world.call_all(rate=rate, seconds=seconds + 2.0)
                tasks.cancel_scope.cancel()

    async def _cut() -> None:
        await anyio.sleep(2.0)
        world.cut_from_endpoints(routers=cut_off, refused=refused)
        await anyio.sleep(SETTLED_SECONDS)
        world.counting = True

    run_in_virtual_time(_run)
    return world
