"""Endpoints over their bound: a fleet of 88 routers and 30 engines of 12 slots.

Symptom: while operators replaced endpoints one after the other, and had just added
twelve, 3 in 100 requests of five seconds reached engines with more than twice the mean
load of their service plus three requests.

Cause: all routers decided locally, on counts that were 0.2 to 0.6 s old, and did not
see in time what other routers added. An owner per failure domain removes that cause;
but while an owner answered late, all its requesters fell back to stale counts.

Evidence: the same load breaks the bound if no router knows an owner, and keeps it if
owners decide, whether endpoints come and go or not. With two of three owners on slow
hosts routers decided two thirds of the requests locally, and all requests over the
bound were among these.

The load is that of the incident: 580 requests a second for 900 prompts, about five in
flight at each engine. Users allow 3 in 100 over the bound; the target is 1 in 100, as a
margin for random variation.
"""

from __future__ import annotations

import anyio
import pytest

from dotterelpaddle.tests.owners.arrivals import (
    Arrival,
    local_decision_share,
    worst_over_bound_share,
)
from dotterelpaddle.tests.owners.fleet import SimulatedFleet
from dotterelpaddle.tests.owners.hosts import DOMAINS
from dotterelpaddle.tests.owners.simulation import simulate_fleet
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

MAX_SHARE = 0.03
TARGET_SHARE = 0.01
"""Shares of requests over the bound in any five seconds: user limit and target."""

START_SECONDS = 6.0
"""Time until the routers know each other."""

WARM_UP_SECONDS = 4.0
"""Time under load until endpoints have cached most prompts."""

SLOW_HOST_FACTOR = 5.5
"""Processing time of a slow host relative to a normal one, as seen on users' hosts."""

LOAD_SECONDS = 11.0


def _run(script, **fields) -> tuple[Arrival, ...]:
    async def main() -> tuple[Arrival, ...]:
        fleet = SimulatedFleet(**fields)
        await simulate_fleet(fleet=fleet, script=script, seconds=LOAD_SECONDS)
        return tuple(fleet.arrivals)

    return run_in_virtual_time(main)


async def _endpoints_come_and_go(fleet: SimulatedFleet) -> None:
    await fleet.add_endpoints(count=12)
    await anyio.sleep(2.0)
    await fleet.replace_endpoints(count=8, pause=1.5)


async def _routers_stop_in_turn(fleet: SimulatedFleet) -> None:
    """Restart all routers, including owners and aggregators, and replace endpoints."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: fleet.replace_endpoints(count=8, pause=1.5))
        await anyio.sleep(1.0)
        routers = list(fleet.routers)
        fleet.generator.shuffle(routers)
        await fleet.restart_routers(routers=routers, pause=0.08)


async def _two_owners_are_slow(fleet: SimulatedFleet) -> None:
    await _owners_are_slow(fleet, count=2)


async def _all_owners_are_slow(fleet: SimulatedFleet) -> None:
    await _owners_are_slow(fleet, count=len(DOMAINS))


async def _owners_are_slow(fleet: SimulatedFleet, *, count: int) -> None:
    await anyio.sleep(WARM_UP_SECONDS)
    for router in list(fleet.owners().values())[:count]:
        router.slowdown = SLOW_HOST_FACTOR


async def _owners_stop_at_once(fleet: SimulatedFleet) -> None:
    """Stop the owners of all failure domains, and later their replacements."""
    await anyio.sleep(2.0)
    await fleet.restart_routers(routers=list(fleet.owners().values()), pause=0.0)
    await anyio.sleep(4.0)
    await fleet.restart_routers(routers=list(fleet.owners().values()), pause=0.0)


def test_local_decisions_on_stale_counts_overload_endpoints() -> None:
    """Reproduces the incident: no router knows an owner."""
    arrivals = _run(_endpoints_come_and_go, without_owners=True)

    assert (
        worst_over_bound_share(arrivals=arrivals, since=START_SECONDS + WARM_UP_SECONDS)
        > MAX_SHARE
    )


def test_owners_keep_the_bound_while_endpoints_come_and_go() -> None:
    arrivals = _run(_endpoints_come_and_go)

    assert (
        worst_over_bound_share(arrivals=arrivals, since=START_SECONDS + WARM_UP_SECONDS)
        <= TARGET_SHARE
    )
    assert local_decision_share(arrivals=arrivals) < TARGET_SHARE


@pytest.mark.parametrize("seed", [1, 2])
def test_bound_is_kept_while_routers_are_stopped_in_turn(seed: int) -> None:
    arrivals = _run(_routers_stop_in_turn, seed=seed)

    assert (
        worst_over_bound_share(arrivals=arrivals, since=START_SECONDS) <= TARGET_SHARE
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_bound_is_kept_while_two_owners_answer_late(seed: int) -> None:
    arrivals = _run(_two_owners_are_slow, seed=seed)

    assert (
        worst_over_bound_share(arrivals=arrivals, since=START_SECONDS + WARM_UP_SECONDS)
        <= TARGET_SHARE
    )


def test_bound_is_kept_while_all_owners_answer_late() -> None:
    arrivals = _run(_all_owners_are_slow)

    assert (
        worst_over_bound_share(arrivals=arrivals, since=START_SECONDS + WARM_UP_SECONDS)
        <= TARGET_SHARE
    )


def test_owners_that_stop_hand_over_before_they_end() -> None:
    """Guards against local decisions during a planned stop of the owners."""
    arrivals = _run(_owners_stop_at_once)

    assert (
        worst_over_bound_share(arrivals=arrivals, since=START_SECONDS) <= TARGET_SHARE
    )
    assert local_decision_share(arrivals=arrivals) <= TARGET_SHARE
