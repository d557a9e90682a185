"""Streams of two versions over their callers' tries, at real router processes.

The environment variable VERSIONS_SEEDS sets the first seed, the number of seeds and the
number of routers, such as "1 50 4"; VERSIONS_SOURCES names directories with the
releases that the first routers run, separated by colons.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.platform.names import Table
from dotterelpaddle.tests.forwarding.harness import SERVICE, configuration, route
from dotterelpaddle.tests.forwarding.versions_world import run_versions_world

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from dotterelpaddle.standins.runner import RunnerStandin
    from dotterelpaddle.tests.forwarding.versions_world import VersionsWorld

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

FIRST_SEED, SEED_COUNT, ROUTERS = (
    int(each) for each in os.environ.get("VERSIONS_SEEDS", "1 1 3").split()
)
SOURCES = tuple(filter(None, os.environ.get("VERSIONS_SOURCES", "").split(":")))
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)

CALLERS = 40
MAX_MIXED_STREAMS = 0
MIN_SHARE_OF_NEW_STREAMS = 0.5
"""Streams taken up go on at least half as often as new ones begin."""

FROZEN_SECONDS = 1.5
OTHER_SERVICE = "letters"
WRITTEN_AGAIN_SECONDS = 2.0
"""Seconds after which endpoints write what the store has lost."""


async def callers_hang_up(world: VersionsWorld) -> None:
    await anyio.sleep(3.0)


async def endpoints_break_streams(world: VersionsWorld) -> None:
    for _ in range(8):
        world.break_streams()
        await anyio.sleep(0.4)


async def routers_are_killed_in_turn(world: VersionsWorld) -> None:
    for router in world.routers:
        await anyio.sleep(world.generator.uniform(0.3, 1.0))
        await world.kill(router)


async def all_routers_are_killed_at_once(world: VersionsWorld) -> None:
    for _ in range(2):
        await anyio.sleep(world.generator.uniform(1.2, 2.0))
        await world.kill(*world.routers)


async def routers_freeze_in_turn(world: VersionsWorld) -> None:
    for router in world.routers:
        await anyio.sleep(world.generator.uniform(0.3, 1.0))
        await world.freeze(router, seconds=FROZEN_SECONDS)


async def routers_are_released(world: VersionsWorld) -> None:
    for router in world.routers:
        await anyio.sleep(world.generator.uniform(0.1, 0.5))
        await world.stop(router)


async def endpoints_are_released(world: VersionsWorld) -> None:
    """Replace the endpoints of one version while routers are killed."""
    for number in range(3):
        await world.add_runner("v1.2")
        await anyio.sleep(0.4)
        world.store.remove(table="servers", key=world.runners[2 * number].name)
        await world.kill(world.routers[number % len(world.routers)])


async def four_versions_and_one_is_replaced(world: VersionsWorld) -> None:
    """Run four versions, and replace one by a fifth while routers are killed."""
    for version in ("v1.2", "v1.3"):
        for _ in range(3):
            await world.add_runner(version)
    for number in range(3):
        await anyio.sleep(0.4)
        await world.add_runner("v1.4")
        world.store.remove(table=Table.ENDPOINTS, key=world.runners[2 * number].name)
        await world.kill(world.routers[number % len(world.routers)])


async def route_is_split_between_services(world: VersionsWorld) -> None:
    """Split the route between two services of two versions while routers are killed."""
    for version in ("w1", "w1.1"):
        for _ in range(3):
            await world.add_runner(version, service=OTHER_SERVICE)
    names = (SERVICE, OTHER_SERVICE)
    split = [
        {"service": name, "weight": weight}
        for name, weight in zip(names, (0.7, 0.3), strict=True)
    ]
    split_route = route("stream/again", "stream", streamResume=True, trafficSplit=split)
    services = [{"name": name, "healthPath": "/health"} for name in names]
    world.store.configure(
        configuration=configuration(2, routes=[split_route], services=services)
    )
    for router in world.routers:
        await anyio.sleep(world.generator.uniform(0.3, 1.0))
        world.break_streams()
        await world.kill(router)


async def callers_resume_again_and_again(world: VersionsWorld) -> None:
    await routers_are_killed_in_turn(world)


SCENES = [
    callers_hang_up,
    endpoints_break_streams,
    routers_are_killed_in_turn,
    all_routers_are_killed_at_once,
    routers_freeze_in_turn,
    routers_are_released,
    endpoints_are_released,
    four_versions_and_one_is_replaced,
    route_is_split_between_services,
    callers_resume_again_and_again,
]
HANG_UP_SHARES: dict[Callable[[VersionsWorld], Awaitable[None]], float] = {
    callers_hang_up: 0.4,
    callers_resume_again_and_again: 0.9,
}
"""Shares of the callers' connections that break on their side."""

