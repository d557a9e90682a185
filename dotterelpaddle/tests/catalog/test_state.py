from __future__ import annotations

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from dotterelpaddle.backing.interface import Transaction, Write
from dotterelpaddle.catalog.delta import Delta, Entry, entries_of
from dotterelpaddle.catalog.delta_codec import pack_delta, unpack_delta
from dotterelpaddle.catalog.parts import join_parts, take_part
from dotterelpaddle.catalog.state import CatalogState
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.ids import AttemptId, Revision
from dotterelpaddle.standins.table import MemoryTable

KEYS = tuple(f"pool/{name}" for name in "ab")
REPLICAS = 2
SMALL = {"recent_changes": 1, "tombstones": 0}

keys = st.sampled_from(KEYS)
values = st.sampled_from((None, b"x", b"y"))
replicas = st.integers(0, REPLICAS - 1)


class JoinMachine(RuleBasedStateMachine):
    """Replicas get parts of one change log in any order, late and repeatedly."""

    deltas = Bundle("deltas")

    @initialize()
    def set_up(self) -> None:
        self.table = MemoryTable()
        self.history: dict[str, dict[int, bytes | None]] = {key: {} for key in KEYS}
        self.replicas = [CatalogState(**SMALL) for _ in range(REPLICAS)]
        self.seen: list[dict[str, int]] = [{} for _ in range(REPLICAS)]
        self.reached = [0] * REPLICAS

    @rule(target=deltas, changes=st.dictionaries(keys, values, min_size=1, max_size=2))
    def commit(self, changes: dict[str, bytes | None]) -> Delta:
        writes = tuple(
            Write(key=key, expected=None, value=value) for key, value in changes.items()
        )
        attempt = AttemptId(str(self.table.head))
        commit = self.table.transact(
            transaction=Transaction(attempt=attempt, writes=writes)
        )
        for key, value in changes.items():
            self.history[key][commit.revision] = value
        return Delta(
            base=Revision(commit.revision - 1),
            head=commit.revision,
            entries=tuple(
                Entry(key=key, revision=commit.revision, value=value)
                for key, value in changes.items()
            ),
        )

    @rule(target=deltas, replica=replicas)
    def read_log(self, replica: int) -> Delta:
        delta = self._read(base=self.replicas[replica].revision)
        self.replicas[replica].join(delta=delta)
        return delta

    @rule(target=deltas, helper=replicas, behind=replicas)
    def ask_peer(self, helper: int, behind: int) -> Delta:
        base = self.replicas[behind].revision
        state = self.replicas[helper]
        delta = state.since(base=base) or state.full()
        self.replicas[behind].join(delta=delta)
        return delta

    @rule(target=deltas, replica=replicas)
    def take_snapshot(self, replica: int) -> Delta:
        return unpack_delta(pack_delta(delta=self.replicas[replica].full()))

    @rule(replica=replicas, delta=deltas)
    def deliver(self, replica: int, delta: Delta) -> None:
        self.replicas[replica].join(delta=delta)

    @rule(replica=replicas)
    def restart(self, replica: int) -> None:
        self.replicas[replica] = CatalogState(**SMALL)
        self.seen[replica] = {}
        self.reached[replica] = 0

    @invariant()
    def nothing_goes_back(self) -> None:
        for index, state in enumerate(self.replicas):
            assert state.revision >= self.reached[index]
            self.reached[index] = state.revision
            for entry in state.entries():
                assert entry.revision >= self.seen[index].get(entry.key, 0)
                self.seen[index][entry.key] = entry.revision

    @invariant()
    def everything_up_to_the_revision_is_known(self) -> None:
        for state in self.replicas:
            for key, changes in self.history.items():
                due = max((at for at in changes if at <= state.revision), default=0)
                entry = state.entry(key=key)
                if entry is None:
                    assert not due or changes[due] is None
                elif entry.value is None:
                    assert None in (value for at, value in changes.items() if at >= due)
                else:
                    assert entry.revision >= due
                    assert changes[entry.revision] == entry.value

    def _read(self, *, base: Revision) -> Delta:
        page = self.table.changes(after=base, limit=1000)
        return Delta(base=base, head=page.head, entries=entries_of(rows=page.rows))

    def teardown(self) -> None:
        for state in self.replicas:
            state.join(delta=self._read(base=state.revision))
            rows = self.table.read(keys=KEYS)
            assert {
                entry.key: entry.value
                for entry in state.entries()
                if entry.value is not None
            } == {row.key: row.value for row in rows if row.value is not None}
            assert state.settled
            assert state.checksum == self.replicas[0].checksum


TestJoin = JoinMachine.TestCase
TestJoin.settings = settings(max_examples=200, stateful_step_count=40)


