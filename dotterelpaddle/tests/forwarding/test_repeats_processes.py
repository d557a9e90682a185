"""Repeats that reach failing endpoints, from real router processes.

The environment variable REPEATS_SEEDS sets the first seed and the number of seeds, such
as "1 50"; REPEATS_SOURCE names a directory with the release that the routers run.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from dotterelpaddle.tests.forwarding.repeats_world import (
    RepeatsWorld,
    run_repeats_world,
)
from dotterelpaddle.tests.forwarding.versions_world import RESTART_SECONDS

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

Trouble = Callable[[RepeatsWorld], Coroutine[Any, Any, None]]

FIRST_SEED, SEED_COUNT = map(int, os.environ.get("REPEATS_SEEDS", "1 1").split())
SOURCE = os.environ.get("REPEATS_SOURCE", "")
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)

CALM_SECONDS = 13.0
FAILING_SECONDS = 11.0
FAILING_SHARE = 0.9
CALLERS, PAUSE_SECONDS = 60, 0.4
RETRYABLE_PATHS = ("/safe/", "/stream/again/")
LOSSES = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """Routers and endpoints of a small deployment.

    Attributes:
        domains: Failure domain of each router.
        versions: Software versions of the endpoints of each service.
    """

    domains: Sequence[str]
    versions: Mapping[str, Sequence[str]]


SHAPES = {
    "six_routers": Shape(
        domains="aabbcc", versions={"model": ["v1"] * 5, "records": ["v1"] * 3}
    ),
    "nine_routers": Shape(
        domains="aaabbccdd", versions={"model": ["v1"] * 5, "records": ["v1"] * 4}
    ),
}


async def lose_all_as_if_first(world: RepeatsWorld) -> None:
    """Lose all routers in series; all are told that they start for the first time.

    Each process has time to spend what it may spend at once.
    """
    for _ in range(LOSSES):
        await anyio.sleep(1.0)
        await world.lose(world.routers, seconds=RESTART_SECONDS, first_start=True)


async def lose_half(world: RepeatsWorld) -> None:
    """Lose half of the routers for a while, so that their callers move."""
    await anyio.sleep(1.5)
    half = world.routers[: len(world.routers) // 2]
    await world.lose(half, seconds=3.0, first_start=False)


async def lose_all(world: RepeatsWorld) -> None:
    """Lose all routers at once, twice."""
    for _ in range(2):
        await anyio.sleep(2.0)
        await world.lose(world.routers, seconds=RESTART_SECONDS, first_start=False)


async def add_routers(world: RepeatsWorld) -> None:
    """Add half as many routers again, which callers use once they are ready."""
    await anyio.sleep(1.0)
    domains = [router.failure_domain for router in world.routers]
    for domain in domains[: len(domains) // 2]:
        router = world.add_router(source=SOURCE)
        router.failure_domain = domain
        world.start(router)
        await world.until_ready(router)
        world.callers.routers = [*world.callers.routers, router.callers]


async def stop_a_domain(world: RepeatsWorld) -> None:
    """Let the routers of one failure domain stand still for a while."""
    await anyio.sleep(1.5)
    domain = world.routers[0].failure_domain
    for router in world.routers:
        if router.failure_domain == domain:
            router.send(signal.SIGSTOP)
    await anyio.sleep(4.0)
    for router in world.routers:
        router.send(signal.SIGCONT)


def _is_retryable(path: str) -> bool:
    return path.startswith(RETRYABLE_PATHS)


async def _play(
    shape: str,
    trouble: Trouble,
    *,
    seed: int,
    directory: Path,
) -> None:
    async with (
        run_repeats_world(
            directory=directory,
            seed=seed,
            domains=SHAPES[shape].domains,
            versions=SHAPES[shape].versions,
            callers=CALLERS,
            source=SOURCE,
        ) as world,
        anyio.create_task_group() as tasks,
    ):
        callers = world.callers
        callers.pause = PAUSE_SECONDS
        callers.paths = [each for each in callers.paths if _is_retryable(each)]
        await anyio.sleep(CALM_SECONDS)
        world.failing_share = FAILING_SHARE
        tasks.start_soon(trouble, world)
        await anyio.sleep(FAILING_SECONDS)
        tasks.cancel_scope.cancel()
    excess = world.excess()
    print(shape, trouble.__name__, "seed", seed, excess, len(world.calls), "calls")
    print(len(world.told_too_much_time()), "arrivals told too much time")

    assert not world.run_at_too_many()
    assert max(excess.values()) <= 0


# Guards against a budget that each router has to itself as their number changes: after
# all are lost, as some are added, and while those of a failure domain stand still.
@pytest.mark.parametrize("trouble", [lose_all, add_routers, stop_a_domain])
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("seed", SEEDS)
async def test_repeats_stay_within_the_budget_as_routers_come_and_go(
    seed: int,
    shape: str,
    trouble: Trouble,
    tmp_path: Path,
) -> None:
    await _play(shape, trouble, seed=seed, directory=tmp_path)


# Guards against retries of an earlier process that are spent again after each start of
# a process that is told that the whole fleet starts for the first time, and against a
# share of retries that is spent by two routers as callers move from one to the other.
@pytest.mark.parametrize(
    ("shape", "trouble"),
    [("six_routers", lose_all_as_if_first), ("nine_routers", lose_half)],
)
@pytest.mark.parametrize("seed", SEEDS)
async def test_repeats_stay_within_the_budget(
    seed: int,
    shape: str,
    trouble: Trouble,
    tmp_path: Path,
) -> None:
    await _play(shape, trouble, seed=seed, directory=tmp_path)
