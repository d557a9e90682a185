"""Wire format of crash notes in the reports between routers.

A crash note names a request during which an endpoint crashed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.forwarding.crash_note import CrashNote, NoteKind
from dotterelpaddle.ids import EndpointId, Fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

KNOWN_KINDS = frozenset(kind.value for kind in NoteKind)


def encode_notes(*, notes: Iterable[CrashNote]) -> list[Any]:
    """Encode crash notes as fields of a report; ages are in milliseconds there."""
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
    """Decode crash notes from fields of a report.

    The decoder skips notes of unknown kinds, which later releases send.

    Raises:
        TypeError: If a field has the wrong type.
        ValueError: If a field has an invalid value.
    """
    return tuple(_decode(note) for note in fields if note[0] in KNOWN_KINDS)


def _decode(fields: Any) -> CrashNote:
    kind, fingerprint, endpoint, age, begun = fields
    return CrashNote(
        kind=NoteKind(kind),
        fingerprint=Fingerprint(str(fingerprint)),
        endpoint=None if endpoint is None else EndpointId(str(endpoint)),
        age=max(0, int(age)) / 1000,
        begun=bool(begun),
    )
