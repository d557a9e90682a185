"""Tests of the versions that a router remembers of each service."""

from __future__ import annotations

from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.revisions import FIRST_ERA, StoreRevision
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointName, ServiceName, SoftwareVersion
from dotterelpaddle.streams.origins import MAX_STREAM_SECONDS
from dotterelpaddle.streams.route_history import RouteHistory
from dotterelpaddle.streams.version_history import VersionHistory
from dotterelpaddle.tests.forwarding.entries import make_entry
from dotterelpaddle.tests.revisions import revision_at

SERVICE = ServiceName("records")


class History:
    """A history on a clock that the test sets."""

    def __init__(self, *, first_start: bool = False) -> None:
        self.now = 0.0
        self._number = 0
        self.view = FleetView(clock=lambda: self.now)
        self.history = VersionHistory(
            view=self.view, first_start=first_start, clock=lambda: self.now
        )
        self.routes = RouteHistory(
            view=self.view, first_start=first_start, clock=lambda: self.now
        )

    def register(self, name: str, version: str, *, era: int = 0) -> None:
        self._number += 1
        revision = revision_at(self._number, era=era)
        entry = make_entry(
            name,
            service=SERVICE,
            software_version=SoftwareVersion(version),
            revision=revision,
        )
        self._apply(
            revision=revision, entries=(entry,), is_snapshot=revision.era != FIRST_ERA
        )

    def remove(self, name: str) -> None:
        self._number += 1
        revision = revision_at(self._number)
        self._apply(revision=revision, removed={EndpointName(name): revision})

    def _apply(self, *, revision: StoreRevision, **fields) -> None:
        fields = {"entries": (), **fields}
        self.view.apply_endpoints_update(
            update=EndpointsUpdate(revision=revision, **fields)
        )

    @property
    def versions(self) -> set[str]:
        return set(self.history.recent(service=SERVICE))


# Guards against forgetting a version that came back where this router did not see it.
def test_version_that_was_seen_again_elsewhere_counts_from_then_on() -> None:
    history = History()
    history.register("a", "v1")
    history.register("b", "v2")
    history.remove("a")
    history.history.refresh()
    history.now = MAX_STREAM_SECONDS - 10.0
    restored = {SERVICE: frozenset({SoftwareVersion("v1")})}
    history.history.restore(versions=restored, is_complete=True)
    history.now = MAX_STREAM_SECONDS + 1.0

    assert history.versions == {"v1", "v2"}


# Guards against taking a service that the row of versions lacks for one whose versions
# are all known: its streams could not be resumed yet when the row was written.
def test_history_is_complete_for_the_services_that_were_restored_alone() -> None:
    history = History()
    restored = {SERVICE: frozenset({SoftwareVersion("v1")})}
    history.history.restore(versions=restored, is_complete=True)

    assert history.history.covers(service=SERVICE)
    assert not history.history.covers(service=ServiceName("other"))


# Guards against a version that never expires, because reads of the store restore it.
def test_version_restored_again_and_again_expires() -> None:
    history = History()
    restored = {SERVICE: frozenset({SoftwareVersion("v1")})}
    history.history.restore(versions=restored, is_complete=True)
    history.register("a", "v2")
    for _ in range(3):
        history.now += MAX_STREAM_SECONDS / 3
        history.history.restore(versions=restored, is_complete=True)
    history.now += 1.0

    assert history.versions == {"v2"}


def test_version_counts_until_no_stream_of_it_can_go_on() -> None:
    history = History()
    history.register("a", "v1")
    history.register("b", "v2")
    history.remove("a")
    history.history.refresh()
    history.now = MAX_STREAM_SECONDS - 1.0
    soon = history.versions
    history.now = MAX_STREAM_SECONDS + 1.0

    assert soon == {"v1", "v2"}
    assert history.versions == {"v2"}


def test_endpoint_that_starts_again_under_its_name_leaves_its_version() -> None:
    history = History()
    history.register("a", "v1")
    history.register("a", "v2")

    assert history.versions == {"v1", "v2"}


def test_other_services_do_not_count() -> None:
    history = History()
    history.register("a", "v1")

    assert not history.history.recent(service=ServiceName("other"))


# Guards against a router that has just started and takes its short view for all.
def test_history_is_complete_once_it_goes_back_as_far_as_any_stream() -> None:
    history = History()
    empty = history.history.covers(service=SERVICE)
    history.now = 5.0
    history.register("a", "v1")
    history.now = 5.0 + MAX_STREAM_SECONDS - 0.1
    short = history.history.covers(service=SERVICE)
    history.now += 0.1

    assert not empty
    assert not short
    assert history.history.covers(service=SERVICE)


def test_history_of_the_first_start_is_complete() -> None:
    assert History(first_start=True).history.covers(service=SERVICE)
