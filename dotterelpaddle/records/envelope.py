"""The outside of every record: kind, schema version and name around a content.

Any release can read the envelope of any record, so a router can store and pass
on records whose kind or schema version is newer than itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.records.keys import RecordKey

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.ids import Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class Provenance:
    """Where the stored value of a record comes from.

    Attributes:
        sequence: How many values the record had before this one.
        writer: Who wrote it, empty if unknown.
        written_at: When, in ISO 8601 and UTC, empty if unknown.
    """

    sequence: int = 0
    writer: str = ""
    written_at: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A record as an operator writes it.

    Attributes:
        kind: Its kind, perhaps one that this release doesn't know.
        schema: Schema version of its content.
        name: Its name, unique within its kind.
        spec: Its content, in the form that kind and schema version ask for.
        provenance: Where the stored value comes from; no part of equality.
        expected: Revision that the stored record must have for this one to
            replace it, 0 if there must be none, None if any will do; no part
            of equality and never stored.
    """

    kind: str
    schema: int
    name: str
    spec: Mapping[str, Any]
    provenance: Provenance = field(default=Provenance(), compare=False)
    expected: Revision | None = field(default=None, compare=False)

    @property
    def key(self) -> RecordKey:
        """Its key in the records table."""
        return RecordKey(kind=self.kind, name=self.name)


def encode(*, envelope: Envelope) -> bytes:
    """Turn a record into the value of a row."""
    document: dict[str, Any] = {
        "kind": envelope.kind,
        "schema": envelope.schema,
        "name": envelope.name,
        "spec": envelope.spec,
    }
    if envelope.provenance != Provenance():
        document["provenance"] = envelope.provenance
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def decode(*, value: bytes) -> Envelope:
    """Read a record from the value of a row.

    Fields that this release doesn't know are left out of the result; pass on
    the value itself to keep them.

    Raises:
        RecordError: If the value is no record.
    """
    try:
        document = orjson.loads(value)
        return Envelope(
            kind=str(document["kind"]),
            schema=int(document["schema"]),
            name=str(document["name"]),
            spec=dict(document["spec"]),
            provenance=_provenance(document=document.get("provenance") or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise RecordError(f"the stored value is no record: {error!r}") from error


def _provenance(*, document: Mapping[str, Any]) -> Provenance:
    return Provenance(
        sequence=int(document.get("sequence", 0)),
        writer=str(document.get("writer", "")),
        written_at=str(document.get("written_at", "")),
    )
