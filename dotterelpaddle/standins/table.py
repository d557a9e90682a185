"""The platform stand-in's transactional table."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

from dotterelpaddle.backing.interface import ChangePage, Commit, Row
from dotterelpaddle.ids import Revision

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Check, Transaction, Write
    from dotterelpaddle.ids import AttemptId

ATTEMPTS_KEPT = 200_000
"""Attempts that can be looked up; older ones are forgotten."""


class Conflict(Exception):
    """A transaction met a row at another revision.

    Attributes:
        rows: The rows as they are, those that exist.
    """

    def __init__(self, *, rows: tuple[Row, ...]) -> None:
        super().__init__("a row has another revision")
        self.rows = rows


class AttemptFenced(Exception):
    """A transaction came after its attempt had been looked up."""


class MemoryTable:
    """A table in memory: compare-and-set, change log, fenced attempts."""

    def __init__(self) -> None:
        self._head = Revision(0)
        self._rows: dict[str, Row] = {}
        # The change log keeps the newest row of each key, deleted ones included.
        self._log: SortedDict = SortedDict()
        self._attempts: OrderedDict[AttemptId, Commit | None] = OrderedDict()

    @property
    def head(self) -> Revision:
        """Newest revision."""
        return self._head

    def transact(self, *, transaction: Transaction) -> Commit:
        """Commit a transaction; a repeated attempt gets its first answer.

        Raises:
            Conflict: If a row has another revision; nothing took effect.
            AttemptFenced: If the attempt was looked up before.
        """
        if transaction.attempt in self._attempts:
            commit = self._attempts[transaction.attempt]
            if commit is None:
                raise AttemptFenced
            return commit
        self._check(conditions=(*transaction.writes, *transaction.checks))
        self._head = Revision(self._head + 1)
        for write in transaction.writes:
            self._put(write=write, attempt=transaction.attempt)
        commit = Commit(revision=self._head)
        self._remember(attempt=transaction.attempt, commit=commit)
        return commit

    def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read rows by key; rows that never existed are left out."""
        return tuple(self._rows[key] for key in keys if key in self._rows)

    def changes(self, *, after: Revision, limit: int) -> ChangePage:
        """Read the change log after a revision.

        A page never ends between rows of one transaction.
        """
        rows: list[Row] = []
        for revision in self._log.irange(minimum=after, inclusive=(False, True)):
            if len(rows) >= limit:
                return ChangePage(rows=tuple(rows), head=self._head, complete=False)
            rows.extend(self._log[revision].values())
        return ChangePage(rows=tuple(rows), head=self._head, complete=True)

    def find_attempt(self, *, attempt: AttemptId) -> Commit | None:
        """Tell whether an attempt took effect, and fence it if it did not."""
        if attempt not in self._attempts:
            self._remember(attempt=attempt, commit=None)
        return self._attempts[attempt]

    def _check(self, *, conditions: tuple[Write | Check, ...]) -> None:
        stale = tuple(
            condition.key
            for condition in conditions
            if not self._holds(condition=condition)
        )
        if stale:
            raise Conflict(rows=self.read(keys=stale))

    def _holds(self, *, condition: Write | Check) -> bool:
        row = self._rows.get(condition.key)
        if condition.expected is None:
            return True
        if condition.expected == 0:
            return row is None or row.value is None
        return row is not None and row.revision == condition.expected

    def _put(self, *, write: Write, attempt: AttemptId) -> None:
        old = self._rows.get(write.key)
        if old is not None:
            self._unlog(row=old)
        row = Row(
            key=write.key, revision=self._head, value=write.value, attempt=attempt
        )
        self._rows[write.key] = row
        self._log.setdefault(self._head, {})[write.key] = row

    def _unlog(self, *, row: Row) -> None:
        rows = self._log[row.revision]
        del rows[row.key]
        if not rows:
            del self._log[row.revision]

    def _remember(self, *, attempt: AttemptId, commit: Commit | None) -> None:
        self._attempts[attempt] = commit
        if len(self._attempts) > ATTEMPTS_KEPT:
            self._attempts.popitem(last=False)
