"""Describes the recent values of a record and how they differ."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RecordNotFound
from dotterelpaddle.operator.documents import (
    document_of,
    document_of_stored,
    envelope_of,
)
from dotterelpaddle.operator.history import SLOTS
from dotterelpaddle.operator.report_changes import same_meaning
from dotterelpaddle.operator.reports import (
    DiffReport,
    HistoryEntry,
    HistoryReport,
    ValueState,
)
from dotterelpaddle.records.text import unified_diff

if TYPE_CHECKING:
    from dotterelpaddle.ids import Revision
    from dotterelpaddle.operator.history import PastValue
    from dotterelpaddle.operator.record_cache import StoredRecord
    from dotterelpaddle.records.envelope import Envelope
    from dotterelpaddle.records.keys import RecordKey


def describe_history(
    *,
    key: RecordKey,
    stored: StoredRecord | None,
    row_revision: Revision,
    past: tuple[PastValue, ...],
) -> HistoryReport:
    """Describe the values of a record.

    Args:
        key: The record.
        stored: Its newest value, None if it is retired.
        row_revision: Revision of its row.
        past: Its kept past values, newest first.
    """
    older = tuple(value for value in past if value.revision < row_revision)
    newest = _newest(stored=stored, row_revision=row_revision)
    entries = tuple(
        HistoryEntry(
            revision=int(value.revision),
            state=ValueState.PAST,
            record=document_of(envelope=value.envelope, revision=value.revision),
        )
        for value in older
    )
    return HistoryReport(
        kind=key.kind,
        name=key.name,
        entries=(newest, *entries),
        complete=_is_complete(stored=stored, past=older),
    )


def _newest(*, stored: StoredRecord | None, row_revision: Revision) -> HistoryEntry:
    if stored is None:
        return HistoryEntry(revision=int(row_revision), state=ValueState.RETIRED)
    return HistoryEntry(
        revision=int(stored.revision),
        state=ValueState.NEWEST,
        record=document_of_stored(stored=stored),
    )


def _is_complete(*, stored: StoredRecord | None, past: tuple[PastValue, ...]) -> bool:
    """Tell whether each value since the record was created is there."""
    sequences = {value.envelope.provenance.sequence for value in past}
    if stored is not None:
        needed = stored.envelope.provenance.sequence
    elif past:
        needed = past[0].envelope.provenance.sequence + 1
    else:
        return False
    return needed <= SLOTS and sequences.issuperset(range(needed))


def describe_diff(
    *, report: HistoryReport, old: Revision | None, new: Revision | None
) -> DiffReport:
    """Compare two values of a history.

    Args:
        report: The history.
        old: Revision of the older value, None for the one before the newer.
        new: Revision of the newer value, None for the newest.

    Raises:
        RecordNotFound: If one of them isn't there.
    """
    newer = report.entries[0] if new is None else _entry(report=report, revision=new)
    if old is None:
        older = _before(report=report, entry=newer)
    else:
        older = _entry(report=report, revision=old)
    old_envelope = _envelope(entry=older)
    new_envelope = _envelope(entry=newer)
    old_revision = 0 if older is None else older.revision
    return DiffReport(
        kind=report.kind,
        name=report.name,
        old=old_revision,
        new=newer.revision,
        same_meaning=same_meaning(old=old_envelope, new=new_envelope),
        diff=unified_diff(
            old=old_envelope,
            new=new_envelope,
            old_label=f"revision {old_revision}",
            new_label=f"revision {newer.revision}",
        ),
    )


def _entry(*, report: HistoryReport, revision: Revision) -> HistoryEntry:
    for entry in report.entries:
        if entry.revision == revision:
            return entry
    kept = ", ".join(str(entry.revision) for entry in report.entries)
    raise RecordNotFound(
        f"{report.kind}/{report.name} has no kept value of revision {revision};"
        f" kept are {kept}",
        field="revision",
    )


def _before(*, report: HistoryReport, entry: HistoryEntry) -> HistoryEntry | None:
    position = report.entries.index(entry) + 1
    return report.entries[position] if position < len(report.entries) else None


def _envelope(*, entry: HistoryEntry | None) -> Envelope | None:
    if entry is None or entry.record is None:
        return None
    return envelope_of(document=entry.record, pinned=False)
