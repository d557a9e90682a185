"""A part of a prompt that crashes endpoints, at real router processes.

Each scene runs three routers before five endpoints, and counts which requests with the
part arrive and which sound ones begin. The environment variable PARTS_SEEDS sets the
first seed and the number of seeds, such as "1 10"; PARTS_SOURCE names a directory with
the release that the routers run.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from dotterelpaddle.crashes.tracker import MIN_CRASHES_TO_BLOCK, SETTLE_SECONDS
from dotterelpaddle.tests.forwarding.crash_engine import (
    EVENT_COUNT,
    EVENT_INTERVAL_SECONDS,
)
from dotterelpaddle.tests.forwarding.part_callers import (
    DEADLY_PARTS,
    SESSION_PARTS,
    SYSTEM_PART,
)
from dotterelpaddle.tests.forwarding.parts_world import (
    MIN_STABLE_SECONDS,
    POLL_SECONDS,
    PartsWorld,
    ProcessPartCallers,
    run_parts_world,
)

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.anyio

SOURCE = os.environ.get("PARTS_SOURCE", "")


def _seeds(*, default: str) -> range:
    first, count = map(int, os.environ.get("PARTS_SEEDS", default).split())
    return range(first, first + count)


SEEDS, LOSS_SEEDS = _seeds(default="1 1"), _seeds(default="29 1")

ROUTERS, ENGINES = 3, 5
DEADLY_PART = DEADLY_PARTS[0]
SOUND_PER_SECOND, DEADLY_PER_SECOND = 15.0, 3.0
CALM_SECONDS, JUDGED_SECONDS = 2.0, 3.0
"""Seconds before requests that crash endpoints begin, and seconds at the end in which
sound requests are judged beside them."""

STREAM_SECONDS = 2 * EVENT_COUNT * EVENT_INTERVAL_SECONDS
"""Seconds in which an answer ends, with some to spare."""

MAX_SCENE_SECONDS = 60.0
CRASHES, MAX_LATE_ARRIVALS = 5, 3
"""Crashes under the part after which it may reach few endpoints, and how many."""

MIN_SHARE_OF_BEFORE = 0.5
BLOCK_LIMIT_SECONDS = 20.0
"""Seconds after which a scene goes on though not all routers block the part."""

LOSS_DELAY_SECONDS = 2 * SETTLE_SECONDS
"""Seconds from the block at all routers until they are lost; what has just been blocked
is not written to the store before it has settled."""

Scene = Callable[[PartsWorld], Coroutine[Any, Any, None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """What was counted in a scene.

    Attributes:
        late: Late arrivals of the part through routers without a recent fault.
        ended: Crashes under the part.
        before: Share of sound requests that began at the first attempt, sent so early
            that no crash broke their answers.
        after: The same share from six seconds after the fifth crash on, or after the
            last one if there are fewer.
    """

    late: int
    ended: int
    before: float
    after: float


async def _no_other_fault(world: PartsWorld) -> None:
    """Do nothing beside the requests that crash endpoints."""


async def _run(
    *,
    seed: int,
    directory: Path,
    parts: tuple[str, ...] = (SYSTEM_PART, DEADLY_PART, "*"),
    scene: Scene = _no_other_fault,
) -> tuple[PartsWorld, Figures]:
    """Run a fleet whose callers send sound requests, and deadly ones after a while.

    Args:
        seed: Seed of all random choices.
        directory: Directory for settings and logs.
        parts: Shared parts of the prompts that crash endpoints.
        scene: Causes other faults from the first deadly request on.
    """
    async with run_parts_world(
        directory=directory,
        seed=seed,
        routers=ROUTERS,
        engines=ENGINES,
        deadly_part=DEADLY_PART,
        source=SOURCE,
    ) as world:
        callers = ProcessPartCallers(
            world=cast("Any", world), session_parts=SESSION_PARTS[:4]
        )
        sound = partial(callers.send_sound, rate=SOUND_PER_SECOND)
        deadly = partial(callers.send_deadly, *parts, rate=DEADLY_PER_SECOND)
        await world.until_calm()
        with anyio.fail_after(MAX_SCENE_SECONDS):
            async with anyio.create_task_group() as senders:
                senders.start_soon(partial(sound, seconds=MAX_SCENE_SECONDS))
                await anyio.sleep(CALM_SECONDS)
                senders.start_soon(partial(deadly, seconds=MAX_SCENE_SECONDS))
                await scene(world)
                while anyio.current_time() < _judged_at(world) + JUDGED_SECONDS:
                    await anyio.sleep(POLL_SECONDS)
                senders.cancel_scope.cancel()
            await world.until_answered()
        figures = Figures(
            late=world.late_arrivals(calm=callers.callers.calm, crashes=CRASHES),
            ended=len(world.ended),
            before=callers.share_begun(before=world.ended[0] - STREAM_SECONDS),
            after=callers.share_begun(after=_judged_at(world)),
        )
    return world, figures


def _judged_at(world: PartsWorld) -> float:
    """Return when sound requests have to begin again."""
    if not world.ended:
        return float("inf")
    return world.ended[:CRASHES][-1] + 2 * MIN_STABLE_SECONDS


def _check(figures: Figures) -> None:
    assert figures.late <= MAX_LATE_ARRIVALS, figures
    assert figures.after >= MIN_SHARE_OF_BEFORE * figures.before, figures


# Guards against requests, no two alike, that crash all endpoints of a service by one
# part of their prompts, and against refusing sound requests in their place.
@pytest.mark.parametrize("seed", SEEDS)
async def test_part_that_crashes_endpoints_is_blocked(
    seed: int, tmp_path: Path
) -> None:
    _, figures = await _run(seed=seed, directory=tmp_path)

    print("one part", seed, figures)
    _check(figures)


# Guards against blocking only parts that follow others.
@pytest.mark.parametrize("seed", SEEDS)
async def test_first_part_that_crashes_endpoints_is_blocked(
    seed: int, tmp_path: Path
) -> None:
    _, figures = await _run(seed=seed, directory=tmp_path, parts=(DEADLY_PART, "*"))

    print("first part", seed, figures)
    _check(figures)


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

    world, figures = await _run(seed=seed, directory=tmp_path, scene=_lose_all)

    arrivals_after = sum(each.at > lost_at for each in world.arrivals)
    ended_after = sum(each > lost_at for each in world.ended)
    print("loss of all", seed, figures, blocked, arrivals_after, ended_after)
    _check(figures)
    assert blocked
    assert ended_after < MIN_CRASHES_TO_BLOCK
    assert arrivals_after <= MAX_LATE_ARRIVALS
