"""A part of a prompt that crashes endpoints, at real router processes.

Each scene runs three routers before five endpoints, and counts which requests with the
part arrive and which sound ones begin. The environment variable PARTS_SEEDS sets the
first seed and the number of seeds, such as "1 10"; PARTS_SOURCE names a directory with
the release that the routers run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.crashes.tracker import MIN_CRASHES_TO_BLOCK, SETTLE_SECONDS
from dotterelpaddle.tests.forwarding.parts_scenes import (
    DEADLY_PART,
    MAX_LATE_ARRIVALS,
    check,
    run_scene,
    seeds,
)

if TYPE_CHECKING:
    from pathlib import Path

    from dotterelpaddle.tests.forwarding.parts_world import PartsWorld

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

SEEDS, LOSS_SEEDS = seeds(default="1 1"), seeds(default="29 1")

BLOCK_LIMIT_SECONDS = 20.0
"""Seconds after which a scene goes on though not all routers block the part."""

LOSS_DELAY_SECONDS = 2 * SETTLE_SECONDS
"""Seconds from the block at all routers until they are lost; what has just been blocked
is not written to the store before it has settled."""


# Guards against requests, no two alike, that crash all endpoints of a service by one
# part of their prompts, and against refusing sound requests in their place.
@pytest.mark.parametrize("seed", SEEDS)
async def test_part_that_crashes_endpoints_is_blocked(
    seed: int, tmp_path: Path
) -> None:
    _, figures = await run_scene(seed=seed, directory=tmp_path)

    print("one part", seed, figures)
    check(figures)


# Guards against blocking only parts that follow others.
@pytest.mark.parametrize("seed", SEEDS)
async def test_first_part_that_crashes_endpoints_is_blocked(
    seed: int, tmp_path: Path
) -> None:
    _, figures = await run_scene(
        seed=seed, directory=tmp_path, parts=(DEADLY_PART, "*")
    )

    print("first part", seed, figures)
    check(figures)


# Guards against a part that routers have to learn anew after the loss of all of them.
@pytest.mark.parametrize("seed", LOSS_SEEDS)
async def test_part_is_blocked_after_the_loss_of_all_routers(
    seed: int, tmp_path: Path
) -> None:
    blocked, lost_at = False, 0.0

    async def _lose_all(world: PartsWorld) -> None:
        nonlocal blocked, lost_at
        blocked = await world.until_blocked_everywhere(limit=BLOCK_LIMIT_SECONDS)
        await anyio.sleep(LOSS_DELAY_SECONDS)
        lost_at = anyio.current_time()
        await world.kill(*world.routers)

    world, figures = await run_scene(seed=seed, directory=tmp_path, scene=_lose_all)

    arrivals_after = sum(each.at > lost_at for each in world.arrivals)
    ended_after = sum(each > lost_at for each in world.ended)
    print("loss of all", seed, figures, blocked, arrivals_after, ended_after)
    check(figures)
    assert blocked
    assert ended_after < MIN_CRASHES_TO_BLOCK
    assert arrivals_after <= MAX_LATE_ARRIVALS
