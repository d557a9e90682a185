"""Repeats of router processes that start in a network partition.

The environment variable CUT_SEEDS sets the first seed and the number of seeds, such as
"1 50", and plays all scenes; CUT_DOMAINS sets the failure domain of each router, such
as "aabbcc", and CUT_SOURCE names a directory with the release that they run.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from dotterelpaddle.standins.store import Refusing
from dotterelpaddle.tests.forwarding.cut_world import CutWorld, run_cut_world
from dotterelpaddle.tests.forwarding.datagram_proxies import no_delay

if TYPE_CHECKING:
    from pathlib import Path

    from dotterelpaddle.tests.forwarding.datagram_proxies import DatagramProxies

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

Scene = Callable[[CutWorld], Coroutine[Any, Any, None]]

ALL = "CUT_SEEDS" in os.environ
FIRST_SEED, SEED_COUNT = map(int, os.environ.get("CUT_SEEDS", "1 1").split())
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
DOMAINS = os.environ.get("CUT_DOMAINS", "aabbcc")
SOURCE = os.environ.get("CUT_SOURCE", "")

ENDPOINTS, CALLERS, PAUSE_SECONDS = 8, 15, 0.5
"""About 30 requests a second while endpoints fail."""

CALM_SECONDS = 4.0
QUIET_SECONDS = 18.0
"""Seconds from the starts to the failures, in which each router saves its part of the
allowance."""

FAILING_SECONDS, FAILING_SHARE = 12.0, 0.95

MIN_USED_SHARE = 0.6
"""Least part of the budget that routers spend where nothing is cut."""

LATE_SECONDS, SHORT_CUT_SECONDS = 0.8, 1.5


async def all_start_in_a_cut(world: CutWorld) -> None:
    """Kill all routers; each hears those of its own failure domain afterwards."""
    await world.end(world.routers, number=signal.SIGKILL)
    world.cut_off.update(each.failure_domain for each in world.routers)
    await world.start_again(world.routers)


async def a_domain_starts_unseen(world: CutWorld) -> None:
    """Kill the routers of a failure domain; they start unseen by the others."""
    chosen = world.members("a")
    await world.end(chosen, number=signal.SIGKILL)
    world.cut_off.add("a")
    world.move(chosen)
    await world.start_again(chosen)


async def all_stop_in_turn(world: CutWorld) -> None:
    """Stop one router after the other; each hears its failure domain afterwards."""
    world.cut_off.update(DOMAINS)
    for router in world.routers:
        await world.end([router], number=signal.SIGTERM)
        await world.start_again([router])


async def all_start_connected(world: CutWorld) -> None:
    """Kill all routers; each hears all others afterwards."""
    await world.end(world.routers, number=signal.SIGKILL)
    await world.start_again(world.routers)


async def all_start_without_store(world: CutWorld) -> None:
    """Kill all routers; each hears its own failure domain, and the store is away."""
    world.cut_off.update(DOMAINS)
    await world.end(world.routers, number=signal.SIGKILL)
    world.store.rejects_writes = True
    await world.start_again(world.routers)
    world.store.condition = Refusing(status=503)
    world.store.wake()


async def running_are_cut(world: CutWorld) -> None:
    """Cut the failure domains from each other while all routers run."""
    _proxies(world).delay = world.cut_between_domains


async def all_start_behind_proxies(world: CutWorld) -> None:
    """Cut the failure domains from each other, and kill all routers."""
    await running_are_cut(world)
    await _restart(world)


async def one_way(world: CutWorld) -> None:
    """Let a failure domain hear no other one, while these hear it; kill all."""
    _proxies(world).delay = world.deaf_domain
    await _restart(world)


async def late(world: CutWorld) -> None:
    """Delay all datagrams, and kill all routers."""
    _proxies(world).delay = lambda sender, recipient: LATE_SECONDS
    await _restart(world)


async def short_and_repeated(world: CutWorld) -> None:
    """Cut the failure domains again and again, while routers are killed in turn."""
    world.tasks.start_soon(_cut_repeatedly, world)
    for router in world.routers:
        await world.end([router], number=signal.SIGKILL)
        await world.start_again([router])


async def added_in_a_cut(world: CutWorld) -> None:
    """Cut the failure domains from each other, and add as many routers to each."""
    await running_are_cut(world)
    known = list(world.routers)
    await world.grow(domains=[each.failure_domain for each in known], source=SOURCE)
    added = world.routers[len(known) :]
    await world.start_again(added)
    addresses = [each.callers for each in world.routers]
    world.callers.routers = addresses


async def nothing_more(world: CutWorld) -> None:
    """Change nothing; the fleet has started in a cut."""


async def _restart(world: CutWorld) -> None:
    await world.end(world.routers, number=signal.SIGKILL)
    await world.start_again(world.routers)


async def _cut_repeatedly(world: CutWorld) -> None:
    proxies = _proxies(world)
    while True:
        proxies.delay = world.cut_between_domains
        await anyio.sleep(SHORT_CUT_SECONDS)
        proxies.delay = no_delay
        await anyio.sleep(SHORT_CUT_SECONDS)


def _proxies(world: CutWorld) -> DatagramProxies:
    assert world.proxies is not None
    return world.proxies


START_SCENES = [all_start_in_a_cut, a_domain_starts_unseen, all_stop_in_turn]
PROXY_SCENES = [
    added_in_a_cut,
    running_are_cut,
    all_start_behind_proxies,
    one_way,
    late,
    short_and_repeated,
]


async def _play(
    scene: Scene,
    *,
    seed: int,
    directory: Path,
    has_proxies: bool = False,
    is_cut: bool = False,
) -> CutWorld:
    async with run_cut_world(
        directory=directory,
        seed=seed,
        domains=DOMAINS,
        endpoints=ENDPOINTS,
        callers=CALLERS,
        source=SOURCE,
        has_proxies=has_proxies,
        is_cut=is_cut,
    ) as world:
        world.callers.pause = PAUSE_SECONDS
        world.callers.paths = ["/safe/records/x"]
        await anyio.sleep(CALM_SECONDS)
        await scene(world)
        await anyio.sleep(QUIET_SECONDS)
        world.failing_share = FAILING_SHARE
        await anyio.sleep(FAILING_SECONDS)
        world.callers.calling = False
    excess = world.excess()
    print(scene.__name__, "seed", seed, excess, world.worst_windows())
    return world


# Guards against routers that start in a network partition, count only those on their
# own side of it, and together spend the retry allowance several times.
@pytest.mark.parametrize("scene", START_SCENES if ALL else START_SCENES[:2])
@pytest.mark.parametrize("seed", SEEDS)
async def test_routers_that_start_in_a_cut_keep_the_retry_budget(
    seed: int, scene: Scene, tmp_path: Path
) -> None:
    world = await _play(scene, seed=seed, directory=tmp_path)

    assert max(world.excess().values()) <= 0
    assert not world.run_at_too_many()


# Guards against the same where the store can't tell of the other sides, either.
@pytest.mark.skipif(not ALL, reason="by hand: CUT_SEEDS plays all scenes")
@pytest.mark.parametrize("seed", SEEDS)
async def test_routers_that_start_without_a_store_keep_the_retry_budget(
    seed: int, tmp_path: Path
) -> None:
    world = await _play(all_start_without_store, seed=seed, directory=tmp_path)

    assert max(world.excess().values()) <= 0


# Guards against a count of routers that is too small as long as datagrams are lost,
# late, or go one way, between routers that run, start or are added.
@pytest.mark.parametrize("scene", PROXY_SCENES if ALL else PROXY_SCENES[:1])
@pytest.mark.parametrize("seed", SEEDS)
async def test_routers_behind_cut_links_keep_the_retry_budget(
    seed: int, scene: Scene, tmp_path: Path
) -> None:
    world = await _play(scene, seed=seed, directory=tmp_path, has_proxies=True)

    assert max(world.excess().values()) <= 0


# Guards against a new fleet that counts those on one side of a cut alone.
@pytest.mark.skipif(not ALL, reason="by hand: CUT_SEEDS plays all scenes")
@pytest.mark.parametrize("seed", SEEDS)
async def test_new_fleet_that_starts_in_a_cut_keeps_the_retry_budget(
    seed: int, tmp_path: Path
) -> None:
    world = await _play(
        nothing_more, seed=seed, directory=tmp_path, has_proxies=True, is_cut=True
    )

    assert max(world.excess().values()) <= 0


# Guards against a bound for starts in a cut that takes the allowance from a fleet whose
# routers all hear each other when they start.
@pytest.mark.parametrize("seed", SEEDS)
async def test_routers_that_start_connected_use_the_retry_budget(
    seed: int, tmp_path: Path
) -> None:
    world = await _play(all_start_connected, seed=seed, directory=tmp_path)

    assert max(world.excess().values()) <= 0
    assert all(
        repeats > MIN_USED_SHARE * allowed
        for repeats, allowed in world.worst_windows().values()
    )
