"""Reports in fleets of several sizes, with losses, crashes and network partitions."""

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
    from dotterelpaddle.peers.report import PeerInfo

pytestmark = pytest.mark.anyio

DOMAINS = (FailureDomain("a"), FailureDomain("b"), FailureDomain("c"))
A = EndpointId("engine-a")
START_SECONDS = 6.0
"""Time within which the routers of a large fleet discover each other."""


def _fleet(*, routers: int, loss: float = 0.0) -> Fleet:
    fleet = Fleet(loss=loss)
    for number in range(routers):
        link = 200 if number >= routers - len(DOMAINS) else 10
        fleet.add(number, domain=DOMAINS[number % len(DOMAINS)], link=link)
    return fleet


def _start_requests(fleet: Fleet) -> int:
    """Put some requests of each router in flight; return their number."""
    in_flight = 0
    for number, node in enumerate(fleet.nodes):
        count = 1 + number % 3
        for _ in range(count):
            fleet.held_requests.enter_context(node.loads.track(endpoint=A))
        in_flight += count
    return in_flight


@pytest.mark.parametrize(
    "routers", [2, 6, MAX_MESH_ROUTERS, MAX_MESH_ROUTERS + 1, 30, 58]
)
async def test_every_router_counts_all_requests_once(routers: int) -> None:
    fleet = _fleet(routers=routers)
    in_flight = _start_requests(fleet)

    await fleet.run(START_SECONDS)

    assert {node.load(A) for node in fleet.nodes} == {in_flight}


async def test_lost_datagrams_barely_change_counts() -> None:
    fleet = _fleet(routers=40, loss=0.1)
    in_flight = _start_requests(fleet)
    await fleet.run(START_SECONDS)

    for _ in range(20):
        await fleet.run(0.2)
        seen = [node.load(A) for node in fleet.nodes]
        assert all(0.9 * in_flight <= count <= in_flight for count in seen)


@pytest.mark.parametrize("routers", [30, 58, 90])
async def test_reports_of_a_router_do_not_grow_with_the_fleet(routers: int) -> None:
    fleet = _fleet(routers=routers)
    await fleet.run(START_SECONDS)
    for node in fleet.nodes:
        node.sent = 0

    await fleet.run(10.0)

    sent = sorted(node.sent / 10.0 for node in fleet.nodes)
    aggregators = 2 * len(DOMAINS)
    assert sent[-aggregators - 1] <= 11
    assert sent[-1] <= 5 * (routers / len(DOMAINS) + 5)


async def test_next_routers_aggregate_after_the_aggregators_crash() -> None:
    fleet = _fleet(routers=30)
    in_flight = _start_requests(fleet)
    await fleet.run(START_SECONDS)
    domain = FailureDomain("a")
    first = fleet.nodes[0].directory.aggregators(failure_domain=domain)
    ended = [node for node in fleet.nodes if node.info in first]
    fleet.down = {node.info.address for node in ended}
    in_flight -= sum(node.loads.own[A] for node in ended)

    await fleet.run(2 * PEER_TIMEOUT_SECONDS + 2.0)

    rest = [node for node in fleet.nodes if node not in ended]
    assert {node.load(A) for node in rest} == {in_flight}
    again = rest[0].directory.aggregators(failure_domain=domain)
    assert len(again) == 2
    assert not set(again) & set(first)


async def test_returning_router_aggregates_again() -> None:
    fleet = _fleet(routers=30)
    in_flight = _start_requests(fleet)
    await fleet.run(START_SECONDS)
    domain = FailureDomain("a")
    first = fleet.nodes[0].directory.aggregators(failure_domain=domain)
    fleet.down = {info.address for info in first}
    await fleet.run(4.0)

    fleet.down = set()
    await fleet.run(4.0)

    assert fleet.nodes[0].directory.aggregators(failure_domain=domain) == first
    assert {node.load(A) for node in fleet.nodes} == {in_flight}


