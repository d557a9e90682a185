"""Router processes that start while they hear only some of the others.

A router that starts hears those that its seeds name, and those that know its address.
So a fleet that starts with seeds of the own failure domain alone is cut into its
failure domains, and a router that starts at a new address is unseen by those that run.
Proxies between the routers cut those that run.
"""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.tests.forwarding.datagram_proxies import run_proxies
from dotterelpaddle.tests.forwarding.repeats_world import RepeatsWorld
from dotterelpaddle.tests.forwarding.versions_world import RESTART_SECONDS, run_world

if TYPE_CHECKING:
    import signal
    from collections.abc import AsyncIterator, Iterable, Sequence
    from pathlib import Path

    from dotterelpaddle.tests.forwarding.datagram_proxies import DatagramProxies
    from dotterelpaddle.tests.forwarding.router_processes import RouterProcess


@dataclass(kw_only=True)
class CutWorld(RepeatsWorld):
    """A fleet of router processes that may be cut from each other.

    Attributes:
        proxies: Links between the routers, None if they send to each other directly.
    """

    proxies: DatagramProxies | None = None
    _moved: int = 0

    def start(self, router: RouterProcess, *, first_start: bool = False) -> None:
        """Start a router, with the addresses at which it sees others as its seeds."""
        if self.proxies is None:
            super().start(router, first_start=first_start)
            return
        others = [each for each in self.routers if each is not router]
        seen = [self.proxies.seen(router=each.name, by=router.name) for each in others]
        seeds = [Address(host=each.host, port=router.control.port) for each in seen]
        self.generator.shuffle(seeds)
        router.start(first_start=first_start, seeds=seeds[:3], store=self.store_address)

    async def grow(self, *, domains: Sequence[str], source: str = "") -> None:
        """Add routers that are started later."""
        for domain in domains:
            router = self.add_router(source=source)
            router.failure_domain = domain
            router.shutdown_seconds = 8
            if self.proxies is not None:
                await self.proxies.add(router=router.name, address=router.peers)

    def cut_between_domains(self, sender: str, recipient: str) -> float | None:
        """Lose what routers of one failure domain send to another."""
        return 0.0 if self._domain(sender) == self._domain(recipient) else None

    def deaf_domain(self, sender: str, recipient: str) -> float | None:
        """Lose what the first failure domain is sent by others; they hear it."""
        first = self.routers[0].failure_domain
        is_lost = self._domain(sender) != first == self._domain(recipient)
        return None if is_lost else 0.0

    def _domain(self, router: str) -> str:
        return next(each.failure_domain for each in self.routers if each.name == router)

    def members(self, *domains: str) -> list[RouterProcess]:
        """Return the routers of some failure domains."""
        return [each for each in self.routers if each.failure_domain in domains]

    def move(self, routers: Iterable[RouterProcess]) -> None:
        """Give routers that don't run addresses that no other router knows."""
        for router in routers:
            self._moved += 1
            number = len(self.routers) + self._moved
            router.control = self._address(number, 2)
            router.peers = self._address(number, 3)

    async def end(
        self, routers: Sequence[RouterProcess], *, number: signal.Signals
    ) -> None:
        """Send routers a signal at once, and wait until they have ended."""
        for router in routers:
            router.send(number)
        for router in routers:
            await router.wait()
        await anyio.sleep(RESTART_SECONDS)

    async def start_again(self, routers: Sequence[RouterProcess]) -> None:
        """Start routers that have ended, and wait until they are ready."""
        for router in routers:
            self.start(router)
        for router in routers:
            await self.until_ready(router)


@asynccontextmanager
async def run_cut_world(
    *,
    directory: Path,
    seed: int,
    domains: Sequence[str],
    endpoints: int,
    callers: int,
    source: str = "",
    has_proxies: bool = False,
    is_cut: bool = False,
) -> AsyncIterator[CutWorld]:
    """Run router processes before endpoints of one service that can fail.

    Args:
        directory: Directory for settings and logs.
        seed: Seed of all random choices.
        domains: Failure domain of each router.
        endpoints: Number of endpoints.
        callers: Number of callers.
        source: Directory with the release that the routers run, empty for this one.
        has_proxies: Whether the routers reach each other through proxies only.
        is_cut: Whether each failure domain starts cut from the others.
    """
    make = partial(
        CutWorld,
        directory=directory,
        generator=random.Random(seed),
        dice=random.Random(seed),
        versions={"records": ["v1"] * endpoints},
    )
    async with run_proxies() as proxies, run_world(make=make) as world:
        world.proxies = proxies if has_proxies else None
        await world.add_endpoints()
        await world.grow(domains=domains, source=source)
        if is_cut:
            proxies.delay = world.cut_between_domains
        await world.start_all(first_start=True)
        world.callers.routers = [each.callers for each in world.routers]
        for _ in range(callers):
            world.tasks.start_soon(world.callers.call)
        yield world