FEW_HANG_UPS = 0.05


# Guards against streams that go on at another version over their callers' tries, and
# against refusing them instead.
@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.__name__)
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_go_on_at_the_version_that_began_them(
    seed: int, scene: Callable[[VersionsWorld], Awaitable[None]], tmp_path: Path
) -> None:
    hang_up_share = HANG_UP_SHARES.get(scene, FEW_HANG_UPS)
    async with run_versions_world(
        directory=tmp_path, seed=seed, routers=ROUTERS, sources=SOURCES
    ) as world:
        world.start_callers(count=CALLERS, hang_up_share=hang_up_share)
        await scene(world)
        await world.finish()
        counts = world.counts

    print(scene.__name__, seed, counts)
    assert counts.mixed <= MAX_MIXED_STREAMS, counts
    assert counts.taken_up
    required = MIN_SHARE_OF_NEW_STREAMS * counts.begun_share
    assert counts.gone_on_share >= required, counts


# Guards against streams that go on at another version because their caller, which takes
# them up a second time, names the try before and not the one that brought the first
# event. No router has a record under that name, so that refusals are allowed.
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_whose_caller_names_the_try_before_hold_one_version(
    seed: int, tmp_path: Path
) -> None:
    async with run_versions_world(
        directory=tmp_path, seed=seed, routers=ROUTERS, sources=SOURCES
    ) as world:
        world.names_last_try = True
        world.start_callers(count=CALLERS, hang_up_share=0.9)
        await routers_are_killed_in_turn(world)
        await world.finish()
        counts = world.counts

    print("names the try before", seed, counts)
    assert counts.mixed <= MAX_MIXED_STREAMS, counts
    assert counts.gone_on


async def _write_again(world: VersionsWorld, runners: list[RunnerStandin]) -> None:
    await anyio.sleep(WRITTEN_AGAIN_SECONDS)
    for runner in runners:
        world.register(runner)


# Guards against streams that go on at another version after the loss of all routers,
# because the store comes back from a copy of before the version that began them, which
# tells of one version only.
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_hold_one_version_though_the_store_forgets_the_second(
    seed: int, tmp_path: Path
) -> None:
    async with run_versions_world(
        directory=tmp_path, seed=seed, routers=ROUTERS, versions=("v1",)
    ) as world:
        world.start_callers(count=CALLERS)
        await anyio.sleep(1.5)
        copied = world.store.revision
        later = [await world.add_runner("v1.1") for _ in range(3)]
        await anyio.sleep(2.0)
        world.store.return_from_copy(revision=copied)
        world.tasks.start_soon(_write_again, world, later)
        await world.kill(*world.routers)
        await anyio.sleep(1.0)
        await world.finish()
        counts = world.counts

    print("store forgets the second version", seed, counts)
    assert counts.mixed <= MAX_MIXED_STREAMS, counts
    assert counts.taken_up


# Guards against refusing streams after the loss of all routers though only one version
# can have begun them; nothing is written of single streams then.
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_of_the_only_version_go_on_after_the_loss_of_all_routers(
    seed: int, tmp_path: Path
) -> None:
    async with run_versions_world(
        directory=tmp_path, seed=seed, routers=ROUTERS, versions=("v1",)
    ) as world:
        world.start_callers(count=CALLERS)
        await all_routers_are_killed_at_once(world)
        await world.finish()
        counts = world.counts

    print("only version", seed, counts)
    assert counts.taken_up
    required = MIN_SHARE_OF_NEW_STREAMS * counts.begun_share
    assert counts.gone_on_share >= required, counts