def _entry(name: str, revision: int, value: bytes | None = b"x") -> Entry:
    return Entry(key=f"pool/{name}", revision=Revision(revision), value=value)


def _revision(state: CatalogState, name: str) -> int | None:
    entry = state.entry(key=f"pool/{name}")
    return None if entry is None else entry.revision


def _delta(base: int, head: int, *entries: Entry, full: bool = False) -> Delta:
    return Delta(base=Revision(base), head=Revision(head), entries=entries, full=full)


def test_late_snapshot_does_not_resurrect_a_record_whose_retirement_is_forgotten():
    state = CatalogState(**SMALL)
    snapshot = _delta(0, 1, _entry("a", 1), full=True)
    state.join(delta=snapshot)
    for revision in range(2, 8):
        name = "a" if revision == 2 else f"gone-{revision}"
        gone = _entry(name, revision, None)
        state.join(delta=_delta(revision - 1, revision, gone))
    assert state.entry(key="pool/a") is None
    assert state.floor >= 2
    state.join(delta=snapshot)
    state.join(delta=_delta(0, 1, _entry("a", 1)))
    assert state.entry(key="pool/a") is None


def test_divergence_shows_in_the_checksum_and_a_whole_read_mends_it():
    whole, hurt = CatalogState(), CatalogState()
    whole.join(delta=_delta(0, 2, _entry("a", 1), _entry("b", 2)))
    hurt.join(delta=_delta(0, 2, _entry("b", 2)))
    assert whole.revision == hurt.revision
    assert whole.checksum != hurt.checksum
    everything = _delta(0, 2, _entry("a", 1), _entry("b", 2), full=True)
    hurt.join(delta=everything)
    assert whole.checksum == hurt.checksum


def test_peer_behind_a_forgotten_retirement_retires_the_record_too():
    ahead, behind = CatalogState(**SMALL), CatalogState(**SMALL)
    for state in (ahead, behind):
        state.join(delta=_delta(0, 2, _entry("a", 1), _entry("b", 2)))
    ahead.join(delta=_delta(2, 3, _entry("a", 3, None)))
    assert ahead.since(base=behind.revision) is None
    (retired,) = behind.join(delta=ahead.full())
    assert (retired.key, retired.value) == ("pool/a", None)
    assert behind.revision == 3
    assert behind.checksum == ahead.checksum


def test_older_changes_than_those_kept_in_order_are_found_too():
    state = CatalogState(recent_changes=1, tombstones=8)
    for revision in range(1, 5):
        name = f"name-{revision}"
        state.join(delta=_delta(revision - 1, revision, _entry(name, revision)))
    found = state.since(base=Revision(1))
    assert found is not None
    assert [entry.revision for entry in found.entries] == [2, 3, 4]


def test_change_beyond_a_gap_is_in_force_but_does_not_count_as_reached():
    state = CatalogState()
    state.join(delta=_delta(2, 3, _entry("a", 3)))
    assert _revision(state, "a") == 3
    assert state.revision == 0
    assert not state.settled
    state.join(delta=_delta(0, 2, _entry("a", 1), _entry("b", 2)))
    assert _revision(state, "a") == 3
    assert state.revision == 3


def test_full_state_brings_along_which_retirements_it_forgot():
    ahead, started = CatalogState(**SMALL), CatalogState(**SMALL)
    ahead.join(delta=_delta(0, 1, _entry("a", 1)))
    ahead.join(delta=_delta(1, 2, _entry("a", 2, None)))
    started.join(delta=ahead.full())
    started.join(delta=_delta(0, 1, _entry("a", 1)))
    assert started.entry(key="pool/a") is None


def test_full_state_brings_a_record_older_than_a_forgotten_retirement():
    state = CatalogState(**SMALL)
    state.join(delta=_delta(0, 3, _entry("b", 2), _entry("b", 3, None)))
    state.join(delta=_delta(0, 3, _entry("a", 1), full=True))
    assert _revision(state, "a") == 1


def test_parts_of_different_age_never_lose_a_newer_record():
    old, new = CatalogState(**SMALL), CatalogState(**SMALL)
    for state in (old, new):
        state.join(delta=_delta(0, 2, _entry("a", 1), _entry("b", 2)))
    new.join(delta=_delta(2, 3, _entry("c", 3)))
    new.join(delta=_delta(3, 4, _entry("a", 4, None)))
    with pytest.raises(ControlError, match="too different age"):
        join_parts(parts=[old.full(), new.full()])
    old.join(delta=new.since(base=Revision(3)) or new.full())
    parts = [
        take_part(delta=state.full(), part=part, parts=2)
        for part, state in enumerate((old, new))
    ]
    started = CatalogState(**SMALL)
    started.join(delta=join_parts(parts=parts))
    assert started.checksum == new.checksum
