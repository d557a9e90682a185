"""The records as operators see them: applied, read, retired, compared."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.operator.changer import (
    MAX_TRIES,
    RecordChanger,
    nothing_accepted,
    transaction_name,
)
from dotterelpaddle.operator.commit import LOOKUP_TIMEOUT
from dotterelpaddle.operator.documents import document_of_stored
from dotterelpaddle.operator.history import HistoryStore
from dotterelpaddle.operator.record_cache import NEVER, RecordCache, record_not_found
from dotterelpaddle.operator.report_history import describe_diff, describe_history
from dotterelpaddle.operator.reports import AttemptReport, RecordList
from dotterelpaddle.operator.targets import apply_targets, retire_targets

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.backing.interface import ObjectStore, Table
    from dotterelpaddle.ids import AttemptId, Revision
    from dotterelpaddle.operator.changer import ChangeOptions
    from dotterelpaddle.operator.reports import (
        ChangeReport,
        DiffReport,
        HistoryReport,
        RecordDocument,
    )
    from dotterelpaddle.records.envelope import Envelope
    from dotterelpaddle.records.keys import RecordKey


MAX_RECORDS = 500
"""Records of one change, which a router checks without a pause."""


class RecordService:
    """The records as operators see them.

    Args:
        table: The platform's table of records.
        objects: The platform's object store, for the history.
        now: Tells the time of day, for the history.
        lookup_timeout: Seconds for which a lost outcome is looked up.
    """

    def __init__(
        self,
        *,
        table: Table,
        objects: ObjectStore,
        now: Callable[[], datetime] = lambda: datetime.now(tz=UTC),
        lookup_timeout: float = LOOKUP_TIMEOUT,
    ) -> None:
        self._table = table
        self._cache = RecordCache(table=table)
        self._history = HistoryStore(objects=objects)
        self._changer = RecordChanger(
            table=table,
            cache=self._cache,
            history=self._history,
            now=now,
            lookup_timeout=lookup_timeout,
        )

    async def apply(
        self, *, envelopes: tuple[Envelope, ...], options: ChangeOptions
    ) -> ChangeReport:
        """Put records in force, all of them or none.

        Args:
            envelopes: The records; each replaces the revision it names, or
                else the one that is newest when this call begins.
            options: How to make the change.

        Raises:
            RecordError: If a record is malformed.
            RecordRefused: If the records would not fit each other.
            RecordConflict: If another writer was first.
            NothingAccepted: If the platform can't be reached.
            RecordOutcomeUnknown: If nobody can tell now whether it was accepted.
        """
        if len(envelopes) > MAX_RECORDS:
            raise RecordError(
                f"there are {len(envelopes)} records; apply at most {MAX_RECORDS} at a"
                " time"
            )
        with nothing_accepted():
            await self._cache.sync()
        targets = apply_targets(envelopes=envelopes, cache=self._cache)
        return await self._changer.change(targets=targets, options=options)

    async def retire(
        self,
        *,
        keys: tuple[RecordKey, ...],
        expected: Revision | None,
        options: ChangeOptions,
    ) -> ChangeReport:
        """Retire records, all of them or none; raises as `apply` does.

        Raises:
            RecordNotFound: If there is no such record.
        """
        with nothing_accepted():
            await self._cache.sync()
        targets = retire_targets(keys=keys, expected=expected, cache=self._cache)
        return await self._changer.change(targets=targets, options=options)

    async def get(self, *, key: RecordKey) -> RecordDocument:
        """Read one record.

        Raises:
            RecordNotFound: If there is no such record.
            PlatformError: If the table can't be read.
        """
        await self._cache.sync()
        return document_of_stored(stored=self._cache.find(key=key))

    async def list(self, *, kind: str = "") -> RecordList:
        """Read all records, or those of one kind.

        Raises:
            PlatformError: If the table can't be read.
        """
        await self._cache.sync()
        records = self._cache.records
        keys = sorted(key for key in records if not kind or key.kind == kind)
        return RecordList(
            revision=int(self._cache.head),
            records=tuple(document_of_stored(stored=records[key]) for key in keys),
        )

    async def history(self, *, key: RecordKey) -> HistoryReport:
        """Read the recent values of a record, retired ones included.

        Raises:
            RecordNotFound: If there never was such a record.
            PlatformError: If table or object store can't be read.
        """
        await self._cache.sync()
        past = await self._history.past(key=key)
        row_revision = self._cache.revision_of(key=str(key))
        if row_revision == NEVER and not past:
            raise record_not_found(key=key)
        return describe_history(
            key=key,
            stored=self._cache.records.get(key),
            row_revision=row_revision,
            past=past,
        )

    async def diff(
        self, *, key: RecordKey, old: Revision | None, new: Revision | None
    ) -> DiffReport:
        """Compare two values of a record.

        Args:
            key: The record.
            old: Revision of the older value, None for the one before the newer.
            new: Revision of the newer value, None for the newest.

        Raises:
            RecordNotFound: If record or revision aren't there.
            PlatformError: If table or object store can't be read.
        """
        report = await self.history(key=key)
        return describe_diff(report=report, old=old, new=new)

    async def find_attempt(self, *, attempt: AttemptId) -> AttemptReport:
        """Tell whether a change was accepted; if not, it never will be.

        Raises:
            PlatformError: If the platform can't be asked.
        """
        for number in range(MAX_TRIES):
            name = transaction_name(attempt=attempt, number=number)
            found = await self._table.find_attempt(attempt=name)
            if found is not None:
                return AttemptReport(
                    attempt=attempt, accepted=True, revision=int(found.revision)
                )
        return AttemptReport(attempt=attempt, accepted=False)
