"""What a router concludes from the reports of its peers."""

from __future__ import annotations

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.model import EndpointState
from dotterelpaddle.forwarding.request_totals import RequestTotals, TotalsTracker
from dotterelpaddle.forwarding.revisions import FIRST_ERA
from dotterelpaddle.forwarding.store_clock import StoreTime
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.peers.directory import PEER_TIMEOUT_SECONDS, PeerDirectory
from dotterelpaddle.peers.report import PeerInfo, PeerReport
from dotterelpaddle.peers.summary import PeerSummary
from dotterelpaddle.tests.forwarding.entries import make_entry
from dotterelpaddle.tests.revisions import revision_at

OWN = Address(host="10.0.0.1", port=1)
NOW = StoreTime(era=FIRST_ERA, seconds=50.0)
LATER = StoreTime(era=FIRST_ERA, seconds=50.25)
NONE_EVACUATED = EvacuationSnapshot(revision=revision_at(1), domains=frozenset())


def _view(
    *, revision: int, era: int = 0, state: EndpointState = EndpointState.READY
) -> FleetView:
    view = FleetView(clock=lambda: 0.0)
    entries = (make_entry("a", revision=revision_at(revision, era=era), state=state),)
    view.apply_endpoints_update(
        update=EndpointsUpdate(
            revision=revision_at(revision, era=era), entries=entries, is_snapshot=True
        )
    )
    return view


class Harness:
    """One router that receives reports, with a simulated clock."""

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
        self.totals = TotalsTracker(
            failure_domain=own.failure_domain, clock=lambda: self.now
        )
        self.peer_summary = PeerSummary(
            view=view,
            directory=self.directory,
            totals=self.totals,
        )
        self._sequence = 0

    def receive_report(
        self,
        router: str,
        *,
        view: FleetView,
        as_of: StoreTime | None = NOW,
        platform_lost: bool = False,
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
            revision=view.endpoints_revision or revision_at(-1),
            configuration_as_of=as_of,
            endpoints_as_of=as_of,
            endpoints_tag=view.endpoints_tag,
            share=RequestTotals(),
            platform_lost=platform_lost,
            evacuated=evacuated,
        )
        self.directory.receive(report=report, address=Address(host=router, port=1))


def test_single_router_is_platform_reader() -> None:
    harness = Harness(view=_view(revision=1))

    assert harness.peer_summary.is_platform_reader
    assert harness.peer_summary.endpoints_as_of is None
    assert harness.peer_summary.configuration_as_of is None
    assert not harness.peer_summary.endpoints_outdated


def test_connected_routers_have_one_platform_reader() -> None:
    names = [f"router-{number}" for number in range(9)]
    readers = []
    for name in names:
        harness = Harness(view=_view(revision=1), name=name)
        for other in names:
            if other != name:
                harness.receive_report(other, view=harness.view)
        readers.append(harness.peer_summary.is_platform_reader)

    assert readers.count(True) == 1


def test_platform_reader_is_a_router_that_reaches_the_platform() -> None:
    """Guards against a fleet without a reader while the best router is cut off."""
    names = [f"router-{number}" for number in range(9)]
    harnesses = {}
    for name in names:
        harnesses[name] = Harness(view=_view(revision=1), name=name)
        for other in names:
            if other != name:
                harnesses[name].receive_report(other, view=harnesses[name].view)
    (first,) = [
        name for name in names if harnesses[name].peer_summary.is_platform_reader
    ]
    others = [name for name in names if name != first]
    for name in others:
        harnesses[name].receive_report(
            first, view=harnesses[name].view, platform_lost=True
        )

    assert [harnesses[name].peer_summary.is_platform_reader for name in others].count(
        True
    ) == 1


def test_latest_confirmation_of_equal_data_counts() -> None:
    harness = Harness(view=_view(revision=3))
    harness.receive_report("other", view=_view(revision=8), as_of=LATER)
    harness.receive_report("third", view=_view(revision=8), as_of=NOW)
    harness.receive_report("fourth", view=_view(revision=8), as_of=None)

    assert harness.peer_summary.endpoints_as_of == LATER
    assert harness.peer_summary.configuration_as_of == LATER
    assert not harness.peer_summary.endpoints_outdated


def test_report_without_evacuations_confirms_no_configuration() -> None:
    """Guards against missed evacuations in a fleet with routers of earlier releases."""
    harness = Harness(view=_view(revision=3))
    harness.receive_report("other", view=_view(revision=8), evacuated=None)

    assert harness.peer_summary.configuration_as_of is None


def test_report_with_other_endpoints_confirms_nothing() -> None:
    harness = Harness(view=_view(revision=3))
    harness.receive_report(
        "other", view=_view(revision=8, state=EndpointState.DRAINING)
    )

    assert harness.peer_summary.endpoints_as_of is None
    assert harness.peer_summary.endpoints_outdated


def test_older_endpoints_of_a_peer_do_not_outdate_own_ones() -> None:
    harness = Harness(view=_view(revision=8, state=EndpointState.DRAINING))
    harness.receive_report("other", view=_view(revision=3))

    assert not harness.peer_summary.endpoints_outdated
    assert harness.peer_summary.endpoints_as_of is None


def test_equal_endpoints_of_a_later_era_outdate_own_ones() -> None:
    harness = Harness(view=_view(revision=8))
    harness.receive_report("other", view=_view(revision=3, era=1))

    assert harness.peer_summary.endpoints_outdated


def test_later_revision_of_an_earlier_era_does_not_outdate_own_ones() -> None:
    harness = Harness(view=_view(revision=3, era=1))
    harness.receive_report(
        "other", view=_view(revision=8, state=EndpointState.DRAINING)
    )

    assert not harness.peer_summary.endpoints_outdated


def test_silent_router_confirms_nothing() -> None:
    harness = Harness(view=_view(revision=3))
    harness.receive_report("other", view=_view(revision=3))
    harness.now = 2 * PEER_TIMEOUT_SECONDS
    harness.directory.update_liveness()

    assert harness.peer_summary.endpoints_as_of is None
    assert harness.peer_summary.is_platform_reader


def test_router_with_aggregators_receives_configurations() -> None:
    harness = Harness(view=_view(revision=3))
    harness.totals.has_aggregators = True
    harness.totals.is_aggregator = False
    alone = harness.peer_summary.receives_configurations
    harness.receive_report("other", view=_view(revision=3))
    with_peer = harness.peer_summary.receives_configurations
    harness.totals.is_aggregator = True

    assert (alone, with_peer, harness.peer_summary.receives_configurations) == (
        False,
        True,
        False,
    )


def test_all_routers_but_the_platform_reader_receive_endpoints() -> None:
    names = [f"router-{number}" for number in range(9)]
    receiving = []
    for name in names:
        harness = Harness(view=_view(revision=1), name=name)
        harness.totals.has_aggregators = True
        for other in names:
            if other != name:
                harness.receive_report(other, view=harness.view)
        receiving.append(harness.peer_summary.receives_endpoints)

    assert receiving.count(False) == 1


def test_routers_of_a_small_fleet_receive_nothing_from_aggregators() -> None:
    harness = Harness(view=_view(revision=1))
    harness.receive_report("other", view=_view(revision=3))

    assert not harness.peer_summary.receives_endpoints
    assert not harness.peer_summary.receives_configurations
