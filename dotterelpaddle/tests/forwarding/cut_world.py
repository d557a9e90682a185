"""Router processes that start while they hear only some of the others.

A router that starts hears those that its seeds name, and those that know its address.
So a fleet that starts with seeds of the own failure domain alone is cut into its
failure domains, and a router that starts at a new address is unseen by those that run.
"""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.tests.forwarding.repeats_world import RepeatsWorld
from dotterelpaddle.tests.forwarding.versions_world import RESTART_SECONDS, run_world

if TYPE_CHECKING:
    import signal
    from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
    from pathlib import Path

    from dotterelpaddle.tests.forwarding.router_processes import RouterProcess


@dataclass(kw_only=True)
class CutWorld(RepeatsWorld):
    """A fleet of router processes that may start in a network partition."""

    _moved: int = 0

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
    options: Mapping[str, Any] | None = None,
) -> AsyncIterator[CutWorld]:
    """Run router processes before endpoints of one service that can fail.

    Args:
        directory: Directory for settings and logs.
        seed: Seed of all random choices.
        domains: Failure domain of each router.
        endpoints: Number of endpoints.
        callers: Number of callers.
        source: Directory with the release that the routers run, empty for this one.
        options: Further settings of the routers.
    """
    make = partial(
        CutWorld,
        directory=directory,
        generator=random.Random(seed),
        dice=random.Random(seed),
        versions={"records": ["v1"] * endpoints},
    )
    async with run_world(make=make) as world:
        await world.add_endpoints()
        for domain in domains:
            router = world.add_router(source=source)
            router.failure_domain = domain
            router.shutdown_seconds = 8
            router.options = dict(options or {})
        await world.start_all(first_start=True)
        world.callers.routers = [each.callers for each in world.routers]
        for _ in range(callers):
            world.tasks.start_soon(world.callers.call)
        yield world
