"""Conflicts between operators, with both writers' records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RecordConflict
from dotterelpaddle.operator.documents import document_of, document_of_stored
from dotterelpaddle.operator.reports import Clash

if TYPE_CHECKING:
    from dotterelpaddle.operator.record_cache import StoredRecord
    from dotterelpaddle.operator.targets import Target


class ChangedByOther(RecordConflict):
    """Another writer changed a record first; nothing was accepted.

    Args:
        clashes: Both writers' versions of each such record.

    Attributes:
        clashes: The same.
    """

    def __init__(self, *, clashes: tuple[Clash, ...]) -> None:
        self.clashes = clashes
        super().__init__(_message(clashes=clashes), field="revision")


def clash_of(*, target: Target, stored: StoredRecord | None) -> Clash:
    """Show what was asked of a record, and the record as it is."""
    envelope = target.envelope
    return Clash(
        kind=target.key.kind,
        name=target.key.name,
        expected=int(target.base),
        yours=None if envelope is None else document_of(envelope=envelope),
        theirs=None if stored is None else document_of_stored(stored=stored),
        revision=0 if stored is None else int(stored.revision),
    )


def _message(*, clashes: tuple[Clash, ...]) -> str:
    described = "; ".join(_describe(clash=clash) for clash in clashes)
    return (
        f"nothing was accepted, since another operator was first: {described}."
        " Compare both records, put what you need of yours into theirs, and apply"
        " the result with the revision named here"
    )


def _describe(*, clash: Clash) -> str:
    name = f"{clash.kind}/{clash.name}"
    expected = (
        f"revision {clash.expected}" if clash.expected else "no record of that name"
    )
    if clash.theirs is None:
        return f"{name} was expected at {expected} and is not there (revision 0)"
    writer = clash.theirs.writer or "an unnamed writer"
    return (
        f"{name} was expected at {expected} and is at revision {clash.revision},"
        f" schema {clash.theirs.schema}, written by {writer}"
    )
