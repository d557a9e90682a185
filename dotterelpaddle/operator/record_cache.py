"""A cache of the records table, brought up to date before each operation.

The cache only saves reads: whatever a change relies on is checked again by the
table itself when the change commits.
"""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import RecordError, RecordNotFound
from dotterelpaddle.ids import Revision
from dotterelpaddle.records.codec import NotUnderstood, Obstacle
from dotterelpaddle.records.envelope import Envelope, decode
from dotterelpaddle.records.index import RecordIndex
from dotterelpaddle.records.keys import RecordKey, parse_key
from dotterelpaddle.records.relations import Entry, entry_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.backing.interface import Row, Table

PAGE_ROWS = 500
"""Rows asked of the change log at a time."""

NEVER = Revision(0)
"""Revision of a row that never existed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRecord:
    """A record in the table.

    Attributes:
        envelope: The record.
        entry: What this release makes of it.
        revision: Revision of its row.
        value: Its row's value.
    """

    envelope: Envelope
    entry: Entry
    revision: Revision
    value: bytes


class RecordCache:
    """The newest known rows of the records table.

    Args:
        table: The table.
    """

    def __init__(self, *, table: Table) -> None:
        self._table = table
        self._lock = anyio.Lock()
        self._head = NEVER
        self._records: dict[RecordKey, StoredRecord] = {}
        self._index = RecordIndex()
        self._revisions: dict[str, Revision] = {}

    @property
    def head(self) -> Revision:
        """Revision of the table up to which the cache is whole."""
        return self._head

    @property
    def records(self) -> Mapping[RecordKey, StoredRecord]:
        """All records that are not retired."""
        return MappingProxyType(self._records)

    @property
    def index(self) -> RecordIndex:
        """The same records by user and by claim."""
        return self._index

    def find(self, *, key: RecordKey) -> StoredRecord:
        """Find a record.

        Raises:
            RecordNotFound: If there is no such record.
        """
        stored = self._records.get(key)
        if stored is None:
            raise record_not_found(key=key)
        return stored

    def revision_of(self, *, key: str) -> Revision:
        """Newest known revision of a row, retired ones included."""
        return self._revisions.get(key, NEVER)

    async def sync(self) -> None:
        """Read what changed since the last time.

        Raises:
            PlatformError: If the table can't be read.
        """
        async with self._lock:
            complete = False
            while not complete:
                page = await self._table.changes(after=self._head, limit=PAGE_ROWS)
                for row in page.rows:
                    self._take(row=row)
                complete = page.complete or not page.rows
                self._advance(page_head=page.head, rows=page.rows, complete=complete)

    def _advance(
        self, *, page_head: Revision, rows: tuple[Row, ...], complete: bool
    ) -> None:
        reached = page_head if complete else rows[-1].revision
        self._head = max(self._head, reached)

    def _take(self, *, row: Row) -> None:
        if row.revision <= self.revision_of(key=row.key):
            return
        self._revisions[row.key] = row.revision
        key = parse_key(text=row.key)
        if key is None:
            return
        if row.value is None:
            self._records.pop(key, None)
            self._index.remove(key=key)
        else:
            stored = _stored(key=key, row=row, value=row.value)
            self._records[key] = stored
            self._index.put(key=key, entry=stored.entry)


def record_not_found(*, key: RecordKey) -> RecordNotFound:
    """Make the error for a record that is not there."""
    return RecordNotFound(
        f"there is no {key}; `record list` shows all records", field="name"
    )


def _stored(*, key: RecordKey, row: Row, value: bytes) -> StoredRecord:
    try:
        envelope = decode(value=value)
    except RecordError as error:
        envelope = Envelope(kind=key.kind, schema=0, name=key.name, spec={})
        problem = NotUnderstood(obstacle=Obstacle.MALFORMED, message=error.message)
        entry = Entry(schema=0, interpretation=problem)
    else:
        entry = entry_of(envelope=envelope)
    return StoredRecord(
        envelope=envelope, entry=entry, revision=row.revision, value=value
    )
