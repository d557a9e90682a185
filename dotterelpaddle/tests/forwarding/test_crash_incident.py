"""A request that crashes every engine that runs it.

Guards against this incident: one caller's request crashed 16 to 21 engines of a
service with five at a time, behind nine routers, and broke most streams of other
callers. Routers kept no record of a request beyond its own attempts, so each retry of
the caller, with a new id at any router, started afresh. A router also resumed a broken
stream at once at the next engine, which crashed as well.

The load is that of the incident: 34 requests per second, half of them resumable
streams, and the one request repeatedly. The request may reach endpoints at most three
times later than three seconds after the third crash.
"""

from __future__ import annotations

from functools import partial

import anyio
import pytest

from dotterelpaddle.tests.forwarding.crash_callers import CALL_TIMEOUT_SECONDS, Callers
from dotterelpaddle.tests.forwarding.crash_engine import CULPRIT
from dotterelpaddle.tests.forwarding.crash_world import (
    DISCOVERY_SECONDS,
    MIN_STABLE_SECONDS,
    CrashWorld,
    run_world,
)
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

MAX_LATE_ARRIVALS = 3
"""Maximum arrivals of the request later than MIN_STABLE_SECONDS after its third crash
or, in the test of a partition, after the partition ended."""

REQUESTS_PER_SECOND = 34.0
"""Requests of other callers per second."""

DURATION_SECONDS = 30.0

PARTITION_SECONDS = 8.0
"""Seconds for which some routers are partitioned from the others."""

PARTITION_END_SECONDS = DISCOVERY_SECONDS + PARTITION_SECONDS


async def _send_culprit_and_others(
    world: CrashWorld, callers: Callers, *, pause: float, path: str = "/stream/again/"
) -> None:
    world.tasks.start_soon(
        partial(callers.send_culprit, pause=pause, seconds=DURATION_SECONDS, path=path)
    )
    await callers.send_others(rate=REQUESTS_PER_SECOND, seconds=DURATION_SECONDS)
    await anyio.sleep(CALL_TIMEOUT_SECONDS)


def _run_script(script, **fields) -> tuple[CrashWorld, Callers]:
    world = CrashWorld(**fields)
    callers = Callers(world=world)

    async def main() -> None:
        await run_world(world=world, script=partial(script, callers=callers))

    run_in_virtual_time(main)
    return world, callers


@pytest.mark.parametrize(("seed", "pause"), [(1, 0.25), (2, 1.0)])
def test_request_that_crashes_endpoints_is_blocked(seed: int, pause: float) -> None:
    """Guards against one request that crashes all endpoints of a service."""
    world, _ = _run_script(partial(_send_culprit_and_others, pause=pause), seed=seed)

    assert world.culprits_later_than(seconds=MIN_STABLE_SECONDS) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize("path", ["/safe/", "/unsafe/", "/stream/"])
def test_request_of_any_kind_that_crashes_endpoints_is_blocked(
    path: str,
) -> None:
    """Guards against blocking only resumable streams."""
    world, _ = _run_script(
        partial(_send_culprit_and_others, pause=0.5, path=path), seed=3
    )

    assert world.culprits_later_than(seconds=MIN_STABLE_SECONDS) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize(("culprits", "seed"), [(2, 1), (2, 2), (3, 1), (3, 9)])
def test_each_of_several_requests_that_crash_endpoints_is_blocked(
    culprits: int, seed: int
) -> None:
    """Guards against blocking only one of the requests that overlap."""

    async def _several(world: CrashWorld, callers: Callers) -> None:
        for number in range(culprits):
            send = partial(
                callers.send_culprit,
                pause=0.5,
                seconds=DURATION_SECONDS,
                path=f"/stream/again/{number}/",
            )
            world.tasks.start_soon(send)
        await callers.send_others(rate=REQUESTS_PER_SECOND, seconds=DURATION_SECONDS)
        await anyio.sleep(CALL_TIMEOUT_SECONDS)

    world, _ = _run_script(_several, seed=seed)

    assert world.culprits_later_than(seconds=MIN_STABLE_SECONDS) <= MAX_LATE_ARRIVALS


def test_large_fleet_receives_notes_through_aggregators() -> None:
    """Guards against notes that spread only if all routers report to all others."""
    script = partial(_send_culprit_and_others, pause=0.25)
    world, _ = _run_script(script, seed=4, routers=30, engines=12)

    assert world.culprits_later_than(seconds=MIN_STABLE_SECONDS) <= MAX_LATE_ARRIVALS


