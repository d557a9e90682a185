"""Converts records between their schema versions and the internal form."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Any

import orjson
from pydantic import ValidationError

from dotterelpaddle.exceptions import RecordError, RecordSchemaUnknown
from dotterelpaddle.records.model import RecordKind
from dotterelpaddle.records.problems import first_problem, nearest
from dotterelpaddle.records.schemas.common import check_name
from dotterelpaddle.records.schemas.registry import SCHEMAS, Schema
from dotterelpaddle.records.schemas.route import split_name

if TYPE_CHECKING:
    from dotterelpaddle.records.envelope import Envelope
    from dotterelpaddle.records.model import InternalRecord


class Obstacle(Enum):
    """Why this release can't use a record."""

    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_SCHEMA = "unknown_schema"
    MALFORMED = "malformed"


@dataclass(frozen=True, kw_only=True, slots=True)
class Understood:
    """A record that this release can put in force.

    Attributes:
        record: Its internal form.
    """

    record: InternalRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class NotUnderstood:
    """A record that this release must pass on untouched.

    What the same record said before stays in force here.

    Attributes:
        obstacle: Why it can't be used.
        message: The same, for an operator.
    """

    obstacle: Obstacle
    message: str


Interpretation = Understood | NotUnderstood


def to_internal(*, envelope: Envelope) -> InternalRecord:
    """Validate a record and convert it to the internal form.

    Raises:
        RecordSchemaUnknown: If kind or schema version is unknown here.
        RecordError: If its name or content is malformed.
    """
    kind = _kind(envelope=envelope)
    schema = _schema(envelope=envelope, kind=kind)
    _check_record_name(envelope=envelope, kind=kind)
    return schema.read(
        name=envelope.name, spec=_validate(envelope=envelope, schema=schema)
    )


def from_internal(*, record: InternalRecord, kind: RecordKind, schema: int) -> Any:
    """Write the content of a record in a schema version.

    Returns:
        The content as plain data.

    Raises:
        RecordError: If that schema version can't express it.
    """
    spec = SCHEMAS[kind][schema].write(record=record)
    return spec.model_dump(mode="json", exclude_none=True)


def convert(*, envelope: Envelope, schema: int) -> Envelope:
    """Rewrite a record in another schema version, with the same meaning.

    Raises:
        RecordError: If it is malformed or that version can't express it.
    """
    record = to_internal(envelope=envelope)
    kind = RecordKind(envelope.kind)
    if schema not in SCHEMAS[kind]:
        raise _unknown_schema(kind=kind, schema=schema, place=str(envelope.key))
    spec = from_internal(record=record, kind=kind, schema=schema)
    return replace(envelope, schema=schema, spec=spec)


def interpret(*, envelope: Envelope) -> Interpretation:
    """Convert a stored record to the internal form where this release can."""
    try:
        return Understood(record=to_internal(envelope=envelope))
    except RecordSchemaUnknown as error:
        known_kind = envelope.kind in {kind.value for kind in RecordKind}
        obstacle = Obstacle.UNKNOWN_SCHEMA if known_kind else Obstacle.UNKNOWN_KIND
        return NotUnderstood(obstacle=obstacle, message=error.message)
    except RecordError as error:
        return NotUnderstood(obstacle=Obstacle.MALFORMED, message=error.message)


def _kind(*, envelope: Envelope) -> RecordKind:
    try:
        return RecordKind(envelope.kind)
    except ValueError:
        hint = nearest(name=envelope.kind, known=[kind.value for kind in RecordKind])
        raise RecordSchemaUnknown(
            f"{envelope.key}, field kind: unknown kind; {hint}", field="kind"
        ) from None


def _schema(*, envelope: Envelope, kind: RecordKind) -> Schema:
    schema = SCHEMAS[kind].get(envelope.schema)
    if schema is None:
        raise _unknown_schema(
            kind=kind, schema=envelope.schema, place=str(envelope.key)
        )
    return schema


def _unknown_schema(
    *, kind: RecordKind, schema: int, place: str
) -> RecordSchemaUnknown:
    known = " and ".join(str(version) for version in SCHEMAS[kind])
    return RecordSchemaUnknown(
        f"{place}, field schema: this release knows schema versions {known} of"
        f" {kind.value}, not {schema}; use one of them or a newer release",
        field="schema",
    )


def _check_record_name(*, envelope: Envelope, kind: RecordKind) -> None:
    try:
        match kind:
            case RecordKind.ROUTE:
                split_name(name=envelope.name)
            case _:
                check_name(envelope.name)
    except ValueError as error:
        raise RecordError(
            f"{envelope.key}, field name: {error}", field="name"
        ) from error


def _validate(*, envelope: Envelope, schema: Schema) -> Any:
    try:
        # By way of JSON, so that YAML, HTTP and stored records follow one rule.
        return schema.spec.model_validate_json(orjson.dumps(envelope.spec))
    except ValidationError as error:
        problem = first_problem(error=error, model=schema.spec)
        field = f"spec.{problem.path}" if problem.path else "spec"
        raise RecordError(
            f"{envelope.key}, field {field}: {problem.summary}",
            field=field,
        ) from error
    except (TypeError, ValueError) as error:
        raise RecordError(
            f"{envelope.key}, field spec: {error}", field="spec"
        ) from error
