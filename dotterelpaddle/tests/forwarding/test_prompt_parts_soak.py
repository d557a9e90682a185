"""Prompt parts that crash endpoints, during other random faults.

Unrelated crashes of endpoints, restarts and losses of routers and partitions overlap.
Each run uses two seeds. The environment variable PARTS_SEEDS sets the first seed and
the number of seeds, such as "1 50".
"""

from __future__ import annotations

import os
import random
from functools import partial
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.crashes.subjects import PartSubject, part_subjects
from dotterelpaddle.forwarding.interface import ForwardRequest, PromptPart
from dotterelpaddle.ids import ModelId, RequestId, ServiceName
from dotterelpaddle.tests.forwarding.crash_callers import CALL_TIMEOUT_SECONDS, MODEL
from dotterelpaddle.tests.forwarding.crash_world import (
    MIN_STABLE_SECONDS,
    CrashWorld,
    run_world,
)
from dotterelpaddle.tests.forwarding.harness import HOST, SERVICE
from dotterelpaddle.tests.forwarding.part_callers import (
    DEADLY_PARTS,
    SESSION_PARTS,
    SYSTEM_PART,
    PartCallers,
)
from dotterelpaddle.tests.forwarding.test_crash_soak import (
    crash_endpoints,
    partition_routers,
    restart_routers,
)
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_SEED, SEED_COUNT = (
    int(each) for each in os.environ.get("PARTS_SEEDS", "1 2").split()
)
CRASHES, MAX_LATE_ARRIVALS = 5, 3
CALM_SECONDS, DURATION_SECONDS = 5.0, 30.0
SOUND_PER_SECOND = 20.0


# Guards against parts that go on to crash endpoints while routers and endpoints fail
# for other reasons, and against blocking a sound part meanwhile.
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_parts_that_crash_endpoints_are_blocked_during_other_faults(seed: int) -> None:
    generator = random.Random(seed)
    deadly = DEADLY_PARTS[: generator.choice((1, 1, 2, 3))]
    world = CrashWorld(
        routers=generator.choice((3, 6, 9, 20)),
        engines=9,
        seed=seed,
        deadly_parts=frozenset(deadly),
    )
    callers = PartCallers(world=world)
    blocked: set[PartSubject] = set()
    run_in_virtual_time(
        partial(
            run_world,
            world=world,
            script=partial(_run_faults, callers=callers, blocked=blocked),
        )
    )

    late = {part: _late_arrivals(world, callers, part) for part in deadly}
    assert max(late.values()) <= MAX_LATE_ARRIVALS, late
    assert not blocked & _subjects((SYSTEM_PART, *SESSION_PARTS))


def _late_arrivals(world: CrashWorld, callers: PartCallers, part: str) -> int:
    ends = world.ended.get(part, [])
    return sum(
        each.culprit == part
        and each.at > ends[CRASHES - 1] + MIN_STABLE_SECONDS
        and each.request_id in callers.callers.calm
        for each in world.arrivals
        if len(ends) >= CRASHES
    )


def _subjects(digests: Iterable[str]) -> set[PartSubject]:
    prompt = [PromptPart(digest=each, tokens=1) for each in (*digests, "own")]
    request = ForwardRequest(
        request_id=RequestId(""),
        method="POST",
        host=HOST,
        path="/",
        target=b"/",
        headers=[],
        model=ModelId(MODEL),
        prompt=tuple(prompt),
    )
    return set(part_subjects(request=request, service=ServiceName(SERVICE)))


async def _run_faults(
    world: CrashWorld, callers: PartCallers, blocked: set[PartSubject]
) -> None:
    generator = random.Random(-world.seed)
    sound = partial(
        callers.send_sound,
        rate=SOUND_PER_SECOND,
        seconds=CALM_SECONDS + DURATION_SECONDS,
    )
    world.tasks.start_soon(sound)
    world.tasks.start_soon(_watch_blocked, world, blocked)
    await anyio.sleep(CALM_SECONDS)
    for part in sorted(world.deadly_parts):
        deadly = partial(
            callers.send_deadly,
            SYSTEM_PART,
            part,
            "*",
            rate=generator.choice((1.0, 3.0, 6.0)),
            seconds=DURATION_SECONDS,
            clump=generator.choice((1, 1, 6)),
        )
        world.tasks.start_soon(deadly)
    faults = (crash_endpoints, restart_routers, partition_routers, _lose_all_routers)
    for fault in generator.sample(faults, generator.choice((1, 2, 3))):
        world.tasks.start_soon(fault, world, random.Random(generator.random()))
    await anyio.sleep(DURATION_SECONDS + CALL_TIMEOUT_SECONDS)


async def _lose_all_routers(world: CrashWorld, generator: random.Random) -> None:
    await anyio.sleep(generator.uniform(5.0, 20.0))
    world.kill(*world.hosts)


async def _watch_blocked(world: CrashWorld, blocked: set[PartSubject]) -> None:
    """Collect the parts that are blocked at any time."""
    while True:
        for host in world.hosts:
            if host.parts is not None:
                causes = host.parts.state.crashes.causes
                blocked |= {each for each in causes if isinstance(each, PartSubject)}
        await anyio.sleep(0.1)
