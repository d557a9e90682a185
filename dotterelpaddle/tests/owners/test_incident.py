"""Endpoints over their bound: a fleet of 88 routers and 30 engines of 12 slots.

What was seen: while endpoints were replaced one after the other, and twelve had just
been added, 3 in 100 requests of five seconds reached engines that held more than twice
the mean of their service and three more.

How it came about: all routers decided by themselves, on counts 0.2 to 0.6 s old, and
what each added to an endpoint no other one saw in time. Since one owner of each failure
domain decides, that is over; but where an owner answered late, those who asked it went
back to old counts, all of them, for as long as that lasted.

What proved it: the same load breaks the bound when no router hears of an owner, and
keeps it when owners decide, whether endpoints come and go or not. With two of three
owners on slow hosts two thirds of the requests were decided alone, and all that were
over the bound were among them.

The load is that of the incident: 580 requests a second for 900 prompts, about five in
flight at each engine. Users allow 3 in 100 over the bound; 1 in 100 is the aim, so that
one unlucky day does not break it.
"""

from __future__ import annotations

import anyio
import pytest

from dotterelpaddle.tests.owners.arrivals import (
    Arrival,
    local_decision_share,
    worst_over_bound_share,
)
from dotterelpaddle.tests.owners.fleet import SimulatedFleet, simulate_fleet
from dotterelpaddle.tests.owners.hosts import DOMAINS
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

MAX_SHARE = 0.03
TARGET_SHARE = 0.01
"""Share of the requests of any five seconds that reach endpoints over the bound."""

START_SECONDS = 6.0
"""Seconds until the routers know each other."""

WARM_UP_SECONDS = 4.0
"""Seconds of load until most prompts have been read."""

SLOW_HOST_FACTOR = 5.5
"""Times as long as usual that a slow host takes, as users' hosts have done."""

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
    """All of them, owners and aggregators too, while endpoints are replaced."""
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
    """Those of all failure domains, and later those that follow them."""
    await anyio.sleep(2.0)
    await fleet.restart_routers(routers=list(fleet.owners().values()), pause=0.0)
    await anyio.sleep(4.0)
    await fleet.restart_routers(routers=list(fleet.owners().values()), pause=0.0)


def test_routers_that_all_go_by_old_counts_overload_endpoints() -> None:
    """The incident itself: no router hears of an owner."""
    arrivals = _run(_endpoints_come_and_go, decide_alone=True)

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
    """A planned stop leaves no request without an owner that decides."""
    arrivals = _run(_owners_stop_at_once)

    assert (
        worst_over_bound_share(arrivals=arrivals, since=START_SECONDS) <= TARGET_SHARE
    )
    assert local_decision_share(arrivals=arrivals) <= TARGET_SHARE
