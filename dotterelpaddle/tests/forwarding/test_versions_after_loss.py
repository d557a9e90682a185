"""Streams of two versions once all routers are lost at the same time.

The platform changes while no router runs: endpoints are replaced, or a route is moved.
The environment variable LOSS_ROUTERS sets the number of routers, LOSS_SEEDS the first
seed and the number of seeds, such as "1 10"; LOSS_SOURCES names directories with the
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
    from dotterelpaddle.tests.forwarding.versions_counts import Counts
    from dotterelpaddle.tests.forwarding.versions_world import VersionsWorld

    Change = Callable[[VersionsWorld], Awaitable[None]]

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

ROUTERS = int(os.environ.get("LOSS_ROUTERS", "3"))
FIRST_SEED, SEED_COUNT = map(int, os.environ.get("LOSS_SEEDS", "1 1").split())
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
SOURCES = tuple(filter(None, os.environ.get("LOSS_SOURCES", "").split(":")))
CALLERS = 40
OTHER_SERVICE = "letters"
HANG_UP_SHARE = 0.4
BEFORE_LOSS_SECONDS = 1.6
AFTER_LOSS_SECONDS = 1.0


def _services() -> list[dict[str, str]]:
    return [{"name": name, "healthPath": "/"} for name in (SERVICE, OTHER_SERVICE)]


def _configure(world: VersionsWorld, *, version: int, **fields: object) -> None:
    """Write a configuration with one route of streams."""
    stream_route = route("stream/again", "stream", **{"streamResume": True, **fields})
    world.store.configure(
        configuration=configuration(
            version, routes=[stream_route], services=_services()
        )
    )


async def _replace(
    world: VersionsWorld, *, runners: list[RunnerStandin], version: str
) -> None:
    """Replace endpoints by as many of another version."""
    for runner in runners:
        world.store.remove(table=Table.ENDPOINTS, key=runner.name)
        await world.add_runner(version)


async def _run_through_loss(
    world: VersionsWorld,
    *,
    before: Change | None = None,
    meanwhile: Change | None = None,
    first_start: bool = False,
) -> Counts:
    """Let callers read streams, and lose all routers once.

    Args:
        world: Routers and endpoints.
        before: What changes a while before the loss.
        meanwhile: What changes while no router runs.
        first_start: Whether routers are told afterwards that the whole fleet starts
            for the first time.
    """
    world.start_callers(count=CALLERS)
    await anyio.sleep(BEFORE_LOSS_SECONDS)
    if before is not None:
        await before(world)
        await anyio.sleep(BEFORE_LOSS_SECONDS)
    await world.lose_all(meanwhile=meanwhile, first_start=first_start)
    await anyio.sleep(AFTER_LOSS_SECONDS)
    await world.finish()
    print(world.counts)
    return world.counts


# Guards against streams that go on at another version because the version that began
# them came and went while no router could write it to the store.
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_hold_one_version_though_no_router_could_write_the_second(
    seed: int, tmp_path: Path
) -> None:
    async def add_later(world: VersionsWorld) -> None:
        world.store.rejects_writes = True
        for _ in range(3):
            await world.add_runner("v1.1")

    async def remove_later(world: VersionsWorld) -> None:
        for runner in world.runners[3:]:
            world.store.remove(table=Table.ENDPOINTS, key=runner.name)
        world.store.rejects_writes = False

    async with run_versions_world(
        directory=tmp_path, seed=seed, routers=ROUTERS, versions=("v1",)
    ) as world:
        counts = await _run_through_loss(
            world, before=add_later, meanwhile=remove_later
        )

    assert counts.mixed == 0, counts
    assert counts.taken_up


# Guards against streams that go on at the later version after the earlier one has left
# while all routers were away.
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_hold_one_version_though_all_endpoints_are_replaced_meanwhile(
    seed: int, tmp_path: Path
) -> None:
    async def replace(world: VersionsWorld) -> None:
        await _replace(world, runners=world.runners[:3], version="v1.1")

    async with run_versions_world(
        directory=tmp_path,
        seed=seed,
        routers=ROUTERS,
        sources=SOURCES,
        versions=("v1",),
    ) as world:
        counts = await _run_through_loss(world, meanwhile=replace)

    assert counts.mixed == 0, counts
    assert counts.taken_up


# Guards against streams that go on at any version because their route may no longer be
# resumed, and callers resume them all the same.
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_of_a_route_that_is_no_longer_resumable_hold_one_version(
    seed: int, tmp_path: Path
) -> None:
    async with run_versions_world(
        directory=tmp_path, seed=seed, routers=ROUTERS, sources=SOURCES
    ) as world:
        world.start_callers(count=CALLERS, hang_up_share=HANG_UP_SHARE)
        await anyio.sleep(BEFORE_LOSS_SECONDS)
        _configure(world, version=2, streamResume=False)
        await anyio.sleep(BEFORE_LOSS_SECONDS)
        await world.finish()
        counts = world.counts

    print(counts)
    assert counts.mixed == 0, counts
    assert counts.taken_up


# Guards against streams that go on at the service to which their route was moved while
# all routers were away.
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_do_not_go_on_at_the_service_to_which_their_route_moved(
    seed: int, tmp_path: Path
) -> None:
    async def move(world: VersionsWorld) -> None:
        _configure(world, version=3, service=OTHER_SERVICE)

    async with run_versions_world(
        directory=tmp_path,
        seed=seed,
        routers=ROUTERS,
        sources=SOURCES,
        versions=("v1",),
    ) as world:
        _configure(world, version=2)
        for _ in range(3):
            await world.add_runner("w1", service=OTHER_SERVICE)
        counts = await _run_through_loss(world, meanwhile=move)

    assert counts.mixed == 0, counts
    assert counts.taken_up


# Guards against streams that go on at a later version because routers were told once
# more that the whole fleet starts for the first time, and forgot the earlier version.
@pytest.mark.parametrize("seed", SEEDS)
async def test_streams_hold_one_version_though_a_first_start_is_announced_again(
    seed: int, tmp_path: Path
) -> None:
    async def replace(world: VersionsWorld) -> None:
        await _replace(world, runners=world.runners[:3], version="v1.1")

    async with run_versions_world(
        directory=tmp_path, seed=seed, routers=ROUTERS, versions=("v1",)
    ) as world:
        counts = await _run_through_loss(world, meanwhile=replace, first_start=True)

    assert counts.mixed == 0, counts
    assert counts.taken_up
