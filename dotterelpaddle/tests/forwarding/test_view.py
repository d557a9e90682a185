"""Tests that a router's view never goes back."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.model import (
    CallerLimits,
    EndpointEntry,
    EndpointState,
    FleetConfiguration,
    ForwardRoute,
    RequestKind,
    WeightedService,
)
from dotterelpaddle.forwarding.removals import RECOVERY_HOLD_SECONDS
from dotterelpaddle.forwarding.startup import STARTUP_WAIT_SECONDS
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointName, Incarnation, ServiceName
from dotterelpaddle.tests.forwarding.entries import make_entry
from dotterelpaddle.tests.revisions import revision_at

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.revisions import StoreRevision

SERVICE = ServiceName("records")
TEST_TIMEOUT_SECONDS = 30.0
"""Seconds after which a test that waits fails."""

NAMES = [EndpointName(f"endpoint-{number}") for number in range(3)]
LIMITS = CallerLimits(
    max_header_bytes=1, max_body_bytes=1, header_timeout=1.0, idle_timeout=1.0
)


def _configuration(version: int) -> FleetConfiguration:
    return FleetConfiguration(
        version=version, routes=(), limits=LIMITS, accounts_by_key=None
    )


def _entry(
    name: EndpointName, revision: int, state: EndpointState = EndpointState.READY
) -> EndpointEntry:
    return make_entry(
        name, service=SERVICE, state=state, revision=revision_at(revision)
    )


class ViewMachine(RuleBasedStateMachine):
    """Applies updates of one history late, duplicated and in any order.

    The updates are snapshots and deltas; the view must match the latest update that
    it received for each entry.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.view = FleetView(clock=lambda: self.now)
        self.revision = 0
        self.rows: dict[EndpointName, EndpointEntry] = {}
        self.updates: list[EndpointsUpdate] = []
        self.latest: dict[EndpointName, tuple[StoreRevision, EndpointEntry | None]] = {}
        self.versions: list[int] = []
        self.draining: set[EndpointName] = set()

    @initialize()
    def start(self) -> None:
        self.versions = [0]

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(EndpointState))
    def write(self, name: EndpointName, state: EndpointState) -> None:
        self.revision += 1
        entry = _entry(name, self.revision, state)
        self.rows[name] = entry
        self.updates.append(
            EndpointsUpdate(revision=revision_at(self.revision), entries=(entry,))
        )

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name: EndpointName) -> None:
        if name not in self.rows:
            return
        self.revision += 1
        del self.rows[name]
        self.updates.append(
            EndpointsUpdate(
                revision=revision_at(self.revision),
                entries=(),
                removed={name: revision_at(self.revision)},
            )
        )

    @rule()
    def list_all(self) -> None:
        self.updates.append(
            EndpointsUpdate(
                revision=revision_at(self.revision),
                entries=tuple(self.rows.values()),
                is_snapshot=True,
            )
        )

    @rule(data=st.data())
    def receive(self, data: st.DataObject) -> None:
        if not self.updates:
            return
        update = data.draw(st.sampled_from(self.updates))
        self.view.apply_endpoints_update(update=update)
        for entry in update.entries:
            self._expect(entry.name, entry.revision, entry)
        for name, revision in update.removed.items():
            self._expect(name, revision, None)
        if update.is_snapshot:
            present = {entry.name for entry in update.entries}
            for name, (known, last) in tuple(self.latest.items()):
                if name not in present and last and known <= update.revision:
                    self._expect(name, update.revision, None)

    def _expect(
        self, name: EndpointName, revision: StoreRevision, entry: EndpointEntry | None
    ) -> None:
        known = self.latest.get(name)
        if known is None and entry is None:
            return
        if known is None or revision > known[0]:
            self.latest[name] = (revision, entry)

    @rule(version=st.integers(1, 50))
    def configure(self, version: int) -> None:
        self.view.apply_configuration(configuration=_configuration(version))
        self.versions.append(self.view.version)

    @rule(seconds=st.floats(0.1, 30.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.view.expire_holds()

    @invariant()
    def versions_only_grow(self) -> None:
        assert self.versions == sorted(self.versions)

    @invariant()
    def latest_update_wins(self) -> None:
        ready = {entry.name for entry in self.view.ready(service=SERVICE)}
        expected = {
            name
            for name, (_, entry) in self.latest.items()
            if entry is not None and entry.state is EndpointState.READY
        }
        assert ready == expected


TestView = ViewMachine.TestCase


def test_late_update_does_not_restore_an_entry_removed_again() -> None:
    """The view receives removals at 2 and 4 before the entry written at 3."""
    view = FleetView(clock=lambda: 0.0)
    name = NAMES[1]
    for update in (
        EndpointsUpdate(revision=revision_at(1), entries=(_entry(name, 1),)),
        EndpointsUpdate(
            revision=revision_at(2), entries=(), removed={name: revision_at(2)}
        ),
        EndpointsUpdate(
            revision=revision_at(4), entries=(), removed={name: revision_at(4)}
        ),
        EndpointsUpdate(revision=revision_at(3), entries=(_entry(name, 3),)),
    ):
        view.apply_endpoints_update(update=update)

    assert view.entries == ()
    assert view.ready(service=SERVICE) == ()


def test_entries_that_expire_around_a_platform_recovery_are_held() -> None:
    now = 0.0
    view = FleetView(clock=lambda: now)
    entry = _entry(NAMES[0], 1)
    view.apply_endpoints_update(
        update=EndpointsUpdate(
            revision=revision_at(1), entries=(entry,), is_snapshot=True
        )
    )
    now = 10.0
    view.note_platform_recovery()
    view.apply_endpoints_update(
        update=EndpointsUpdate(revision=revision_at(2), entries=(), is_snapshot=True)
    )

    held = view.ready(service=SERVICE)
    now += RECOVERY_HOLD_SECONDS + 0.1
    view.expire_holds()

    assert held == (entry,)
    assert view.ready(service=SERVICE) == ()


# Guards against an endpoint that started again after its clock had been set back: all
# that its later lifetime writes is dropped, also that it is leaving.
def test_lifetimes_are_ordered_without_a_wall_clock() -> None:
    view = FleetView(clock=lambda: 0.0)
    states = [EndpointState.READY] * 3 + [EndpointState.DRAINING]
    for revision, state in enumerate(states, start=1):
        incarnation = Incarnation(2000 if revision == 1 else 1000)
        entry = replace(_entry(NAMES[0], revision, state), incarnation=incarnation)
        view.apply_endpoints_update(
            update=EndpointsUpdate(revision=revision_at(revision), entries=(entry,))
        )

    assert view.ready(service=SERVICE) == ()


# Guards against requests at an endpoint that had been removed long before its removal
# was known, because the router that reads for all had been killed.
@pytest.mark.parametrize(("unconfirmed", "serves"), [(0.5, True), (1.8, False)])
def test_last_resort_counts_from_the_last_confirmation(
    unconfirmed: float, serves: bool
) -> None:
    now = 0.0
    view = FleetView(clock=lambda: now)
    entry = _entry(NAMES[0], 1)
    view.apply_endpoints_update(
        update=EndpointsUpdate(
            revision=revision_at(1), entries=(entry,), is_snapshot=True
        )
    )
    view.note_endpoints_confirmed(at=now)
    now += unconfirmed
    view.apply_endpoints_update(
        update=EndpointsUpdate(revision=revision_at(2), entries=(), is_snapshot=True)
    )

    assert view.last_resort(service=SERVICE) == ((entry,) if serves else ())


def test_leaving_endpoint_is_not_held() -> None:
    now = 0.0
    view = FleetView(clock=lambda: now)
    entry = _entry(NAMES[0], 1, EndpointState.DRAINING)
    view.apply_endpoints_update(
        update=EndpointsUpdate(
            revision=revision_at(1), entries=(entry,), is_snapshot=True
        )
    )
    view.note_platform_recovery()
    view.apply_endpoints_update(
        update=EndpointsUpdate(revision=revision_at(2), entries=(), is_snapshot=True)
    )

    assert view.ready(service=SERVICE) == ()
    assert view.last_resort(service=SERVICE) == ()


@pytest.mark.anyio
async def test_incomplete_view_long_after_the_start_does_not_wait() -> None:
    """A router that started in a network partition must refuse requests at once."""
    now = 0.0
    view = FleetView(clock=lambda: now)
    now = STARTUP_WAIT_SECONDS

    with anyio.move_on_after(TEST_TIMEOUT_SECONDS) as scope:
        await view.wait_until_complete()

    assert not scope.cancelled_caught
    assert not view.complete


def test_entry_of_an_unrouted_service_is_not_used() -> None:
    """Another writer may add entries of any service."""
    view = FleetView(clock=lambda: 0.0)
    foreign = make_entry("foreign", service=ServiceName("unheard-of"))
    own = _entry(NAMES[0], 1)
    update = EndpointsUpdate(
        revision=revision_at(1), entries=(own, foreign), is_snapshot=True
    )
    view.apply_endpoints_update(update=update)
    before = view.routed_entries
    route = ForwardRoute(
        name="r",
        host="a.example",
        prefix="/",
        kind=RequestKind.IDEMPOTENT,
        services=(WeightedService(service=SERVICE, weight=1.0),),
        timeout=1.0,
        latency_objective=1.0,
        max_attempts=1,
    )
    configuration = replace(_configuration(1), routes=(route,))
    view.apply_configuration(configuration=configuration)

    assert before == (own, foreign)
    assert view.routed_entries == (own,)
    assert view.entries == (own, foreign)
