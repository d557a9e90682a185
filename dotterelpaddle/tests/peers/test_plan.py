"""Who is told what in fleets of several sizes, under loss, ends and cuts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.ids import EndpointId, FailureDomain
from dotterelpaddle.peers.directory import (
    LATE_OWNER_COOLDOWN_SECONDS,
    PEER_TIMEOUT_SECONDS,
)
from dotterelpaddle.peers.plan import MAX_MESH_ROUTERS
from dotterelpaddle.tests.peers.fleet import Fleet

if TYPE_CHECKING:
    from dotterelpaddle.peers.messages import PeerInfo

pytestmark = pytest.mark.anyio

DOMAINS = (FailureDomain("a"), FailureDomain("b"), FailureDomain("c"))
A = EndpointId("engine-a")
START_TIME = 6.0
"""Seconds in which the routers of a large fleet have learnt of each other."""


def _fleet(*, routers: int, loss: float = 0.0) -> Fleet:
    fleet = Fleet(loss=loss)
    for number in range(routers):
        link = 200 if number >= routers - len(DOMAINS) else 10
        fleet.add(number, domain=DOMAINS[number % len(DOMAINS)], link=link)
    return fleet


def _hold(fleet: Fleet) -> int:
    """Let each router have some requests in flight; return the sum."""
    held = 0
    for number, node in enumerate(fleet.nodes):
        count = 1 + number % 3
        for _ in range(count):
            fleet.held.enter_context(node.loads.track(endpoint=A))
        held += count
    return held


@pytest.mark.parametrize(
    "routers", [2, 6, MAX_MESH_ROUTERS, MAX_MESH_ROUTERS + 1, 30, 58]
)
async def test_every_router_counts_all_requests_once(routers: int) -> None:
    fleet = _fleet(routers=routers)
    held = _hold(fleet)

    await fleet.run(START_TIME)

    assert {node.load(A) for node in fleet.nodes} == {held}


async def test_lost_datagrams_change_little() -> None:
    fleet = _fleet(routers=40, loss=0.1)
    held = _hold(fleet)
    await fleet.run(START_TIME)

    for _ in range(20):
        await fleet.run(0.2)
        seen = [node.load(A) for node in fleet.nodes]
        assert all(0.9 * held <= count <= held for count in seen)


@pytest.mark.parametrize("routers", [30, 58, 90])
async def test_reports_of_a_router_do_not_grow_with_the_fleet(routers: int) -> None:
    fleet = _fleet(routers=routers)
    await fleet.run(START_TIME)
    for node in fleet.nodes:
        node.sent = 0

    await fleet.run(10.0)

    sent = sorted(node.sent / 10.0 for node in fleet.nodes)
    aggregators = 2 * len(DOMAINS)
    assert sent[-aggregators - 1] <= 11
    assert sent[-1] <= 5 * (routers / len(DOMAINS) + 5)


async def test_others_go_on_when_an_aggregator_ends() -> None:
    fleet = _fleet(routers=30)
    held = _hold(fleet)
    await fleet.run(START_TIME)
    domain = FailureDomain("a")
    first = fleet.nodes[0].directory.aggregators(failure_domain=domain)
    ended = [node for node in fleet.nodes if node.name in first]
    fleet.down = {node.name.address for node in ended}
    held -= sum(node.loads.own[A] for node in ended)

    await fleet.run(2 * PEER_TIMEOUT_SECONDS + 2.0)

    rest = [node for node in fleet.nodes if node not in ended]
    assert {node.load(A) for node in rest} == {held}
    again = rest[0].directory.aggregators(failure_domain=domain)
    assert len(again) == 2
    assert not set(again) & set(first)


async def test_router_that_comes_back_aggregates_again() -> None:
    fleet = _fleet(routers=30)
    held = _hold(fleet)
    await fleet.run(START_TIME)
    domain = FailureDomain("a")
    first = fleet.nodes[0].directory.aggregators(failure_domain=domain)
    fleet.down = {name.address for name in first}
    await fleet.run(4.0)

    fleet.down = set()
    await fleet.run(4.0)

    assert fleet.nodes[0].directory.aggregators(failure_domain=domain) == first
    assert {node.load(A) for node in fleet.nodes} == {held}


async def test_members_learn_that_another_failure_domain_is_cut_off() -> None:
    fleet = _fleet(routers=30)
    await fleet.run(START_TIME)
    near = [n for n in fleet.nodes if n.name.failure_domain != "c"]
    before = [node.directory.reachable_domains() for node in near]

    fleet.cut = {FailureDomain("c")}
    await fleet.run(2.0)

    assert all(all(heard.values()) for heard in before)
    for node in near:
        heard = node.directory.reachable_domains()
        assert heard == dict(zip(DOMAINS, (True, True, False), strict=True))


async def test_uses_of_parts_reach_every_router() -> None:
    fleet = _fleet(routers=30, loss=0.05)
    await fleet.run(START_TIME)
    for number, node in enumerate(fleet.nodes):
        node.caches.record_part(endpoint=A, part=number)

    await fleet.run(3.0)

    assert {node.caches.part_count for node in fleet.nodes} == {30}


async def test_each_failure_domain_has_one_owner_that_all_know() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_TIME)

    known = [node.directory.owners() for node in fleet.nodes]
    owners = known[0]
    assert owners.keys() == set(DOMAINS)
    assert all(each == owners for each in known)
    aggregating = {
        name.router
        for domain in DOMAINS
        for name in fleet.nodes[0].directory.aggregators(failure_domain=domain)
    }
    assert not aggregating & {name.router for name in owners.values()}


async def test_owner_that_fell_silent_is_replaced() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_TIME)
    before = fleet.nodes[0].directory.owners()[DOMAINS[0]]
    fleet.down.add(before.address)

    await fleet.run(2 * PEER_TIMEOUT_SECONDS)

    alive = [node for node in fleet.nodes if node.name != before]
    after = {node.directory.owners()[DOMAINS[0]].router for node in alive}
    assert len(after) == 1
    assert before.router not in after


HANDOVER_TIME = 0.6
"""Seconds, three reports, within which all ask another router than one that stops."""


async def test_owner_that_stops_is_replaced_while_it_still_answers() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_TIME)
    before = fleet.nodes[0].directory.owners()[DOMAINS[0]]
    stopping = next(node for node in fleet.nodes if node.name == before)
    stopping.directory.announce_leaving()

    await fleet.run(HANDOVER_TIME)

    after = {node.directory.owners()[DOMAINS[0]].router for node in fleet.nodes}
    assert len(after) == 1
    assert before.router not in after


def _find_late(fleet: Fleet, name: PeerInfo, *, every: int) -> None:
    """Let some routers of an owner's failure domain get no answer of it in time."""
    near = [
        node
        for node in fleet.nodes
        if node.name.failure_domain == name.failure_domain and node.name != name
    ]
    for node in near[::every]:
        node.exchange._owners._silent_until[name.router] = (
            fleet.now + LATE_OWNER_COOLDOWN_SECONDS
        )


