from __future__ import annotations

import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.clock import monotonic
from dotterelpaddle.control.channel import open_channel
from dotterelpaddle.exceptions import PlatformUnavailable
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
from dotterelpaddle.links import Links
from dotterelpaddle.membership.service import Membership, run_membership
from dotterelpaddle.membership.settings import MembershipSettings
from dotterelpaddle.membership.view import (
    EndpointCondition,
    EndpointRumour,
    Member,
    MemberState,
)
from dotterelpaddle.metrics import Metrics

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Host

pytestmark = pytest.mark.anyio

KEY = b"k" * 32
LIMIT = 20.0
FAST = MembershipSettings(
    tick=0.01,
    probe_interval=0.05,
    far_interval=0.1,
    probe_timeout=0.04,
    suspicion=0.3,
    gossip_interval=0.02,
    domain_timeout=0.6,
    isolation=0.8,
    sync_after=0.2,
    sync_interval=0.2,
    sync_timeout=0.5,
    poll_interval=0.1,
)


@dataclass
class FakeHosts:
    listed: dict[RouterId, Host] = field(default_factory=dict)
    down: bool = False

    async def hosts(self) -> tuple[Host, ...]:
        if self.down:
            raise PlatformUnavailable("down")
        return tuple(self.listed.values())

    async def register(self, *, host: Host) -> None:
        if self.down:
            raise PlatformUnavailable("down")
        self.listed[host.router] = host

    async def deregister(self, *, router: RouterId) -> None:
        if self.down:
            raise PlatformUnavailable("down")
        self.listed.pop(router, None)


@dataclass
class Node:
    membership: Membership
    links: Links
    stop: anyio.Event
    scope: anyio.CancelScope
    offset: list[float]

    @property
    def address(self) -> Address:
        return self.membership.own.address

    def crash(self) -> None:
        self.scope.cancel()

    def state_of(self, other: Node) -> MemberState | None:
        found = self.membership.find(router=other.membership.own.router)
        return None if found is None else found.state


async def run_node(
    index: int,
    domain: str,
    seeds: tuple[Address, ...],
    hosts: FakeHosts,
    wall_clock=time.time,
    *,
    task_status,
) -> None:
    links = Links()
    offset = [0.0]
    stop = anyio.Event()
    with anyio.CancelScope() as scope:
        async with (
            open_channel(
                address=Address(host="127.0.0.1", port=0),
                key=KEY,
                bytes_per_second=1e6,
                links=links,
                metrics=Metrics(),
                clock=monotonic,
            ) as channel,
            run_membership(
                own=Member(
                    router=RouterId(f"router-{index}"),
                    address=channel.address,
                    failure_domain=FailureDomain(domain),
                    state=MemberState.ALIVE,
                ),
                channel=channel,
                hosts=hosts,
                seeds=seeds,
                settings=FAST,
                metrics=Metrics(),
                clock=lambda: monotonic() + offset[0],
                wall_clock=wall_clock,
            ) as membership,
        ):
            task_status.started(Node(membership, links, stop, scope, offset))
            await stop.wait()


@asynccontextmanager
async def fleet(*domains: str, hosts: FakeHosts | None = None, seeded: bool = True):
    """Run one member for each domain named; the first one is everyone's seed."""
    hosts = hosts or FakeHosts()
    nodes: list[Node] = []
    with anyio.fail_after(LIMIT):
        async with anyio.create_task_group() as tasks:
            for index, domain in enumerate(domains):
                seeds = (nodes[0].address,) if nodes and seeded else ()
                nodes.append(await tasks.start(run_node, index, domain, seeds, hosts))
            yield nodes
            for node in nodes:
                node.stop.set()


async def until(condition) -> None:
    while not condition():
        await anyio.sleep(0.01)


def all_see(nodes: list[Node], count: int) -> bool:
    return all(
        len(node.membership.members()) == count and not node.membership.stale
        for node in nodes
    )


async def test_members_meet_through_a_seed_while_the_platform_is_down():
    async with fleet("a", "a", "b", "c", hosts=FakeHosts(down=True)) as nodes:
        await until(lambda: all_see(nodes, 4))


async def test_members_meet_through_the_platform_without_seeds():
    async with fleet("a", "a", "b", seeded=False) as nodes:
        await until(lambda: all_see(nodes, 3))


async def test_crashed_member_is_found_dead_and_leaving_one_is_not_suspected():
    async with fleet("a", "a", "a", "b") as nodes:
        await until(lambda: all_see(nodes, 4))
        await nodes[1].membership.leave()
        await until(
            lambda: all(
                node.state_of(nodes[1]) is MemberState.LEAVING for node in nodes
            )
        )
        nodes[2].crash()
        rest = [nodes[0], nodes[1], nodes[3]]
        await until(
            lambda: all(node.state_of(nodes[2]) is MemberState.DEAD for node in rest)
        )
        assert nodes[0].state_of(nodes[1]) is MemberState.LEAVING
        nodes[1].stop.set()
        await until(lambda: nodes[3].state_of(nodes[1]) is MemberState.DEAD)


