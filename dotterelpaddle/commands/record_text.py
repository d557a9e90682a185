"""Prints reports about records for people and for scripts."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from dotterelpaddle.operator import wire
from dotterelpaddle.operator.documents import envelope_of
from dotterelpaddle.operator.reports import ChangeAction
from dotterelpaddle.records.text import render

if TYPE_CHECKING:
    from dotterelpaddle.operator.clashes import ChangedByOther
    from dotterelpaddle.operator.interface import ForceReport
    from dotterelpaddle.operator.reports import (
        ChangeReport,
        Clash,
        HistoryReport,
        RecordChange,
        RecordDocument,
        RecordList,
    )

Cells = tuple[str, ...]
"""One row of a table."""

SEPARATOR = "---"
"""Stands between YAML documents."""


def print_report(*, report: Any) -> None:
    """Print a report as one line of JSON."""
    print(wire.encode_report(report=report).decode())


def print_change(*, report: ChangeReport) -> None:
    """Print what a change did, or would do."""
    for change in report.changes:
        print(_change_line(change=change, dry_run=report.dry_run))
        if report.dry_run and change.diff:
            print(change.diff, end="")
    for warning in report.warnings:
        print(f"warning: {warning}", file=sys.stderr)
    if report.answer_recovered:
        print("the platform's answer got lost; its outcome was looked up")
    if report.dry_run:
        print("dry run: nothing was written")


def _change_line(*, change: RecordChange, dry_run: bool) -> str:
    meaning = ""
    if change.same_meaning and change.action is ChangeAction.CHANGED:
        meaning = ", same meaning"
    tense = "would be " if dry_run else ""
    return (
        f"{change.kind}/{change.name}: {tense}{change.action.value}"
        f" (revision {change.revision}{meaning})"
    )


def print_force(*, report: ForceReport) -> None:
    """Print where a revision is in force."""
    heard = len(report.in_force) + len(report.pending)
    print(
        f"revision {report.revision} is in force on {len(report.in_force)} of {heard}"
        " routers that can be heard from"
    )
    if report.pending:
        print(f"not yet on: {', '.join(report.pending)}")
    if report.unreachable:
        print(f"not heard from: {', '.join(report.unreachable)}")


def print_documents(*, records: tuple[RecordDocument, ...]) -> None:
    """Print records as YAML that can be applied again."""
    for position, record in enumerate(records):
        if position:
            print(SEPARATOR)
        print(document_yaml(record=record), end="")


def document_yaml(*, record: RecordDocument) -> str:
    """Write a record as YAML, with what is known of its origin."""
    origin = " by ".join(part for part in (record.written_at, record.writer) if part)
    lines = []
    if origin:
        lines.append(f"# written {origin}\n")
    if record.problem:
        lines.append(f"# not understood by the router asked: {record.problem}\n")
    lines.append(render(envelope=envelope_of(document=record)))
    return "".join(lines)


def print_list(*, report: RecordList) -> None:
    """Print records as a table."""
    rows: list[Cells] = [("RECORD", "SCHEMA", "REVISION", "WRITTEN", "BY")]
    rows += [
        (
            f"{each.kind}/{each.name}",
            f"{each.schema}{' (not understood)' if each.problem else ''}",
            str(each.revision),
            each.written_at or "-",
            each.writer or "-",
        )
        for each in report.records
    ]
    _print_table(rows=rows)


def print_history(*, report: HistoryReport) -> None:
    """Print the values of a record, newest first."""
    rows: list[Cells] = [("REVISION", "STATE", "SCHEMA", "WRITTEN", "BY")]
    for entry in report.entries:
        record = entry.record
        rows.append(
            (
                str(entry.revision),
                entry.state.value,
                str(record.schema) if record else "-",
                (record.written_at if record else "") or "-",
                (record.writer if record else "") or "-",
            )
        )
    _print_table(rows=rows)
    if not report.complete:
        print("older values are no longer kept, or could not be kept")


def _print_table(*, rows: list[Cells]) -> None:
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def conflict_text(*, error: ChangedByOther) -> str:
    """Show both writers' records and what to do."""
    return "".join(_clash_text(clash=clash) for clash in error.clashes)


def _clash_text(*, clash: Clash) -> str:
    return "".join(
        (
            f"{SEPARATOR} yours, of {clash.kind}/{clash.name}\n",
            _side(record=clash.yours),
            f"{SEPARATOR} theirs, revision {clash.revision}\n",
            _side(record=clash.theirs),
        )
    )


def _side(*, record: RecordDocument | None) -> str:
    if record is None:
        return "# retired\n"
    return document_yaml(record=record)