async def test_owner_that_answers_late_is_replaced_and_not_named_again_soon() -> None:
    """Guards against an owner on a busy host, which reports and yet does not answer."""
    fleet = _fleet(routers=58)
    await fleet.run(START_TIME)
    before = fleet.nodes[0].directory.owners()[DOMAINS[0]]
    _find_late(fleet, before, every=1)

    await fleet.run(HANDOVER_TIME)

    for seconds in (0.0, LATE_OWNER_COOLDOWN_SECONDS - 2.0):
        await fleet.run(seconds)
        after = {node.directory.owners()[DOMAINS[0]].router for node in fleet.nodes}
        assert len(after) == 1
        assert before.router not in after


async def test_owner_that_a_few_find_silent_goes_on() -> None:
    """Guards against owners that change wherever some packets are lost."""
    fleet = _fleet(routers=58)
    await fleet.run(START_TIME)
    before = fleet.nodes[0].directory.owners()[DOMAINS[0]]
    _find_late(fleet, before, every=3)

    await fleet.run(2 * HANDOVER_TIME)

    assert {node.directory.owners()[DOMAINS[0]] for node in fleet.nodes} == {before}


async def test_owners_that_are_all_late_go_on() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_TIME)
    for node in fleet.nodes:
        _find_late(fleet, node.name, every=1)
    await fleet.run(2 * START_TIME)

    assert all(node.directory.owners().keys() == set(DOMAINS) for node in fleet.nodes)


