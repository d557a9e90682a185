"""What one router tells another of endpoints is as good as the whole list."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.model import EndpointEntry, EndpointState
from dotterelpaddle.forwarding.removals import TOMBSTONE_SECONDS
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointName, Revision
from dotterelpaddle.tests.forwarding.entries import make_entry

NAMES = [EndpointName(f"endpoint-{number}") for number in range(4)]


class DeltaMachine(RuleBasedStateMachine):
    """A router that reads the platform, and two that only hear of it from others.

    One asks the reader, the other one asks the first; news may be late, and come
    twice.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.revision = 0
        self.reader = FleetView(clock=lambda: self.now)
        self.near = FleetView(clock=lambda: self.now)
        self.far = FleetView(clock=lambda: self.now)
        self.late: list[EndpointsUpdate] = []
        self._read(whole=True)

    def _read(
        self,
        *entries: EndpointEntry,
        removed: frozenset[EndpointName] = frozenset(),
        whole: bool = False,
    ) -> None:
        revision = Revision(self.revision)
        self.reader.apply_endpoints_update(
            update=EndpointsUpdate(
                revision=revision,
                entries=entries,
                removed=dict.fromkeys(removed, revision),
                is_snapshot=whole,
            )
        )

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(EndpointState))
    def register(self, name: EndpointName, state: EndpointState) -> None:
        self.revision += 1
        self._read(make_entry(name, state=state, revision=Revision(self.revision)))

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name: EndpointName) -> None:
        self.revision += 1
        self._read(removed=frozenset({name}))

    @rule()
    def beat(self) -> None:
        """All entries are written again; nothing has changed."""
        for entry in self.reader.entries:
            self.revision += 1
            revision = Revision(self.revision)
            self._read(make_entry(entry.endpoint, state=entry.state, revision=revision))

    @rule()
    def read_all_again(self) -> None:
        """The platform has dropped its history."""
        self.revision += 1
        self._read(*self.reader.entries, whole=True)

    @rule(seconds=st.sampled_from([1.0, TOMBSTONE_SECONDS + 1.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        if seconds > TOMBSTONE_SECONDS:
            # A fetch takes under a second; nothing is under way for that long.
            self.late.clear()

    @rule()
    def near_asks(self) -> None:
        self._ask(self.near, self.reader)
        assert self.near.endpoints_tag == self.reader.endpoints_tag

    @rule()
    def far_asks(self) -> None:
        self._ask(self.far, self.near)
        assert self.far.endpoints_tag == self.near.endpoints_tag

    @rule(data=st.data())
    def hear_late_news(self, data: st.DataObject) -> None:
        if self.late:
            read = data.draw(st.sampled_from(self.late))
            self.near.apply_endpoints_update(update=read)

    def _ask(self, asking: FleetView, told: FleetView) -> None:
        read = told.endpoints_since(revision=asking.endpoints_revision)
        if read is None:
            return
        self.late.append(read)
        asking.apply_endpoints_update(update=read)

    @invariant()
    def nobody_is_ahead_of_the_reader(self) -> None:
        assert self.reader.endpoints_revision is not None
        for view in (self.near, self.far):
            assert (view.endpoints_revision or -1) <= self.reader.endpoints_revision


TestDeltas = DeltaMachine.TestCase


def test_heartbeats_are_not_told() -> None:
    view = FleetView(clock=lambda: 0.0)
    view.apply_endpoints_update(
        update=EndpointsUpdate(
            revision=Revision(1),
            entries=(make_entry("a"), make_entry("b")),
            is_snapshot=True,
        )
    )
    beat = make_entry("a", revision=Revision(5))
    left = make_entry("b", revision=Revision(6), state=EndpointState.DRAINING)
    view.apply_endpoints_update(
        update=EndpointsUpdate(revision=Revision(6), entries=(beat, left))
    )

    told = view.endpoints_since(revision=Revision(1))

    assert told is not None
    assert told.entries == (left,)
    assert not told.is_snapshot