async def test_members_detect_that_another_failure_domain_is_cut_off() -> None:
    fleet = _fleet(routers=30)
    await fleet.run(START_SECONDS)
    members = [each for each in fleet.nodes if each.info.failure_domain != "c"]
    before = [node.directory.reachable_domains() for node in members]

    fleet.isolated = {FailureDomain("c")}
    await fleet.run(2.0)

    assert all(all(reachable.values()) for reachable in before)
    for node in members:
        reachable = node.directory.reachable_domains()
        assert reachable == dict(zip(DOMAINS, (True, True, False), strict=True))


async def test_uses_of_parts_reach_every_router() -> None:
    fleet = _fleet(routers=30, loss=0.05)
    await fleet.run(START_SECONDS)
    for number, node in enumerate(fleet.nodes):
        node.caches.record_part(endpoint=A, part=number)

    await fleet.run(3.0)

    assert {node.caches.part_count for node in fleet.nodes} == {30}


async def test_all_routers_know_the_owner_of_each_failure_domain() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_SECONDS)

    known = [node.directory.owners() for node in fleet.nodes]
    owners = known[0]
    assert owners.keys() == set(DOMAINS)
    assert all(each == owners for each in known)
    aggregating = {
        info.router
        for domain in DOMAINS
        for info in fleet.nodes[0].directory.aggregators(failure_domain=domain)
    }
    assert not aggregating & {info.router for info in owners.values()}


async def test_silent_owner_is_replaced() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_SECONDS)
    before = fleet.nodes[0].directory.owners()[DOMAINS[0]]
    fleet.down.add(before.address)

    await fleet.run(2 * PEER_TIMEOUT_SECONDS)

    alive = [node for node in fleet.nodes if node.info != before]
    after = {node.directory.owners()[DOMAINS[0]].router for node in alive}
    assert len(after) == 1
    assert before.router not in after


HANDOVER_SECONDS = 0.6
"""Time, three reports, within which all routers replace one that is stopping."""


async def test_stopping_owner_is_replaced_while_it_still_answers() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_SECONDS)
    before = fleet.nodes[0].directory.owners()[DOMAINS[0]]
    stopping = next(node for node in fleet.nodes if node.info == before)
    stopping.directory.announce_leaving()

    await fleet.run(HANDOVER_SECONDS)

    after = {node.directory.owners()[DOMAINS[0]].router for node in fleet.nodes}
    assert len(after) == 1
    assert before.router not in after


def _mark_late(fleet: Fleet, owner: PeerInfo, *, every: int) -> None:
    """Mark an owner as unresponsive at each `every`-th router of its failure domain."""
    members = [
        node
        for node in fleet.nodes
        if node.info.failure_domain == owner.failure_domain and node.info != owner
    ]
    for node in members[::every]:
        node.exchange._owners._replies._cooldown_until[owner.router] = (
            fleet.now + LATE_OWNER_COOLDOWN_SECONDS
        )


async def test_late_owner_is_replaced_and_not_elected_during_its_cooldown() -> None:
    """Guards against an owner on a busy host, which sends reports but no answers."""
    fleet = _fleet(routers=58)
    await fleet.run(START_SECONDS)
    before = fleet.nodes[0].directory.owners()[DOMAINS[0]]
    _mark_late(fleet, before, every=1)

    await fleet.run(HANDOVER_SECONDS)

    for seconds in (0.0, LATE_OWNER_COOLDOWN_SECONDS - 2.0):
        await fleet.run(seconds)
        after = {node.directory.owners()[DOMAINS[0]].router for node in fleet.nodes}
        assert len(after) == 1
        assert before.router not in after


async def test_owner_that_is_silent_to_a_few_routers_is_kept() -> None:
    """Guards against the replacement of owners after a few lost packets."""
    fleet = _fleet(routers=58)
    await fleet.run(START_SECONDS)
    before = fleet.nodes[0].directory.owners()[DOMAINS[0]]
    _mark_late(fleet, before, every=3)

    await fleet.run(2 * HANDOVER_SECONDS)

    assert {node.directory.owners()[DOMAINS[0]] for node in fleet.nodes} == {before}


