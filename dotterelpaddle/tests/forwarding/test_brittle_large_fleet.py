"""Brittle endpoints of a large fleet.

Guards against an incident in a fleet of 58 routers: endpoints that end if they reject
too many requests within a second ended again and again.
"""

from __future__ import annotations

import anyio

from dotterelpaddle.tests.forwarding.brittle_world import (
    NOTICE_SECONDS,
    BrittleWorld,
    run_brittle,
)

ENGINES = 6
MAX_ENDS = 2
"""Ends that users allow in one time: two, and one for each ten endpoints."""

MODERATE_SHARE, HIGH_SHARE, OVERLOAD_SHARE = 0.4, 0.8, 1.5
"""Load as a share of what the endpoints can serve."""

LOAD_SECONDS = 6.0


async def _overload(world: BrittleWorld) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.become_brittle)
        await world.send(share=MODERATE_SHARE, seconds=NOTICE_SECONDS + 0.5)
        await world.send(share=OVERLOAD_SHARE, seconds=LOAD_SECONDS)


async def _load_in_bunches(world: BrittleWorld) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.become_brittle)
        await world.send(share=MODERATE_SHARE, seconds=NOTICE_SECONDS + 0.5)
        await world.send(share=HIGH_SHARE, seconds=LOAD_SECONDS, bunch=20)


# Guards against routers that outnumber the places of an endpoint and fill it together,
# as each may have one request in flight there.
def test_brittle_endpoints_of_a_large_fleet_bear_overload_and_bunches() -> None:
    worlds = {
        script.__name__: run_brittle(script=script, engines=ENGINES)
        for script in (_overload, _load_in_bunches)
    }
    ends = {name: world.end_count for name, world in worlds.items()}

    assert max(ends.values()) <= MAX_ENDS, ends
    assert worlds["_overload"].served >= 0.5 / OVERLOAD_SHARE
    assert worlds["_load_in_bunches"].served >= 0.5
