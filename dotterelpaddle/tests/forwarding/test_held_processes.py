"""Memory of real router processes beside endpoints with large plain answers.

The environment variable HELD_SEEDS sets the first seed and the number of seeds, such as
"1 50"; HELD_SOURCE names a directory with the release that the routers run.
"""

from __future__ import annotations

import os
from functools import partial
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.standins.behaviours import Bulk
from dotterelpaddle.tests.forwarding.held_world import (
    BULK,
    MEMORY_MB,
    SAFE_BULK,
    SOUND,
    run_held_world,
)

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

FIRST_SEED, SEED_COUNT = map(int, os.environ.get("HELD_SEEDS", "1 1").split())
SOURCE = os.environ.get("HELD_SOURCE", "")
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)

CALM_SECONDS, SCENE_SECONDS = 1.0, 7.0
BULK_PER_SECOND, SOUND_PER_SECOND = 100.0, 20.0
BYTES_PER_MB = 1_000_000
LINK_BYTES_PER_SECOND = 100e6
SIZE = 7_900_000
"""Slightly less than the largest answer that a router takes."""

SCENES = {
    "in chunks without end": (BULK, Bulk(bytes_per_second=LINK_BYTES_PER_SECOND)),
    "long without end": (
        BULK,
        Bulk(declared=10**14, bytes_per_second=LINK_BYTES_PER_SECOND),
    ),
    "failures without end": (
        SAFE_BULK,
        Bulk(status=500, bytes_per_second=LINK_BYTES_PER_SECOND),
    ),
    "whole and slow": (BULK, Bulk(size=SIZE, declared=SIZE, bytes_per_second=2e6)),
}


# Guards against processes that are killed because plain answers, endless or just large,
# take more memory than their host has, many at a time, and against requests of a sound
# service that are refused beside them.
@pytest.mark.parametrize("scene", SCENES)
@pytest.mark.parametrize("terms", [("base",), ("base", "pressure")], ids=",".join)
@pytest.mark.parametrize("seed", SEEDS)
async def test_large_answers_leave_memory_and_other_services_alone(
    seed: int, terms: tuple[str, ...], scene: str, tmp_path: Path
) -> None:
    kind, behaviour = SCENES[scene]
    async with run_held_world(
        directory=tmp_path, seed=seed, source=SOURCE, options={"terms": terms}
    ) as world:
        world.tasks.start_soon(partial(world.send, SOUND, per_second=SOUND_PER_SECOND))
        await anyio.sleep(CALM_SECONDS)
        for runner in world.bulk:
            runner.behaviour = behaviour
        world.tasks.start_soon(partial(world.send, kind, per_second=BULK_PER_SECOND))
        await anyio.sleep(SCENE_SECONDS)
        print(scene, terms, "seed", seed, world.summary())

        assert max(world.peaks.values()) < MEMORY_MB * BYTES_PER_MB
        assert set(world.statuses(SOUND)) == {200}
        assert world.statuses(kind)
