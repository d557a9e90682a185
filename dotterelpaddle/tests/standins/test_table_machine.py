"""The table stand-in against a plain model: log, tombstones, attempts, paging."""

from __future__ import annotations

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelpaddle.backing.interface import Transaction, Write
from dotterelpaddle.ids import AttemptId, Revision
from dotterelpaddle.standins.table import AttemptFenced, Conflict, MemoryTable

KEYS = ("a", "b", "c")
ATTEMPTS = st.integers(0, 40).map(lambda number: AttemptId(f"attempt-{number}"))
WRITES = st.dictionaries(
    st.sampled_from(KEYS),
    st.tuples(st.integers(0, 12), st.sampled_from([None, b"x", b"y"])),
    min_size=1,
)


class TableMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.table = MemoryTable()
        self.rows: dict[str, tuple[int, bytes | None]] = {}
        self.results: dict[AttemptId, int | None] = {}
        self.head = 0
        # A reader that follows the log from wherever it has come.
        self.seen = 0
        self.followed: dict[str, tuple[int, bytes | None]] = {}

    @rule(attempt=ATTEMPTS, writes=WRITES, any_revision=st.booleans())
    def transact(self, attempt, writes, any_revision):
        transaction = Transaction(
            attempt=attempt,
            writes=tuple(
                Write(
                    key=key,
                    expected=None if any_revision else Revision(expected),
                    value=value,
                )
                for key, (expected, value) in writes.items()
            ),
        )
        try:
            revision = self.table.transact(transaction=transaction).revision
        except Conflict:
            assert not any_revision
            assert any(not self._holds(key, e) for key, (e, _) in writes.items())
        except AttemptFenced:
            assert self.results[attempt] is None
        else:
            self._committed(attempt, writes, revision, any_revision)

    @rule(attempt=ATTEMPTS)
    def find_attempt(self, attempt):
        commit = self.table.find_attempt(attempt=attempt)
        found = None if commit is None else commit.revision
        assert self.results.setdefault(attempt, None) == found

    @rule(limit=st.integers(1, 3))
    def follow(self, limit):
        page = self.table.changes(after=Revision(self.seen), limit=limit)
        for row in page.rows:
            assert row.revision > self.seen
            self.followed[row.key] = (row.revision, row.value)
        if page.rows:
            self.seen = page.rows[-1].revision
        if page.complete:
            assert self.followed == self.rows

    @invariant()
    def rows_are_as_written(self):
        rows = self.table.read(keys=KEYS)
        assert {row.key: (row.revision, row.value) for row in rows} == self.rows
        assert self.table.head == self.head

    def _committed(self, attempt, writes, revision, any_revision):
        if attempt in self.results:
            assert self.results[attempt] == revision
            return
        assert any_revision or all(self._holds(k, e) for k, (e, _) in writes.items())
        assert revision == self.head + 1
        self.head = revision
        self.results[attempt] = revision
        for key, (_, value) in writes.items():
            self.rows[key] = (revision, value)

    def _holds(self, key, expected):
        revision, value = self.rows.get(key, (0, None))
        return value is None if expected == 0 else revision == expected


TableMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestTableMachine = TableMachine.TestCase
