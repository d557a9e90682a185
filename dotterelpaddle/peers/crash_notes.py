"""Notes of requests under which endpoints ended, as they stand in reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.forwarding.crashes import CrashNote, NoteKind
from dotterelpaddle.ids import EndpointId, Fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

KNOWN_KINDS = frozenset(kind.value for kind in NoteKind)


def encode_notes(*, notes: Iterable[CrashNote]) -> list[Any]:
    """Turn notes into fields of a report."""
    return [
        [
            note.kind.value,
            note.fingerprint,
            note.endpoint,
            round(1000 * note.age),
            note.begun,
        ]
        for note in notes
    ]


def decode_notes(*, fields: Iterable[Any]) -> tuple[CrashNote, ...]:
    """Turn fields of a report back into notes.

    Notes of kinds that only later releases know are passed over.

    Raises:
        TypeError: If they are no notes.
        ValueError: Likewise.
    """
    return tuple(_decode(each) for each in fields if each[0] in KNOWN_KINDS)


def _decode(fields: Any) -> CrashNote:
    kind, fingerprint, endpoint, age, begun = fields
    return CrashNote(
        kind=NoteKind(kind),
        fingerprint=Fingerprint(str(fingerprint)),
        endpoint=None if endpoint is None else EndpointId(str(endpoint)),
        age=max(0, int(age)) / 1000,
        begun=bool(begun),
    )
