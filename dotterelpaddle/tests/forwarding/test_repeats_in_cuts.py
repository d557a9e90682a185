"""Repeats of router processes that start in a network partition.

The environment variable CUT_SEEDS sets the first seed and the number of seeds, such as
"1 50", CUT_DOMAINS the failure domain of each router, such as "aabbcc", and CUT_SOURCE
names a directory with the release that the routers run.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from dotterelpaddle.tests.forwarding.cut_world import CutWorld, run_cut_world

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.anyio

Scene = Callable[[CutWorld], Coroutine[Any, Any, None]]

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


async def all_start_connected(world: CutWorld) -> None:
    """Kill all routers; each hears all others afterwards."""
    await world.end(world.routers, number=signal.SIGKILL)
    await world.start_again(world.routers)


async def _play(scene: Scene, *, seed: int, directory: Path) -> CutWorld:
    async with run_cut_world(
        directory=directory,
        seed=seed,
        domains=DOMAINS,
        endpoints=ENDPOINTS,
        callers=CALLERS,
        source=SOURCE,
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
@pytest.mark.parametrize("scene", [all_start_in_a_cut, a_domain_starts_unseen])
@pytest.mark.parametrize("seed", SEEDS)
async def test_routers_that_start_in_a_cut_keep_the_retry_budget(
    seed: int, scene: Scene, tmp_path: Path
) -> None:
    world = await _play(scene, seed=seed, directory=tmp_path)

    assert max(world.excess().values()) <= 0
    assert not world.run_at_too_many()


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
