"""Routers of a large fleet that are cut off from all endpoints.

Guards against an incident in a fleet of 58 routers: callers of routers that had lost
their links to all endpoints were served far less often at the first attempt than
callers of the others, although these and the platform still reached the routers.
"""

from __future__ import annotations

import random

import anyio

from dotterelpaddle.tests.forwarding.large_world import (
    SETTLED_SECONDS,
    LargeWorld,
    run_cut,
)
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

ROUTERS = 24
ENGINES = 6
REQUESTS_PER_SECOND = 1.0
MIN_SHARE = 0.95
"""Least share of first attempts that cut-off routers serve. Users count less than two
thirds of the share of the others as a failure; the others serve all here."""

ONE_DOMAIN = range(0, ROUTERS, 3)
THIRD_OF_ROUTERS = random.Random(3).sample(range(ROUTERS), ROUTERS // 3)
MANY_ENGINES = 42
MOST_ROUTERS = random.Random(3).sample(range(ROUTERS), 20)


# Guards against cut-off members that hear of no router to connect through, because the
# aggregators of their failure domain are cut off too.
def test_callers_are_served_where_aggregators_are_cut_off_too() -> None:
    shares = {
        name: run_cut(
            cut_off=cut_off,
            refused=refused,
            routers=ROUTERS,
            engines=ENGINES,
            rate=REQUESTS_PER_SECOND,
        ).served_share(routers=cut_off)
        for name, cut_off, refused in (
            ("one failure domain", ONE_DOMAIN, False),
            ("most routers", MOST_ROUTERS, True),
        )
    }

    assert min(shares.values()) >= MIN_SHARE, shares


# Guards against a router that finds out one endpoint at a time that it reaches none,
# and meanwhile refuses its callers after some failed connections each.
def test_loss_of_many_endpoints_is_noticed_at_once() -> None:
    world = run_cut(
        cut_off=THIRD_OF_ROUTERS,
        refused=True,
        routers=ROUTERS,
        engines=MANY_ENGINES,
        rate=REQUESTS_PER_SECOND,
    )

    assert world.served_share(routers=THIRD_OF_ROUTERS) >= MIN_SHARE


# Guards against routers that go on seeking tunnel servers after all links are back,
# because each hears of another one that does.
def test_routers_seek_no_tunnel_servers_once_links_are_back() -> None:
    world = LargeWorld(routers=ROUTERS, engines=ENGINES)
    seeking: dict[str, int] = {}

    def _count(name: str) -> None:
        seeking[name] = sum(
            any(
                peer.report.seeks_tunnels
                for peer in host.parts.state.directory.recently_active()
            )
            for host in world.hosts
            if host.parts is not None
        )

    async def _run() -> None:
        async with anyio.create_task_group() as tasks:
            world.tasks = world.network.tasks = tasks
            with world.network.installed():
                await world.start()
                world.cut_from_endpoints(routers=ONE_DOMAIN, refused=True)
                for number in ONE_DOMAIN:
                    parts = world.hosts[number].parts
                    assert parts is not None
                    for entry in parts.state.view.entries:
                        parts.reachability.suspect(entry=entry, timed_out=False)
                await anyio.sleep(SETTLED_SECONDS)
                _count("cut")
                for number in ONE_DOMAIN:
                    world.links[number].heal()
                await anyio.sleep(SETTLED_SECONDS)
                _count("healed")
                tasks.cancel_scope.cancel()

    run_in_virtual_time(_run)

    assert seeking["cut"] > 0
    assert seeking["healed"] == 0, seeking
