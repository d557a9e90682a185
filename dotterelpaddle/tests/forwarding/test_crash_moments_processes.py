"""Prompt parts that crash endpoints at any moment of an answer, at real processes.

Guards against this incident: routers suspected a part only where an endpoint ended
after the head of its answer and before the first event. Endpoints that ended at any
other moment went on ending, and sound requests were refused in the part's place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.tests.forwarding.crash_engine import (
    AFTER_EVENT,
    ANY_MOMENT,
    BEFORE_HEAD,
    LATE,
    SILENT,
    WITH_HEAD,
    CrashMoment,
)
from dotterelpaddle.tests.forwarding.part_callers import DEADLY_PARTS
from dotterelpaddle.tests.forwarding.parts_scenes import (
    DEADLY_PART,
    MANY_ROUTERS,
    check,
    run_scene,
    seeds,
)

if TYPE_CHECKING:
    from pathlib import Path

    from dotterelpaddle.tests.forwarding.parts_world import PartsWorld

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

SEEDS = seeds(default="1 1")
SOUND_SECONDS = 6.0
"""Seconds for which a part is served before it crashes endpoints."""

KILL_DELAY_SECONDS = 8.0


# Guards against parts that end endpoints before, with or after the beginning of an
# answer, and against refusing sound requests in their place.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "moments",
    [
        pytest.param((BEFORE_HEAD,), id="before-head"),
        pytest.param((WITH_HEAD,), id="with-head"),
        pytest.param((AFTER_EVENT,), id="after-event"),
        pytest.param((LATE,), id="late"),
        pytest.param(ANY_MOMENT, id="any"),
        pytest.param(SILENT, id="silent"),
    ],
)
async def test_part_is_blocked_at_whatever_moment_endpoints_end(
    moments: tuple[CrashMoment, ...], seed: int, tmp_path: Path
) -> None:
    _, figures = await run_scene(seed=seed, directory=tmp_path, moments=moments)

    print("moments", moments, seed, figures)
    check(figures)


# Guards against answers of before that keep a part from being suspected.
@pytest.mark.parametrize("seed", SEEDS)
async def test_part_is_blocked_that_was_served_for_a_while(
    seed: int, tmp_path: Path
) -> None:
    _, figures = await run_scene(
        seed=seed, directory=tmp_path, moments=ANY_MOMENT, sound_seconds=SOUND_SECONDS
    )

    print("sound before", seed, figures)
    check(figures)


# Guards against blocking only parts that follow others.
@pytest.mark.parametrize("seed", SEEDS)
async def test_first_part_is_blocked_at_whatever_moment_endpoints_end(
    seed: int, tmp_path: Path
) -> None:
    _, figures = await run_scene(
        seed=seed, directory=tmp_path, moments=ANY_MOMENT, parts=(DEADLY_PART, "*")
    )

    print("first part", seed, figures)
    check(figures)


# Guards against several parts that hide behind one another's crashes.
@pytest.mark.parametrize("seed", SEEDS)
async def test_several_parts_are_blocked_at_whatever_moment_endpoints_end(
    seed: int, tmp_path: Path
) -> None:
    _, figures = await run_scene(
        seed=seed,
        directory=tmp_path,
        moments=ANY_MOMENT,
        deadly_parts=DEADLY_PARTS[:2],
    )

    print("several parts", seed, figures)
    check(figures)


# Guards against a part that routers have to learn anew after the loss of all of them.
@pytest.mark.parametrize("seed", SEEDS)
async def test_part_is_blocked_after_all_routers_were_killed(
    seed: int, tmp_path: Path
) -> None:
    async def _kill_all(world: PartsWorld) -> None:
        await anyio.sleep(KILL_DELAY_SECONDS)
        await world.kill(*world.routers)

    _, figures = await run_scene(
        seed=seed, directory=tmp_path, moments=ANY_MOMENT, scene=_kill_all
    )

    print("all killed", seed, figures)
    check(figures)


# Guards against news of crashes that reach only the routers of a small fleet in time.
@pytest.mark.parametrize("seed", SEEDS)
async def test_part_is_blocked_in_a_larger_fleet(seed: int, tmp_path: Path) -> None:
    _, figures = await run_scene(
        seed=seed, directory=tmp_path, moments=ANY_MOMENT, routers=MANY_ROUTERS
    )

    print("routers", MANY_ROUTERS, seed, figures)
    check(figures)
