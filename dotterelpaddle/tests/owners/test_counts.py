"""Counts of an owner under lost, doubled and late messages."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelpaddle.owners.counts import REPORT_INTERVAL_SECONDS, REPORT_TTL_SECONDS
from dotterelpaddle.owners.messages import (
    Grant,
    GrantRequest,
    InFlightReport,
    decode,
    encode,
)
from dotterelpaddle.tests.owners.harness import OwnerHarness, RequestingRouter, total

if TYPE_CHECKING:
    from dotterelpaddle.owners.reporting import PendingGrant

ROUTERS = 4
INDEX = st.integers(min_value=0, max_value=ROUTERS - 1)


class OwnerAndRouters(RuleBasedStateMachine):
    """Messages are delivered in any order, twice, or never."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = OwnerHarness(endpoints=3)
        self.routers = [
            RequestingRouter(name=f"router-{n}", harness=self.harness)
            for n in range(ROUTERS)
        ]
        self.to_owner: list[tuple[int, bytes]] = []
        self.to_router: list[tuple[int, bytes]] = []
        self.pending: dict[tuple[int, int], PendingGrant] = {}

    @rule(index=INDEX)
    def ask(self, index: int) -> None:
        asked, question = self.routers[index].open_request(ignore_bound=True)
        self.pending[index, asked.number] = asked
        self.to_owner.append((index, encode(message=question)))

    @rule(index=INDEX)
    def tell(self, index: int) -> None:
        self.to_owner.append(
            (index, encode(message=self.routers[index].build_report()))
        )

    @rule(index=INDEX, endpoint=st.integers(min_value=0, max_value=2))
    def begin_without_asking(self, index: int, endpoint: int) -> None:
        self.routers[index].begin(endpoint=self.harness.endpoints[endpoint])

    @rule(index=INDEX)
    def end(self, index: int) -> None:
        if self.routers[index].in_flight:
            self.routers[index].end(0)

    @rule(index=INDEX)
    def give_up_waiting(self, index: int) -> None:
        for key in [key for key in self.pending if key[0] == index]:
            self.routers[index].reporter.abandon(pending=self.pending.pop(key))

    @rule(place=st.integers(min_value=0), twice=st.booleans())
    def deliver_to_owner(self, place: int, twice: bool) -> None:
        if not self.to_owner:
            return
        place %= len(self.to_owner)
        index, datagram = self.to_owner[place]
        if not twice:
            del self.to_owner[place]
        message = decode(datagram=datagram)
        if isinstance(message, GrantRequest):
            grant = self.harness.owner.decide(request=message)
            self.to_router.append((index, encode(message=grant)))
        elif isinstance(message, InFlightReport):
            self.harness.owner.record_report(report=message)

    @rule(place=st.integers(min_value=0))
    def deliver_to_router(self, place: int) -> None:
        if not self.to_router:
            return
        index, datagram = self.to_router.pop(place % len(self.to_router))
        grant = decode(datagram=datagram)
        assert isinstance(grant, Grant)
        asked = self.pending.pop((index, grant.number), None)
        if asked is None:
            self.routers[index].reporter.resolve(grant=grant)
        else:
            self.routers[index].apply_grant(pending=asked, grant=grant)

    @rule(place=st.integers(min_value=0))
    def lose(self, place: int) -> None:
        if self.to_owner:
            del self.to_owner[place % len(self.to_owner)]

    @rule()
    def change_owner(self) -> None:
        self.harness.restart_owner()

    @rule(seconds=st.floats(min_value=0.001, max_value=0.3))
    def wait(self, seconds: float) -> None:
        self.harness.now += seconds

    @invariant()
    def nothing_is_counted_below_zero(self) -> None:
        assert all(load > 0 for load in self.harness.counts.loads.values())

    @rule()
    def all_tell_and_counts_are_exact(self) -> None:
        """One message of each that arrives makes good whatever went before."""
        self.to_owner.clear()
        for key in list(self.pending):
            self.routers[key[0]].reporter.abandon(pending=self.pending.pop(key))
        for router in self.routers:
            self.harness.owner.record_report(report=decode_report(router))
        assert Counter(self.harness.counts.loads) == total(self.routers)


def decode_report(router: RequestingRouter) -> InFlightReport:
    held = decode(datagram=encode(message=router.build_report()))
    assert isinstance(held, InFlightReport)
    return held


TestOwnerAndRouters = OwnerAndRouters.TestCase
TestOwnerAndRouters.settings = settings(max_examples=60, stateful_step_count=40)


def test_grant_counts_at_once_and_is_replaced_by_what_its_router_tells() -> None:
    world = OwnerHarness()
    router = RequestingRouter(name="router", harness=world)
    asked, question = router.open_request()
    grant = world.owner.decide(request=question)
    before = Counter(world.counts.loads)
    router.apply_grant(pending=asked, grant=grant)
    world.owner.record_report(report=router.build_report())

    assert before == Counter(world.counts.loads) == Counter([grant.endpoint])


def test_doubled_question_is_counted_once() -> None:
    world = OwnerHarness()
    router = RequestingRouter(name="router", harness=world)
    _, question = router.open_request()
    world.owner.decide(request=question)
    world.owner.decide(request=question)

    assert sum(world.counts.loads.values()) == 1


def test_counts_settle_after_all_had_time_to_tell() -> None:
    world = OwnerHarness()
    router = RequestingRouter(name="router", harness=world)
    world.owner.record_report(report=router.build_report())
    world.now += REPORT_INTERVAL_SECONDS
    world.owner.record_report(report=router.build_report())
    soon = world.counts.warmed_up
    world.now += REPORT_TTL_SECONDS
    later = world.counts.warmed_up

    assert (soon, later) == (False, True)


def test_late_message_does_not_undo_a_later_one() -> None:
    world = OwnerHarness()
    router = RequestingRouter(name="router", harness=world)
    early = router.build_report()
    router.begin(endpoint=world.endpoints[0])
    world.owner.record_report(report=router.build_report())
    world.owner.record_report(report=early)

    assert Counter(world.counts.loads) == Counter([world.endpoints[0]])