async def _routers_stop(world: CrashWorld, callers: Callers) -> None:
    world.tasks.start_soon(_stop_in_turn, world)
    await _send_culprit_and_others(world, callers, pause=0.25)


def test_routers_that_saw_the_crashes_may_stop() -> None:
    """Guards against losing the record of crashes with the routers that saw them."""
    world, _ = _run_script(_routers_stop, seed=5)

    assert world.culprits_later_than(seconds=MIN_STABLE_SECONDS) <= MAX_LATE_ARRIVALS


def test_routers_that_saw_the_crashes_may_stop_in_another_order() -> None:
    """Guards against the same where other routers see the crashes first."""
    world, _ = _run_script(_routers_stop, seed=1)

    assert world.culprits_later_than(seconds=MIN_STABLE_SECONDS) <= MAX_LATE_ARRIVALS


def test_sides_of_a_partition_agree_after_it() -> None:
    """Guards against a request that continues where routers saw no crash."""

    async def _cut(world: CrashWorld, callers: Callers) -> None:
        world.cut(hosts=frozenset(world.hosts[:3]))
        world.tasks.start_soon(_heal, world)
        await _send_culprit_and_others(world, callers, pause=0.25)

    world, _ = _run_script(_cut, seed=6)

    late = [
        each
        for each in world.arrivals
        if each.at > PARTITION_END_SECONDS + MIN_STABLE_SECONDS
    ]
    assert len(late) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_request_is_blocked_during_unrelated_crashes(seed: int) -> None:
    """Guards against blocking requests that only ran during unrelated crashes."""

    async def _crashes(world: CrashWorld, callers: Callers) -> None:
        world.tasks.start_soon(_crash_in_series, world)
        await callers.send_others(rate=REQUESTS_PER_SECOND, seconds=20.0)
        await anyio.sleep(CALL_TIMEOUT_SECONDS)

    world, _ = _run_script(_crashes, seed=seed, engines=9, routers=3)

    trackers = [host.parts.state.crashes for host in world.hosts if host.parts]
    assert [tracker.blocked_count for tracker in trackers] == [0, 0, 0]


def test_no_request_is_refused_without_crashes() -> None:
    async def _calm(world: CrashWorld, callers: Callers) -> None:
        await callers.send_others(rate=REQUESTS_PER_SECOND, seconds=10.0)
        await anyio.sleep(CALL_TIMEOUT_SECONDS)

    _, callers = _run_script(_calm)

    assert callers.others.share == 1.0
    assert callers.others.refused == 0


async def _stop_in_turn(world: CrashWorld) -> None:
    await anyio.sleep(2.0)
    for host in world.hosts:
        host.stopping.set()
        await anyio.sleep(1.0)


async def _heal(world: CrashWorld) -> None:
    await anyio.sleep(PARTITION_SECONDS)
    world.cut(hosts=frozenset())


async def _crash_in_series(world: CrashWorld) -> None:
    """Crash 25 endpoints within 20 seconds, always leaving one running."""
    for _ in range(25):
        await anyio.sleep(world.dice.expovariate(25 / 20.0))
        if len(world.live) > 1:
            world.end_engine(engine=world.dice.choice(world.live))


# Guards against the first requests of a router that has just started and does not know
# yet which requests crash endpoints.
@pytest.mark.parametrize("number", [1, 5, 8])
def test_router_that_has_just_started_knows_what_is_blocked(number: int) -> None:
    statuses: list[int] = []

    async def _restart(world: CrashWorld, callers: Callers) -> None:
        path = f"/stream/again/{CULPRIT}"
        while len(world.ended.get(path, ())) < 3:
            await callers.call(path)
        await anyio.sleep(MIN_STABLE_SECONDS)
        host = world.hosts[number]
        host.stopping.set()
        while host.parts is not None:
            await anyio.sleep(0.01)
        while host.parts is None:
            await anyio.sleep(0.01)
        answer = await callers.call(path, router=number)
        statuses.append(answer.status)

    world, _ = _run_script(_restart, seed=7)

    assert statuses == [503]
    assert world.culprits_later_than(seconds=MIN_STABLE_SECONDS) == 0
