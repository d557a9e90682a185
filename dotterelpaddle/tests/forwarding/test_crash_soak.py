"""Requests that crash endpoints during other random faults.

Unrelated crashes of endpoints, restarts of routers and partitions overlap. Each run
uses two seeds. The environment variable CRASH_SEEDS sets the first seed and the number
of seeds, such as "1 50".
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

FIRST_SEED, SEED_COUNT = (
    int(each) for each in os.environ.get("CRASH_SEEDS", "1 2").split()
)
MAX_LATE_ARRIVALS = 3
"""Maximum arrivals of a request at endpoints through routers without a recent fault,
later than MIN_STABLE_SECONDS after its third crash."""

KINDS = ("/stream/again/", "/stream/", "/safe/", "/unsafe/")
DURATION_SECONDS = 30.0
REQUESTS_PER_SECOND = 25.0


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_request_that_crashes_endpoints_is_blocked_during_other_faults(
    seed: int,
) -> None:
    world = CrashWorld(
        routers=random.Random(seed).choice((3, 6, 9, 20)), engines=9, seed=seed
    )
    callers = Callers(world=world)
    run_in_virtual_time(
        partial(run_world, world=world, script=partial(_run_faults, callers=callers))
    )

    for culprit, ends in world.ended.items():
        if culprit and len(ends) >= MAX_LATE_ARRIVALS:
            late = [
                each
                for each in world.arrivals
                if each.culprit == culprit
                and each.at > ends[2] + MIN_STABLE_SECONDS
                and each.request_id in callers.calm
            ]
            assert len(late) <= MAX_LATE_ARRIVALS


async def _run_faults(world: CrashWorld, callers: Callers) -> None:
    generator = random.Random(-world.seed)
    for kind in generator.sample(KINDS, generator.choice((1, 1, 2))):
        culprit = partial(
            callers.send_culprit,
            pause=generator.choice((0.2, 0.5, 1.5)),
            seconds=DURATION_SECONDS,
            path=kind,
        )
        world.tasks.start_soon(culprit)
    for fault in generator.sample(
        (crash_endpoints, restart_routers, partition_routers),
        generator.choice((1, 2, 3)),
    ):
        world.tasks.start_soon(fault, world, random.Random(generator.random()))
    await callers.send_others(rate=REQUESTS_PER_SECOND, seconds=DURATION_SECONDS)
    await anyio.sleep(CALL_TIMEOUT_SECONDS)


async def crash_endpoints(world: CrashWorld, generator: random.Random) -> None:
    """Crash endpoints at random, always leaving one running."""
    for _ in range(generator.randrange(3, 12)):
        await anyio.sleep(generator.uniform(0.5, 4.0))
        if len(world.live) > 1:
            world.end_engine(engine=generator.choice(world.live))


async def restart_routers(world: CrashWorld, generator: random.Random) -> None:
    """Restart routers in turn, always leaving one running."""
    for host in generator.sample(world.hosts, len(world.hosts) - 1):
        await anyio.sleep(generator.uniform(0.2, 3.0))
        if sum(each.takes_callers for each in world.hosts) > 1:
            host.stopping_since = anyio.current_time()
            host.stopping.set()


async def partition_routers(world: CrashWorld, generator: random.Random) -> None:
    """Partition some routers from the others repeatedly."""
    for _ in range(3):
        await anyio.sleep(generator.uniform(1.0, 5.0))
        count = generator.randrange(1, max(2, len(world.hosts) // 2))
        world.cut(hosts=frozenset(generator.sample(world.hosts, count)))
        await anyio.sleep(generator.uniform(1.0, 5.0))
        world.cut(hosts=frozenset())
