"""What a router may rely on because others say so."""

from __future__ import annotations

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.model import EndpointState
from dotterelpaddle.forwarding.request_totals import RequestTotals, TotalsTracker
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import FailureDomain, Revision, RouterId
from dotterelpaddle.peers.directory import PEER_TIMEOUT_SECONDS, PeerDirectory
from dotterelpaddle.peers.messages import PeerInfo, PeerReport
from dotterelpaddle.peers.summary import PeerSummary
from dotterelpaddle.tests.forwarding.entries import make_entry

OWN = Address(host="10.0.0.1", port=1)
NEVER = float("inf")
NONE_EVACUATED = EvacuationSnapshot(revision=Revision(1), domains=frozenset())


def _view(*, revision: int, state: EndpointState = EndpointState.READY) -> FleetView:
    view = FleetView(clock=lambda: 0.0)
    entries = (make_entry("a", revision=Revision(revision), state=state),)
    view.apply_endpoints_update(
        update=EndpointsUpdate(
            revision=Revision(revision), entries=entries, is_snapshot=True
        )
    )
    return view


class World:
    """One router and what it hears, with a clock that tests turn."""

    def __init__(self, *, view: FleetView, name: str = "own") -> None:
        self.now = 0.0
        self.view = view
        own = PeerInfo(
            router=RouterId(name),
            failure_domain=FailureDomain("here"),
            address=OWN,
            link=0,
        )
        self.directory = PeerDirectory(own=own, seeds=(), clock=lambda: self.now)
        self.shares = TotalsTracker(
            failure_domain=own.failure_domain, clock=lambda: self.now
        )
        self.word = PeerSummary(
            view=view,
            directory=self.directory,
            shares=self.shares,
            clock=lambda: self.now,
        )
        self._sequence = 0

    def hear(
        self,
        router: str,
        *,
        view: FleetView,
        age: float = 0.0,
        cut_off: bool = False,
        evacuated: EvacuationSnapshot | None = NONE_EVACUATED,
    ) -> None:
        self._sequence += 1
        report = PeerReport(
            router=RouterId(router),
            failure_domain=FailureDomain("here"),
            incarnation=1,
            sequence=self._sequence,
            control=OWN,
            version=view.version,
            revision=view.endpoints_revision or Revision(-1),
            configuration_age=age,
            endpoints_age=age,
            endpoints_tag=view.endpoints_tag,
            share=RequestTotals(),
            platform_lost=cut_off,
            evacuated=evacuated,
        )
        self.directory.receive(report=report, address=Address(host=router, port=1))


def test_lone_router_reads_for_itself() -> None:
    world = World(view=_view(revision=1))

    assert world.word.is_platform_reader
    assert world.word.endpoints_age == NEVER
    assert world.word.configuration_age == NEVER
    assert not world.word.endpoints_outdated


def test_one_of_those_that_hear_each_other_reads_first() -> None:
    names = [f"router-{number}" for number in range(9)]
    first = []
    for name in names:
        world = World(view=_view(revision=1), name=name)
        for other in names:
            if other != name:
                world.hear(other, view=world.view)
        first.append(world.word.is_platform_reader)

    assert first.count(True) == 1


def test_first_one_that_reaches_the_platform_reads_for_the_others() -> None:
    """Guards against news that nobody reads while the first router is cut off."""
    names = [f"router-{number}" for number in range(9)]
    worlds = {}
    for name in names:
        worlds[name] = World(view=_view(revision=1), name=name)
        for other in names:
            if other != name:
                worlds[name].hear(other, view=worlds[name].view)
    (first,) = [name for name in names if worlds[name].word.is_platform_reader]
    others = [name for name in names if name != first]
    for name in others:
        worlds[name].hear(first, view=worlds[name].view, cut_off=True)

    assert [worlds[name].word.is_platform_reader for name in others].count(True) == 1


def test_word_of_one_that_knows_the_same_grows_old() -> None:
    world = World(view=_view(revision=3))
    world.hear("other", view=_view(revision=8), age=0.25)
    world.now = 0.5

    assert world.word.endpoints_age == pytest.approx(0.75)
    assert world.word.configuration_age == pytest.approx(0.75)
    assert not world.word.endpoints_outdated


def test_router_that_knows_of_no_evacuations_does_not_vouch_for_them() -> None:
    """Guards against evacuations that are missed beside routers of earlier releases."""
    world = World(view=_view(revision=3))
    world.hear("other", view=_view(revision=8), age=0.25, evacuated=None)

    assert world.word.configuration_age == NEVER


def test_word_of_one_that_knows_other_endpoints_counts_for_nothing() -> None:
    world = World(view=_view(revision=3))
    world.hear("other", view=_view(revision=8, state=EndpointState.DRAINING))

    assert world.word.endpoints_age == NEVER
    assert world.word.endpoints_outdated


def test_earlier_endpoints_of_others_are_no_news() -> None:
    world = World(view=_view(revision=8, state=EndpointState.DRAINING))
    world.hear("other", view=_view(revision=3))

    assert not world.word.endpoints_outdated
    assert world.word.endpoints_age == NEVER


def test_router_that_fell_silent_vouches_for_nothing() -> None:
    world = World(view=_view(revision=3))
    world.hear("other", view=_view(revision=3))
    world.now = 2 * PEER_TIMEOUT_SECONDS
    world.directory.update_liveness()

    assert world.word.endpoints_age == NEVER
    assert world.word.is_platform_reader


def test_router_that_relies_on_aggregators_is_told_all_news() -> None:
    world = World(view=_view(revision=3))
    world.shares.has_aggregators = True
    world.shares.is_aggregator = False
    alone = world.word.receives_configurations
    world.hear("other", view=_view(revision=3))
    relying = world.word.receives_configurations
    world.shares.is_aggregator = True

    assert (alone, relying, world.word.receives_configurations) == (False, True, False)


def test_endpoints_are_passed_on_to_all_but_the_one_that_reads_first() -> None:
    names = [f"router-{number}" for number in range(9)]
    passed_on = []
    for name in names:
        world = World(view=_view(revision=1), name=name)
        world.shares.has_aggregators = True
        for other in names:
            if other != name:
                world.hear(other, view=world.view)
        passed_on.append(world.word.receives_endpoints)

    assert passed_on.count(False) == 1


def test_each_router_of_a_small_fleet_asks_for_what_it_lacks() -> None:
    world = World(view=_view(revision=1))
    world.hear("other", view=_view(revision=3))

    assert not world.word.receives_endpoints
    assert not world.word.receives_configurations