async def test_late_owners_are_kept_if_all_routers_are_late() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_SECONDS)
    for node in fleet.nodes:
        _mark_late(fleet, node.info, every=1)
    await fleet.run(2 * START_SECONDS)

    assert all(node.directory.owners().keys() == set(DOMAINS) for node in fleet.nodes)


async def test_stopping_aggregators_are_replaced_while_they_still_answer() -> None:
    fleet = _fleet(routers=58)
    _start_requests(fleet)
    await fleet.run(START_SECONDS)
    stopping = [node for node in fleet.nodes if node.totals.is_aggregator]
    for node in stopping:
        node.directory.announce_leaving()
    await fleet.run(3 * HANDOVER_SECONDS)
    fleet.down.update(node.info.address for node in stopping)

    staying = [node for node in fleet.nodes if node not in stopping]
    in_flight = sum(node.loads.own[A] for node in staying)
    for _ in range(10):
        await fleet.run(0.2)
        assert all(node.directory.owners().keys() == set(DOMAINS) for node in staying)
        assert all(node.load(A) >= 0.9 * in_flight for node in staying)
    await fleet.run(PEER_TIMEOUT_SECONDS)
    assert {node.load(A) for node in staying} == {in_flight}


async def test_owners_are_kept_while_all_routers_are_stopping() -> None:
    fleet = _fleet(routers=30)
    await fleet.run(START_SECONDS)
    for node in fleet.nodes:
        node.directory.announce_leaving()
    await fleet.run(1.0)

    assert all(node.directory.owners().keys() == set(DOMAINS) for node in fleet.nodes)


async def test_small_fleet_has_no_owners() -> None:
    fleet = _fleet(routers=MAX_MESH_ROUTERS)
    await fleet.run(START_SECONDS)

    assert not any(node.directory.owners() for node in fleet.nodes)


async def test_fleet_has_one_platform_reader() -> None:
    fleet = _fleet(routers=58)
    await fleet.run(START_SECONDS)

    assert sum(node.peer_summary.is_platform_reader for node in fleet.nodes) == 1
    relying = [
        node for node in fleet.nodes if node.peer_summary.receives_configurations
    ]
    assert len(relying) == 58 - 2 * len(DOMAINS)


RECOVERY_SECONDS = 8.0
"""Time without faults after which all routers have the same state again."""


@pytest.mark.parametrize("seed", range(8))
async def test_all_requests_are_counted_once_after_any_fault(seed: int) -> None:
    """Routers crash, return, get cut off and lose datagrams, also at the same time."""
    rng = random.Random(seed)
    fleet = _fleet(routers=rng.choice([14, 18, 27, 40]))
    in_flight = _start_requests(fleet)
    await fleet.run(START_SECONDS)

    for _ in range(12):
        match rng.randrange(4):
            case 0:
                ended = rng.sample(fleet.nodes, rng.randrange(len(fleet.nodes)))
                fleet.down = {node.info.address for node in ended}
            case 1:
                fleet.down = set()
            case 2:
                fleet.isolated = set(rng.sample(DOMAINS, rng.randrange(2)))
            case 3:
                fleet.loss = rng.choice([0.0, 0.1, 0.5])
        for _ in range(rng.choice([2, 5, 15])):
            await fleet.run(0.2)
            # A count may lack requests while roles change; it never counts one twice.
            assert all(node.load(A) <= in_flight for node in fleet.nodes)
    fleet.down, fleet.isolated, fleet.loss = set(), set(), 0.0
    await fleet.run(RECOVERY_SECONDS)

    assert {node.load(A) for node in fleet.nodes} == {in_flight}
    assert sum(node.peer_summary.is_platform_reader for node in fleet.nodes) == 1
    for node in fleet.nodes:
        assert all(node.directory.reachable_domains().values())
