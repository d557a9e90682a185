"""Cold endpoints over their rate: a fleet of 40 routers before six engines.

Symptom: a cold engine got more requests within a second than its service allows from
all routers together, here while only cold engines are left.

Cause: the bound was divided among owners and routers without one, and there can be many
of either. A router that hears no other one is its own owner and grants itself an
owner's share, as do all others in its place.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.forwarding.settings import ColdBounds
from dotterelpaddle.tests.owners.fleet import SimulatedFleet
from dotterelpaddle.tests.owners.load import SLOW_START
from dotterelpaddle.tests.owners.simulation import simulate_fleet
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from dotterelpaddle.ids import EndpointId

BOUNDS = ColdBounds(multiple=1.5, allowance=5.0)
MAX_REQUESTS = BOUNDS.multiple * SLOW_START.rate + BOUNDS.allowance
"""Maximum requests that a cold endpoint may get in any second from all routers."""

ROUTERS = 40
LOAD_SECONDS = 7.0
UPDATE_SECONDS = 1.0
"""Time until all routers have learnt of an endpoint."""


def _max_per_second(script, **fields) -> int:
    """Return the most requests that an endpoint got in a second while it was cold."""

    async def main() -> int:
        fleet = SimulatedFleet(routers=ROUTERS, cold_bounds=BOUNDS, **fields)
        await simulate_fleet(fleet=fleet, script=script, seconds=LOAD_SECONDS)
        times: dict[EndpointId, list[float]] = defaultdict(list)
        for arrival in fleet.arrivals:
            if arrival.endpoint not in fleet.first_endpoints:
                times[arrival.endpoint].append(arrival.arrived_at)
        assert times
        return max(_most_in_a_second(each) for each in times.values())

    return run_in_virtual_time(main)


def _most_in_a_second(times: list[float]) -> int:
    cold = [at for at in times if at < times[0] + SLOW_START.duration - UPDATE_SECONDS]
    return max(sum(at <= each < at + 1.0 for each in cold) for at in cold)


async def _leave_only_cold_endpoints(fleet: SimulatedFleet) -> None:
    await fleet.add_endpoints(count=6, cold_left=SLOW_START.duration)
    fleet.remove_endpoints(names=fleet.first_endpoints)


async def _cut_many_off(fleet: SimulatedFleet) -> None:
    """Cut a third of the routers off, each by itself, and add cold endpoints."""
    fleet.cut_off(routers=fleet.routers[::3])
    await anyio.sleep(3.5)
    await _leave_only_cold_endpoints(fleet)


async def _cut_all_off(fleet: SimulatedFleet) -> None:
    fleet.cut_off(routers=fleet.routers)
    await anyio.sleep(3.5)
    await _leave_only_cold_endpoints(fleet)


async def _stop_owners(fleet: SimulatedFleet) -> None:
    """Stop one owner after the other while there are cold endpoints."""
    await anyio.sleep(3.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_leave_only_cold_endpoints, fleet)
        for _ in range(3):
            owners = list(fleet.owners().values())
            await fleet.restart_routers(routers=owners, pause=0.2)


# Guards against several routers that each grant themselves an owner's share of a cold
# endpoint's bound.
def test_cold_endpoint_is_not_flooded() -> None:
    scripts = (_cut_many_off, _cut_all_off, _stop_owners)
    most = {script.__name__: _max_per_second(script) for script in scripts}

    assert max(most.values()) <= MAX_REQUESTS, most
