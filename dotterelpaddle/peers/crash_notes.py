"""Wire format of crash notes in the reports between routers.

A crash note names a request or a prompt part during which an endpoint crashed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.counts import bounded_count, decode_count
from dotterelpaddle.crashes.note import CrashNote, NoteKind
from dotterelpaddle.crashes.subjects import AnySubject, PartSubject, RequestSubject
from dotterelpaddle.ids import EndpointId, Fingerprint, PartKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.crashes.subjects import CrashSubject

REQUEST_KINDS = {kind.value: kind for kind in NoteKind}
"""Names of the events of requests."""

PART_KINDS = {
    "part_crashed": NoteKind.ENDED,
    "part_tried": NoteKind.TRIED,
    "part_answered": NoteKind.SERVED,
}
"""Names of the events of prompt parts; earlier releases skip all but attempts."""

EARLIER_PART_KINDS = {"part_ended": NoteKind.ENDED, "part_served": NoteKind.SERVED}
"""Names by which earlier releases report events of parts without their attempts. They
report a crash only if the answer had begun without output."""

ENDPOINT_ENDED = "endpoint_ended"
"""Name of a crash of whatever ran, which earlier releases skip."""

KNOWN_KINDS = {*REQUEST_KINDS, *PART_KINDS, *EARLIER_PART_KINDS, ENDPOINT_ENDED}


def encode_notes(*, notes: Iterable[CrashNote]) -> list[Any]:
    """Encode crash notes as fields of a report; times are in milliseconds there."""
    return [_encode(note) for note in notes]


def decode_notes(*, fields: Iterable[Any]) -> tuple[CrashNote, ...]:
    """Decode crash notes from fields of a report.

    The decoder skips notes of unknown kinds, which later releases send.

    Raises:
        TypeError: If a field has the wrong type.
        ValueError: If a field has an invalid value.
    """
    return tuple(_decode(note) for note in fields if note[0] in KNOWN_KINDS)


def _encode(note: CrashNote) -> list[Any]:
    age = bounded_count(value=1000 * note.age)
    match note.subject:
        case AnySubject():
            return [ENDPOINT_ENDED, "", note.endpoint, age, 0]
        case RequestSubject(fingerprint=fingerprint):
            return [note.kind.value, fingerprint, note.endpoint, age, note.begun]
        case PartSubject(part=part, position=position):
            name = next(each for each, kind in PART_KINDS.items() if kind is note.kind)
            fields = [name, part, note.endpoint, age, position]
            if note.kind is not NoteKind.TRIED:
                fields += [bounded_count(value=1000 * note.attempt_seconds), note.begun]
            return fields


def _decode(fields: Any) -> CrashNote:
    name, key, endpoint, age, detail, *attempt = fields
    subject: CrashSubject | AnySubject
    attempt_seconds, begun = 0.0, True
    if name == ENDPOINT_ENDED:
        subject, kind, begun = AnySubject(), NoteKind.ENDED, False
    elif name in REQUEST_KINDS:
        subject = RequestSubject(fingerprint=Fingerprint(str(key)))
        kind, begun = REQUEST_KINDS[name], bool(detail)
    else:
        subject = PartSubject(part=PartKey(str(key)), position=decode_count(detail))
        kind = (PART_KINDS | EARLIER_PART_KINDS)[name]
        if attempt:
            attempt_seconds, begun = decode_count(attempt[0]) / 1000, bool(attempt[1])
    return CrashNote(
        kind=kind,
        subject=subject,
        endpoint=None if endpoint is None else EndpointId(str(endpoint)),
        age=decode_count(age) / 1000,
        attempt_seconds=attempt_seconds,
        begun=begun,
    )
