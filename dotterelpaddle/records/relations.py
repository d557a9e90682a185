"""How records relate: what each uses and what it claims for itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.records.codec import Understood, interpret
from dotterelpaddle.records.keys import RecordKey, claim_row
from dotterelpaddle.records.model import (
    Account,
    Adapter,
    Endpoint,
    Limit,
    Model,
    Pool,
    Priority,
    RecordKind,
    Route,
    Version,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.records.codec import Interpretation
    from dotterelpaddle.records.envelope import Envelope
    from dotterelpaddle.records.model import InternalRecord

FIELD_OF_ATTRIBUTE = {
    (RecordKind.ACCOUNT, 1): {"token_digests": "spec.token_digest"},
    (RecordKind.ACCOUNT, 2): {"token_digests": "spec.tokens.digests"},
    (RecordKind.ROUTE, 1): {
        "account": "name",
        "adapter": "spec.model",
        "version": "spec.model",
    },
    (RecordKind.ROUTE, 2): {
        "account": "name",
        "model": "spec.target.model",
        "adapter": "spec.target.adapter",
        "version": "spec.target.version",
    },
    (RecordKind.ENDPOINT, 1): {
        "address": "spec.url",
        "adapter": "spec.model",
        "version": "spec.model",
    },
    (RecordKind.ENDPOINT, 2): {
        "model": "spec.serves.model",
        "adapter": "spec.serves.adapters",
        "version": "spec.serves.version",
    },
}
"""Fields that hold an attribute of the internal form, where names differ."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Reference:
    """One record's use of another one.

    Attributes:
        attribute: Attribute of the internal form that names it.
        target: The record that is used.
    """

    attribute: str
    target: RecordKey


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """What only one record of a kind may have.

    Attributes:
        kind: The kind.
        attribute: Attribute of the internal form that has it.
        value: What it is.
    """

    kind: str
    attribute: str
    value: str

    @property
    def row(self) -> str:
        """Key of the row that changes whenever a record makes this claim."""
        return claim_row(kind=self.kind, attribute=self.attribute, value=self.value)


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """A record as it stands, or would stand, in the table.

    Attributes:
        schema: Its schema version.
        interpretation: What this release makes of it.
        references: What it uses; nothing if it is not understood.
        claims: What it claims for itself; nothing if it is not understood.
    """

    schema: int
    interpretation: Interpretation
    references: tuple[Reference, ...] = ()
    claims: tuple[Claim, ...] = ()


def entry_of(*, envelope: Envelope) -> Entry:
    """Find out what a record means and how it relates to others."""
    interpretation = interpret(envelope=envelope)
    match interpretation:
        case Understood(record=record):
            return Entry(
                schema=envelope.schema,
                interpretation=interpretation,
                references=references(record=record),
                claims=claims(record=record),
            )
        case _:
            return Entry(schema=envelope.schema, interpretation=interpretation)


def references(*, record: InternalRecord) -> tuple[Reference, ...]:
    """List what a record uses."""
    return tuple(
        Reference(attribute=attribute, target=RecordKey(kind=attribute, name=str(name)))
        for attribute, name in _named(record=record)
        if name
    )


def claims(*, record: InternalRecord) -> tuple[Claim, ...]:
    """List what a record claims for itself."""
    match record:
        case Endpoint():
            address = Claim(
                kind=RecordKind.ENDPOINT.value,
                attribute="address",
                value=str(record.address),
            )
            return (address,)
        case Account():
            return tuple(
                Claim(
                    kind=RecordKind.ACCOUNT.value,
                    attribute="token_digests",
                    value=f"{record.token_salt}:{digest}",
                )
                for digest in dict.fromkeys(record.token_digests)
            )
        case _:
            return ()


def _named(*, record: InternalRecord) -> Iterator[tuple[str, str]]:
    match record:
        case Account():
            yield "priority", record.priority
            yield "limit", record.limit
        case Route():
            yield "account", record.account
            yield "pool", record.pool
            yield "model", record.model
            yield "adapter", record.adapter
            yield "version", record.version
        case Endpoint():
            yield "pool", record.pool
            yield "model", record.model
            yield from (("adapter", adapter) for adapter in record.adapters)
            yield "version", record.version
        case Adapter() | Version():
            yield "model", record.model
        case Pool() | Model() | Priority() | Limit():
            return


def field_of(*, kind: str, schema: int, attribute: str) -> str:
    """Name the field that holds an attribute of the internal form."""
    fields = FIELD_OF_ATTRIBUTE.get((RecordKind(kind), schema), {})
    return fields.get(attribute, f"spec.{attribute}")