async def test_aggregators_that_stop_are_replaced_while_they_still_answer() -> None:
    fleet = _fleet(routers=58)
    _hold(fleet)
    await fleet.run(START_TIME)
    stopping = [node for node in fleet.nodes if node.shares.is_aggregator]
    for node in stopping:
        node.directory.announce_leaving()
    await fleet.run(3 * HANDOVER_TIME)
    fleet.down.update(node.name.address for node in stopping)

    staying = [node for node in fleet.nodes if node not in stopping]
    held = sum(node.loads.own[A] for node in staying)
    for _ in range(10):
        await fleet.run(0.2)
        assert all(node.directory.owners().keys() == set(DOMAINS) for node in staying)
        assert all(node.load(A) >= 0.9 * held for node in staying)
    await fleet.run(PEER_TIMEOUT_SECONDS)
    assert {node.load(A) for node in staying} == {held}


async def test_routers_that_all_stop_go_on_until_they_end() -> None:
    fleet = _fleet(routers=30)
    await fleet.run(START_TIME)
    for node in fleet.nodes:
        node.directory.announce_leaving()
    await fleet.run(1.0)

    assert all(node.directory.owners().keys() == set(DOMAINS) for node in fleet.nodes)


async def test_small_fleet_names_no_owners() -> None:
    fleet = _fleet(routers=MAX_MESH_ROUTERS)
    await fleet.run(START_TIME)

    assert not any(node.directory.owners() for node in fleet.nodes)


async def test_one_router_of_all_reads_the_platform() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_TIME)

    assert sum(node.word.is_platform_reader for node in fleet.nodes) == 1
    relying = [node for node in fleet.nodes if node.word.receives_configurations]
    assert len(relying) == 58 - 2 * len(DOMAINS)


CALM_TIME = 8.0
"""Seconds without trouble after which all routers know the same again."""


@pytest.mark.parametrize("seed", range(8))
async def test_all_is_counted_once_after_any_trouble(seed: int) -> None:
    """Routers end, return, are cut off and lose datagrams, in series and at once."""
    dice = random.Random(seed)
    fleet = _fleet(routers=dice.choice([14, 18, 27, 40]))
    held = _hold(fleet)
    await fleet.run(START_TIME)

    for _ in range(12):
        match dice.randrange(4):
            case 0:
                ended = dice.sample(fleet.nodes, dice.randrange(len(fleet.nodes)))
                fleet.down = {node.name.address for node in ended}
            case 1:
                fleet.down = set()
            case 2:
                fleet.cut = set(dice.sample(DOMAINS, dice.randrange(2)))
            case 3:
                fleet.loss = dice.choice([0.0, 0.1, 0.5])
        for _ in range(dice.choice([2, 5, 15])):
            await fleet.run(0.2)
            # Some may be missing while roles change; nobody counts twice.
            assert all(node.load(A) <= held for node in fleet.nodes)
    fleet.down, fleet.cut, fleet.loss = set(), set(), 0.0
    await fleet.run(CALM_TIME)

    assert {node.load(A) for node in fleet.nodes} == {held}
    assert sum(node.word.is_platform_reader for node in fleet.nodes) == 1
    for node in fleet.nodes:
        assert all(node.directory.reachable_domains().values())
