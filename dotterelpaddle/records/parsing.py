"""Reads records from YAML or JSON text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import Revision
from dotterelpaddle.records.envelope import Envelope
from dotterelpaddle.records.problems import first_problem
from dotterelpaddle.records.yaml_documents import load_documents

if TYPE_CHECKING:
    from collections.abc import Iterator

UNREADABLE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""What the YAML library raises on values that its tags don't fit."""


class _Document(BaseModel):
    """The outside of a record as it stands in YAML."""

    model_config = ConfigDict(extra="forbid", strict=True)

    kind: str
    schema_version: int = Field(alias="schema", ge=1)
    name: str
    revision: int | None = Field(default=None, ge=0)
    spec: dict[str, Any]


def parse_yaml(*, text: str, source: str) -> list[Envelope]:
    """Read the records of a YAML text.

    A document holds one record or a list of records; empty documents are
    skipped. A record may name the revision that it is meant to replace.

    Args:
        text: The YAML.
        source: Name of the file, for errors.

    Raises:
        RecordError: If the text is no YAML or a document is no record.
    """
    envelopes = []
    for position, document in _documents(text=text, source=source):
        place = f"{source}, document {position}"
        entries = document if isinstance(document, list) else [document]
        for entry in entries:
            envelopes.append(_envelope(entry=entry, place=place))
    if not envelopes:
        raise RecordError(f"{source}: there is no record in it")
    return envelopes


def _documents(*, text: str, source: str) -> Iterator[tuple[int, Any]]:
    try:
        for position, document in enumerate(load_documents(text=text), start=1):
            if document is not None:
                yield position, document
    except yaml.YAMLError as error:
        raise RecordError(f"{source}: {error}") from error
    except UNREADABLE as error:
        raise RecordError(f"{source}: unusable YAML, {error}") from error


def _envelope(*, entry: Any, place: str) -> Envelope:
    if not isinstance(entry, dict):
        raise RecordError(
            f"{place}: a record is a mapping of kind, schema, name and spec"
        )
    try:
        document = _Document.model_validate(entry)
    except ValidationError as error:
        problem = first_problem(error=error, model=_Document)
        where = f", field {problem.path}" if problem.path else ""
        raise RecordError(
            f"{place}{where}: {problem.summary}", field=problem.path
        ) from error
    return Envelope(
        kind=document.kind,
        schema=document.schema_version,
        name=document.name,
        spec=document.spec,
        expected=None if document.revision is None else Revision(document.revision),
    )
