"""Wire format of crash notes in the reports between routers.

A crash note names a request or a prompt part during which an endpoint crashed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.crashes.note import CrashNote, NoteKind
from dotterelpaddle.crashes.subjects import PartSubject, RequestSubject
from dotterelpaddle.ids import EndpointId, Fingerprint, PartKey

if TYPE_CHECKING:
    from collections.abc import Iterable

REQUEST_KINDS = {kind.value: kind for kind in NoteKind}
"""Names of the events of requests."""

PART_KINDS = {f"part_{kind.value}": kind for kind in NoteKind}
"""Names of the events of prompt parts, which earlier releases skip."""


def encode_notes(*, notes: Iterable[CrashNote]) -> list[Any]:
    """Encode crash notes as fields of a report; ages are in milliseconds there."""
    return [_encode(note) for note in notes]


def decode_notes(*, fields: Iterable[Any]) -> tuple[CrashNote, ...]:
    """Decode crash notes from fields of a report.

    The decoder skips notes of unknown kinds, which later releases send.

    Raises:
        TypeError: If a field has the wrong type.
        ValueError: If a field has an invalid value.
    """
    known = REQUEST_KINDS.keys() | PART_KINDS.keys()
    return tuple(_decode(note) for note in fields if note[0] in known)


def _encode(note: CrashNote) -> list[Any]:
    age = round(1000 * note.age)
    kind = note.kind.value
    match note.subject:
        case RequestSubject(fingerprint=fingerprint):
            return [kind, fingerprint, note.endpoint, age, note.begun]
        case PartSubject(part=part, position=position):
            return [f"part_{kind}", part, note.endpoint, age, position]


def _decode(fields: Any) -> CrashNote:
    name, key, endpoint, age, detail = fields
    subject: RequestSubject | PartSubject
    if name in PART_KINDS:
        subject = PartSubject(part=PartKey(str(key)), position=int(detail))
        kind, begun = PART_KINDS[name], True
    else:
        subject = RequestSubject(fingerprint=Fingerprint(str(key)))
        kind, begun = REQUEST_KINDS[name], bool(detail)
    return CrashNote(
        kind=kind,
        subject=subject,
        endpoint=None if endpoint is None else EndpointId(str(endpoint)),
        age=max(0, int(age)) / 1000,
        begun=begun,
    )
