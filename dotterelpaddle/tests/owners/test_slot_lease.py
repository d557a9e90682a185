"""When a router may grant slots, so that no other one grants them too."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from typing import Any, cast

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.loads import LoadTracker
from dotterelpaddle.forwarding.request_totals import TotalsTracker
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
from dotterelpaddle.owners.counts import REPORT_TTL_SECONDS, ShardCounts
from dotterelpaddle.owners.exchange import OwnerExchange
from dotterelpaddle.owners.handover import Handover
from dotterelpaddle.owners.handovers import Handovers
from dotterelpaddle.owners.messages import InFlightReport, decode, encode
from dotterelpaddle.owners.reporting import InFlightReporter
from dotterelpaddle.owners.shards import ShardMap
from dotterelpaddle.owners.slot_lease import (
    HANDOVER_TTL_SECONDS,
    MAX_PAUSE_SECONDS,
    TAKEOVER_SECONDS,
    SlotLease,
)
from dotterelpaddle.peers.directory import PeerDirectory
from dotterelpaddle.peers.owner_election import SLOT_OWNER_EXPIRY_SECONDS
from dotterelpaddle.peers.report import PeerInfo
from dotterelpaddle.registry.fleet_size import FleetSize

HERE, THERE = FailureDomain("here"), FailureDomain("there")
ENDPOINT = EndpointId("brittle")
TICK_SECONDS = 0.1


def _info(name: str) -> PeerInfo:
    return PeerInfo(
        router=RouterId(name),
        failure_domain=HERE,
        address=Address(host=name, port=1),
        link=1,
    )


class Process:
    """A router's lease and counts, with a clock that tests set."""

    def __init__(self, *, name: str = "own", fleet: int = 1) -> None:
        self.now, self.heard = 100.0, fleet
        self.info = _info(name)
        self.directory = PeerDirectory(own=self.info, seeds=(), clock=self.clock)
        self.lease = SlotLease(
            directory=self.directory,
            heard=lambda: self.heard,
            fleet_size=FleetSize(
                heard=lambda: fleet, has_seeds=False, clock=self.clock
            ),
            clock=self.clock,
        )
        self.counts = ShardCounts(clock=self.clock)
        loads = LoadTracker(totals=TotalsTracker(failure_domain=HERE, clock=self.clock))
        self.handovers = Handovers(
            router=self.info.router,
            lease=self.lease,
            counts=self.counts,
            reporter=InFlightReporter(
                router=self.info.router,
                loads=loads,
                shards=ShardMap(view=FleetView(clock=self.clock)),
                clock=self.clock,
            ),
        )

    def clock(self) -> float:
        return self.now

    def name(self, info: PeerInfo) -> None:
        """Record a report that names the owner."""
        self.directory._owners.record(info=info)

    def run(self, seconds: float, *, owner: PeerInfo | None = None) -> None:
        """Let time pass, with reports that name an owner."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += TICK_SECONDS
            if owner is not None:
                self.name(owner)
            self.lease.update()

    @property
    def holds(self) -> bool:
        return self.lease.holds(domain=HERE)


# Guards against slots that a new owner grants while an earlier one still does.
def test_new_owner_waits_before_it_grants_slots() -> None:
    process = Process()
    process.run(TAKEOVER_SECONDS - TICK_SECONDS, owner=process.info)
    assert not process.holds

    process.run(3 * TICK_SECONDS, owner=process.info)
    assert process.holds


# Guards against two owners after a change, and while one of them hears no reports.
@pytest.mark.parametrize("successor", [_info("other"), None])
def test_owner_stops_once_it_is_not_named(successor: PeerInfo | None) -> None:
    process = Process()
    process.run(2 * TAKEOVER_SECONDS, owner=process.info)
    assert process.holds

    if successor is not None:
        process.name(successor)
        assert not process.holds
    process.run(SLOT_OWNER_EXPIRY_SECONDS + TICK_SECONDS, owner=successor)
    assert not process.holds

    process.run(TAKEOVER_SECONDS - TICK_SECONDS, owner=process.info)
    assert not process.holds


# Guards against a process that stood still, and grants from what it knew before.
def test_owner_that_stood_still_waits_before_it_grants_slots() -> None:
    process = Process()
    process.run(2 * TAKEOVER_SECONDS, owner=process.info)

    process.now += MAX_PAUSE_SECONDS + TICK_SECONDS
    process.name(process.info)
    assert not process.holds
    process.run(TAKEOVER_SECONDS + 2 * TICK_SECONDS, owner=process.info)
    assert process.holds


# Guards against an owner on each side of a network partition.
@pytest.mark.parametrize(("heard", "holds"), [(24, True), (13, True), (12, False)])
def test_owner_grants_slots_only_while_it_hears_most_routers(
    heard: int, holds: bool
) -> None:
    process = Process(fleet=24)
    process.heard = heard
    process.run(2 * TAKEOVER_SECONDS, owner=process.info)

    assert process.holds is holds


# Guards against callers that wait after a planned stop, and against a successor that
# does not know what is in flight, also if the last grant is not in use yet.
@pytest.mark.parametrize("routers", [1, 30])
def test_successor_takes_over_counts_and_grants_at_once(routers: int) -> None:
    earlier, successor = Process(name="earlier"), Process(name="successor")
    earlier.run(2 * TAKEOVER_SECONDS, owner=earlier.info)
    successor.run(2 * TAKEOVER_SECONDS, owner=earlier.info)
    for number in range(routers):
        report = InFlightReport(
            router=RouterId(f"router-{number}"),
            incarnation=1,
            sequence=5,
            loads={ENDPOINT: 2},
            pending=frozenset({7}),
        )
        earlier.counts.record_report(report=report)
        earlier.counts.record_grant(report=report, number=7, endpoint=ENDPOINT)

    for process in (earlier, successor):
        process.name(successor.info)
    for _, part in earlier.handovers.take_due():
        message = decode(datagram=encode(message=part))
        assert isinstance(message, Handover)
        successor.handovers.receive(handover=message)

    assert not earlier.holds
    assert successor.holds
    assert successor.counts.loads[ENDPOINT] == 3 * routers
    later = replace(report, sequence=6)
    successor.counts.record_report(report=later)
    assert successor.counts.loads[ENDPOINT] == 3 * routers


# Guards against a handover of a router that took itself for the owner, and granted
# nothing, as it heard few others.
def test_router_without_lease_hands_nothing_over() -> None:
    process = Process(fleet=24)
    process.heard = 2
    process.run(2 * TAKEOVER_SECONDS, owner=process.info)
    process.name(_info("other"))

    assert not list(process.handovers.take_due())


# Guards against a handover that is late: its sender may be the owner again.
def test_old_handover_counts_no_more() -> None:
    earlier, successor = Process(name="earlier"), Process(name="successor")
    earlier.run(2 * TAKEOVER_SECONDS, owner=earlier.info)
    earlier.name(successor.info)
    for _, part in earlier.handovers.take_due():
        successor.handovers.receive(handover=part)

    successor.run(HANDOVER_TTL_SECONDS + TICK_SECONDS, owner=earlier.info)
    successor.name(successor.info)
    assert not successor.holds


# Guards against a lease from a part of the counts.
def test_incomplete_handover_does_not_count() -> None:
    process = Process()
    for part, parts in ((0, 3), (2, 3)):
        process.handovers.receive(
            handover=Handover(
                router=RouterId("earlier"),
                domain=HERE,
                number=1,
                part=part,
                parts=parts,
                counts=(),
            )
        )
    process.name(process.info)

    assert not process.holds


# Guards against requests that go on asking an owner which is named no more, and grants
# nothing, while the one that follows it is asked by nobody.
def test_routers_ask_the_owner_that_may_hold_the_lease() -> None:
    process = Process()
    unused = cast("Any", None)
    exchange = OwnerExchange(
        directory=process.directory,
        reporter=unused,
        owner=unused,
        admission=unused,
        lease=process.lease,
        handovers=process.handovers,
        slowdowns=unused,
        metrics=unused,
        clock=process.clock,
    )
    process.directory._owners._observers.clear()
    gone, next_owner = _info("gone"), replace(_info("next"), failure_domain=THERE)
    process.name(gone)
    process.now += SLOT_OWNER_EXPIRY_SECONDS + TICK_SECONDS
    process.name(next_owner)

    asked = exchange._next_owner(domain=HERE, silent=set(), only_first=True)
    assert asked == next_owner


# Guards against requests of a router that has ended, which count for ever where owners
# change often, as each handover made their report young again.
def test_counts_expire_however_often_they_are_handed_over() -> None:
    processes = [Process(name=f"owner-{number}") for number in range(6)]
    processes[0].counts.record_report(
        report=InFlightReport(
            router=RouterId("ended"), incarnation=1, sequence=1, loads={ENDPOINT: 1}
        )
    )
    for earlier, successor in pairwise(processes):
        for process in processes:
            process.now += REPORT_TTL_SECONDS / 4
        snapshot = earlier.counts.snapshot()
        message = Handover(
            router=earlier.info.router,
            domain=HERE,
            number=1,
            part=0,
            parts=1,
            counts=tuple(snapshot),
        )
        decoded = decode(datagram=encode(message=message))
        assert isinstance(decoded, Handover)
        successor.handovers.receive(handover=decoded)

    assert not processes[-1].counts.loads
