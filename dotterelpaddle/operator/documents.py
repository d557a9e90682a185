"""Turns records into the typed messages of the operator interface and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.ids import Revision
from dotterelpaddle.operator.reports import RecordDocument
from dotterelpaddle.records.codec import NotUnderstood
from dotterelpaddle.records.envelope import Envelope

if TYPE_CHECKING:
    from dotterelpaddle.operator.record_cache import StoredRecord


def document_of(
    *, envelope: Envelope, revision: int = 0, problem: str = ""
) -> RecordDocument:
    """Describe a record."""
    return RecordDocument(
        kind=envelope.kind,
        schema=envelope.schema,
        name=envelope.name,
        spec=dict(envelope.spec),
        revision=int(revision),
        writer=envelope.provenance.writer,
        written_at=envelope.provenance.written_at,
        problem=problem,
    )


def document_of_stored(*, stored: StoredRecord) -> RecordDocument:
    """Describe a record of the table."""
    match stored.entry.interpretation:
        case NotUnderstood(message=message):
            problem = message
        case _:
            problem = ""
    return document_of(
        envelope=stored.envelope, revision=stored.revision, problem=problem
    )


def envelope_of(*, document: RecordDocument, pinned: bool = True) -> Envelope:
    """Read a record from its description.

    Args:
        document: The description.
        pinned: Whether the record shall replace only the described revision.
    """
    return Envelope(
        kind=document.kind,
        schema=document.schema,
        name=document.name,
        spec=document.spec,
        expected=Revision(document.revision) if pinned else None,
    )
