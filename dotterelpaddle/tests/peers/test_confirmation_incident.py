"""How old routers believe the store's data to be while nobody reads the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.tests.peers.updates import FollowingFleet
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.tests.owners.hosts import Router

ROUTERS = 24
ENDPOINTS = [f"endpoint-{number}" for number in range(12)]
HEARTBEAT_SECONDS = 1.2
LEAVING_TIME_SECONDS = 2.0
"""Seconds within which routers must know of a leaving endpoint."""

BUSY_SLOWDOWN = 60.0
"""Factor that makes a host spend 36 ms on a datagram, so that reports queue up."""

ROUNDING_SECONDS = 0.001


def _run(script: Callable[[FollowingFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = FollowingFleet(routers=ROUTERS)
        for name in ENDPOINTS:
            fleet.register(name)
        async with anyio.create_task_group() as tasks:
            fleet.tasks = tasks
            await fleet.start()
            await script(fleet)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


def _endpoints_age(host: Router) -> float:
    assert host.parts is not None
    return host.parts.follower.confirmed_endpoints_age


# Guards against requests at an endpoint that has said that it leaves: routers took old
# endpoints for fresh and did not call the store, as each age lost its time on the way.
def test_calm_routers_learn_of_a_leaving_endpoint_beside_a_busy_router() -> None:
    late: list[str] = []

    async def script(fleet: FollowingFleet) -> None:
        fleet.tasks.start_soon(fleet.heartbeat, ENDPOINTS[1:], HEARTBEAT_SECONDS)
        *readers, busy = fleet.by_rank()[:4]
        busy.slowdown = BUSY_SLOWDOWN
        await anyio.sleep(2.0)
        fleet.cut_off.update(readers)
        await anyio.sleep(0.6)
        fleet.register(ENDPOINTS[0], state="draining")
        await anyio.sleep(LEAVING_TIME_SECONDS)
        late.extend(
            host.name
            for host in fleet.hosts
            if host not in fleet.cut_off
            and host is not busy
            and fleet.uses(host, name=ENDPOINTS[0])
        )

    _run(script)

    assert not late


# Guards against ages that lose their time on links and in queues with each report that
# passes them on.
def test_no_router_believes_the_endpoints_younger_than_they_are() -> None:
    missing: list[float] = []

    async def script(fleet: FollowingFleet) -> None:
        fleet.by_rank()[3].slowdown = BUSY_SLOWDOWN
        fleet.cut_off.update(fleet.hosts)
        cut_at = anyio.current_time()
        for _ in range(8):
            await anyio.sleep(0.5)
            silent_for = anyio.current_time() - cut_at
            missing.extend(silent_for - _endpoints_age(host) for host in fleet.hosts)

    _run(script)

    # An age that no router can tell would pass any upper bound on what is missing.
    assert all(math.isfinite(each) for each in missing)
    assert max(missing) <= ROUNDING_SECONDS
