"""Requests that crash endpoints amid all other trouble, drawn anew for each seed.

Endpoints crash by themselves as well, routers stop in series, some are cut off from the
others, and all of that overlaps. Two seeds run each time; more of them by hand with the
variable CRASH_SEEDS, which holds the first one and how many, as "1 50".
"""

from __future__ import annotations

import os
import random
from functools import partial

import anyio
import pytest

from dotterelpaddle.tests.forwarding.crash_callers import CALL_TIMEOUT_SECONDS, Callers
from dotterelpaddle.tests.forwarding.crash_world import (
    MIN_STABLE_SECONDS,
    CrashWorld,
    run_world,
)
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

FIRST, COUNT = (int(each) for each in os.environ.get("CRASH_SEEDS", "1 2").split())
ALLOWED = 3
"""Times that a request may reach endpoints through calm routers, later than STABLE_TIME
after the third end under it."""

KINDS = ("/stream/again/", "/stream/", "/safe/", "/unsafe/")
SECONDS = 30.0
RATE = 25.0


@pytest.mark.parametrize("seed", range(FIRST, FIRST + COUNT))
def test_request_that_crashes_endpoints_gets_to_none_amid_other_trouble(
    seed: int,
) -> None:
    world = CrashWorld(
        routers=random.Random(seed).choice((3, 6, 9, 20)), engines=9, seed=seed
    )
    callers = Callers(world=world)
    run_in_virtual_time(
        partial(run_world, world=world, script=partial(_trouble, callers=callers))
    )

    for target, ends in world.ended.items():
        if target and len(ends) >= ALLOWED:
            late = [
                each
                for each in world.arrivals
                if each.target == target
                and each.at > ends[2] + MIN_STABLE_SECONDS
                and each.request_id in callers.calm
            ]
            assert len(late) <= ALLOWED


async def _trouble(world: CrashWorld, callers: Callers) -> None:
    dice = random.Random(-world.seed)
    for kind in dice.sample(KINDS, dice.choice((1, 1, 2))):
        culprit = partial(
            callers.send_culprit,
            pause=dice.choice((0.2, 0.5, 1.5)),
            seconds=SECONDS,
            path=kind,
        )
        world.tasks.start_soon(culprit)
    for trouble in dice.sample((_crashes, _stops, _cuts), dice.choice((1, 2, 3))):
        world.tasks.start_soon(trouble, world, random.Random(dice.random()))
    await callers.send_others(rate=RATE, seconds=SECONDS)
    await anyio.sleep(CALL_TIMEOUT_SECONDS)


async def _crashes(world: CrashWorld, dice: random.Random) -> None:
    """Endpoints crash by themselves, one at least goes on."""
    for _ in range(dice.randrange(3, 12)):
        await anyio.sleep(dice.uniform(0.5, 4.0))
        if len(world.live) > 1:
            world.end_engine(engine=dice.choice(world.live))


async def _stops(world: CrashWorld, dice: random.Random) -> None:
    """Routers stop in turn and start again, one at least goes on."""
    for host in dice.sample(world.hosts, len(world.hosts) - 1):
        await anyio.sleep(dice.uniform(0.2, 3.0))
        if sum(each.takes_callers for each in world.hosts) > 1:
            host.stopping_since = anyio.current_time()
            host.stopping.set()


async def _cuts(world: CrashWorld, dice: random.Random) -> None:
    """Some routers are cut off from the others, again and again."""
    for _ in range(3):
        await anyio.sleep(dice.uniform(1.0, 5.0))
        count = dice.randrange(1, max(2, len(world.hosts) // 2))
        world.cut(hosts=frozenset(dice.sample(world.hosts, count)))
        await anyio.sleep(dice.uniform(1.0, 5.0))
        world.cut(hosts=frozenset())
