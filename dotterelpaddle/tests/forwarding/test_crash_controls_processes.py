"""Endpoints that end for reasons of their own, at real processes.

Guards against blocking sound requests and the prompt parts that they share: a request
that was running when an endpoint ended has not ended it. No request is deadly here, so
that none may be refused as one.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from dotterelpaddle.platform.names import Table
from dotterelpaddle.tests.forwarding.part_callers import SYSTEM_PART
from dotterelpaddle.tests.forwarding.parts_scenes import (
    SOUND_PER_SECOND,
    SOURCE,
    STREAM_SECONDS,
    Scene,
    seeds,
)
from dotterelpaddle.tests.forwarding.parts_world import (
    REMOVAL_DELAY_SECONDS,
    PartsWorld,
    ProcessPartCallers,
    run_parts_world,
)

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

SEEDS = seeds(default="1 1")
ROUTERS, ENGINES = 3, 10
CALM_SECONDS = 3.0
CRASHES_IN_SERIES, SERIES_SECONDS = 15, 20.0
RACK_SECONDS = 1.0
"""Seconds within which the endpoints of a rack end."""

PAUSE_SECONDS = 2 * REMOVAL_DELAY_SECONDS
"""Seconds after which endpoints that have ended serve again."""

RELEASE_INTERVAL_SECONDS = 0.6
FIRST_PARTS = (SYSTEM_PART, "5f")


async def _crash_in_series(world: PartsWorld) -> None:
    """End endpoints at random moments, always leaving one running."""
    for _ in range(CRASHES_IN_SERIES):
        pause = world.generator.expovariate(CRASHES_IN_SERIES / SERIES_SECONDS)
        await anyio.sleep(pause)
        if len(world.live) > 1:
            world.end_engine(engine=world.generator.choice(world.live))


async def _lose_rack(world: PartsWorld) -> None:
    """End half of the endpoints within a second, twice."""
    for _ in range(2):
        for engine in world.generator.sample(world.live, ENGINES // 2):
            await anyio.sleep(world.generator.uniform(0.0, 2 * RACK_SECONDS / ENGINES))
            world.end_engine(engine=engine)
        await anyio.sleep(PAUSE_SECONDS)


async def _lose_power(world: PartsWorld) -> None:
    """End nearly all endpoints at one moment, then all."""
    for left in (1, 0):
        for engine in world.live[left:]:
            world.end_engine(engine=engine)
        await anyio.sleep(PAUSE_SECONDS)


async def _release(world: PartsWorld) -> None:
    """Replace one endpoint after the other; each announces it, and ends in use."""
    for engine in world.live:
        entry = {**world.engine_entry(engine), "state": "draining"}
        world.store.put(table=Table.ENDPOINTS, key=engine.name, value=entry)
        await anyio.sleep(RELEASE_INTERVAL_SECONDS)
        world.end_engine(engine=engine)


async def _release_without_notice(world: PartsWorld) -> None:
    """End one endpoint after the other, in use."""
    for engine in world.live:
        world.end_engine(engine=engine)
        await anyio.sleep(RELEASE_INTERVAL_SECONDS)


# Guards against blocking sound requests, or parts that nearly all or half of them
# share, during unrelated crashes, the loss of a rack and releases.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "scene",
    [
        pytest.param(_crash_in_series, id="series"),
        pytest.param(_lose_rack, id="rack"),
        pytest.param(_lose_power, id="power"),
        pytest.param(_release, id="release"),
        pytest.param(_release_without_notice, id="release-without-notice"),
    ],
)
@pytest.mark.parametrize(
    "first", [FIRST_PARTS[:1], FIRST_PARTS], ids=["one-first-part", "two-first-parts"]
)
async def test_nothing_is_blocked_while_endpoints_end_by_themselves(
    first: tuple[str, ...], scene: Scene, seed: int, tmp_path: Path
) -> None:
    async with run_parts_world(
        directory=tmp_path,
        seed=seed,
        routers=ROUTERS,
        engines=ENGINES,
        deadly_parts=frozenset(),
        source=SOURCE,
    ) as world:
        callers = ProcessPartCallers(world=cast("Any", world))
        sound = partial(
            callers.send_sound,
            rate=SOUND_PER_SECOND,
            seconds=2 * SERIES_SECONDS,
            first=first,
        )
        await world.until_calm()
        async with anyio.create_task_group() as senders:
            senders.start_soon(sound)
            await anyio.sleep(CALM_SECONDS)
            await scene(world)
            await anyio.sleep(STREAM_SECONDS)
            senders.cancel_scope.cancel()
        await world.until_answered()

    logs = [path.read_text() for path in sorted(tmp_path.glob("*.log"))]
    blocked = sum(log.count('"request_blocked"') for log in logs)
    print("control", seed, scene.__name__, len(world.ended), blocked)
    assert world.ended
    assert blocked == 0