async def test_cut_off_domain_is_unreachable_and_comes_back():
    async with fleet("a", "a", "b", "b", "c") as nodes:
        await until(lambda: all_see(nodes, 5))
        near, far, third = nodes[:2], nodes[2:4], nodes[4]
        for node in near:
            node.links.cut(peers=frozenset(other.address for other in far))
        await until(
            lambda: all(
                one.state_of(two) is MemberState.UNREACHABLE
                and two.state_of(one) is MemberState.UNREACHABLE
                for one in near
                for two in far
            )
        )
        assert len(third.membership.members()) == 5
        await nodes[3].membership.leave()
        for node in near:
            node.links.heal()
        await until(lambda: all_see(nodes, 5))
        await until(
            lambda: all(node.state_of(nodes[3]) is MemberState.LEAVING for node in near)
        )


async def test_cut_off_member_is_stale_until_it_hears_from_others():
    async with fleet("a", "a", "a") as nodes:
        await until(lambda: all_see(nodes, 3))
        lost = nodes[2]
        others = frozenset(node.address for node in nodes[:2])
        lost.links.cut(peers=others)
        await until(lambda: lost.membership.stale)
        await until(lambda: nodes[0].state_of(lost) is MemberState.DEAD)
        before = lost.membership.own.incarnation
        lost.links.heal()
        await until(lambda: all_see(nodes, 3))
        assert lost.membership.own.incarnation > before


async def test_paused_member_is_stale_at_once():
    async with fleet("a", "a") as nodes:
        await until(lambda: all_see(nodes, 2))
        nodes[0].offset[0] += 60.0
        assert nodes[0].membership.stale
        await until(lambda: all_see(nodes, 2))


async def test_lone_member_is_not_stale():
    async with fleet("a", hosts=FakeHosts(down=True)) as nodes:
        await until(lambda: not nodes[0].membership.stale)


async def test_endpoint_rumour_reaches_everyone_and_old_ones_do_not():
    async with fleet("a", "a", "b") as nodes:
        await until(lambda: all_see(nodes, 3))
        heard: list[EndpointRumour] = []
        nodes[2].membership.on_rumour(handler=heard.append)
        news = EndpointRumour(
            endpoint=EndpointId("e1"), state=EndpointCondition.LEAVING, version=7
        )
        nodes[0].membership.spread(rumour=news)
        await until(lambda: all(n.membership.rumours() == (news,) for n in nodes))
        old = EndpointRumour(
            endpoint=EndpointId("e1"), state=EndpointCondition.OK, version=6
        )
        nodes[1].membership.spread(rumour=old)
        assert heard == [news]
        assert nodes[1].membership.rumours() == (news,)


async def test_platform_confirms_silent_members_only():
    hosts = FakeHosts()
    async with fleet("a", "b", "c", hosts=hosts) as nodes:
        await until(lambda: all_see(nodes, 3))
        await until(lambda: len(hosts.listed) == 3)
        nodes[1].crash()
        silent, answering = nodes[1].membership.own, nodes[2].membership.own
        await until(lambda: nodes[0].state_of(nodes[1]) is MemberState.UNREACHABLE)
        hosts.down = True
        del hosts.listed[silent.router]
        del hosts.listed[answering.router]
        assert nodes[0].state_of(nodes[1]) is MemberState.UNREACHABLE
        hosts.down = False
        await until(lambda: nodes[0].state_of(nodes[1]) is MemberState.DEAD)
        assert nodes[0].state_of(nodes[2]) is MemberState.ALIVE
        await until(lambda: answering.router in hosts.listed)


async def test_restarted_member_takes_the_place_of_its_earlier_process():
    async with fleet("a", "a") as nodes:
        await until(lambda: all_see(nodes, 2))
        nodes[1].crash()
        await until(lambda: nodes[0].state_of(nodes[1]) is MemberState.DEAD)
        async with anyio.create_task_group() as tasks:
            seeds = (nodes[0].address,)
            again = await tasks.start(run_node, 1, "a", seeds, FakeHosts())
            await until(lambda: all_see([nodes[0], again], 2))
            assert nodes[0].state_of(again) is MemberState.ALIVE
            found = nodes[0].membership.find(router=again.membership.own.router)
            assert found is not None and found.address == again.address
            again.stop.set()


async def test_member_without_byte_budget_names_others():
    async with fleet("a", "a") as nodes:
        await until(lambda: all_see(nodes, 2))
        nodes[0].membership._speaker._channel.bulk_delay = lambda size: 60.0
        async with anyio.create_task_group() as tasks:
            late = await tasks.start(
                run_node, 7, "a", (nodes[0].address,), FakeHosts(down=True)
            )
            await until(lambda: all_see([*nodes, late], 3))
            late.stop.set()


async def test_member_that_starts_twice_within_a_second_is_found_again():
    async with fleet("a", "b") as nodes, anyio.create_task_group() as tasks:
        seeds = (nodes[0].address,)
        for moment in (5_000_000_000.000, 5_000_000_000.400):
            again = await tasks.start(
                run_node, 2, "c", seeds, FakeHosts(), lambda at=moment: at
            )
            await until(
                lambda again=again: all(
                    (found := node.membership.find(router=RouterId("router-2")))
                    and found.address == again.address
                    for node in nodes
                )
            )
            again.crash()
