"""Steps in which operators write records."""

from __future__ import annotations

from typing import Any, Literal

from pydantic import Field

from dotterelpaddle.scenarios.words import Word


class RecordText(Word):
    """A record as an operator writes it.

    Attributes:
        kind: Its kind.
        schema_version: Schema version of its content.
        name: Its name.
        spec: Its content; `address_of: NODE` becomes that node's address.
    """

    kind: str
    schema_version: int = Field(alias="schema", ge=1)
    name: str
    spec: dict[str, Any]


class Apply(Word):
    """Write records by the operator interface of a router.

    Attributes:
        at: The router.
        records: The records, accepted together or not at all.
        expect_revision: Revision that the record must have, None for any.
        wait: Whether to wait until they are in force everywhere.
        outcome: How the write must end.
        label: Name of its result, for conditions.
    """

    at: str
    records: tuple[RecordText, ...] = Field(min_length=1)
    expect_revision: int | None = None
    wait: bool = False
    outcome: Literal["accepted", "conflict", "refused", "unavailable", "any"] = (
        "accepted"
    )
    label: str = ""


class Retire(Word):
    """Retire a record by the operator interface of a router.

    Attributes:
        at: The router.
        record: Kind and name, with a slash between.
        outcome: How the write must end.
        label: Name of its result, for conditions.
    """

    at: str
    record: str
    outcome: Literal["accepted", "conflict", "refused", "unavailable", "any"] = (
        "accepted"
    )
    label: str = ""


class Race(Word):
    """Let operators write at the same time.

    Attributes:
        writes: The writes.
        rounds: How often they race; `{round}` in a text is the round's number.
        label: Name of their results, for conditions.
    """

    writes: tuple[Apply, ...] = Field(min_length=2)
    rounds: int = Field(default=1, ge=1, le=200)
    label: str


class Drain(Word):
    """Write the record of an endpoint so that it gets no new work.

    Attributes:
        endpoint: The endpoint.
        at: The router.
        intent: What the operator wants of it.
    """

    endpoint: str
    at: str
    intent: Literal["drain", "serve"] = "drain"


class Join(Word):
    """Start an endpoint and write its record.

    Attributes:
        endpoint: The endpoint.
        at: The router.
    """

    endpoint: str
    at: str
