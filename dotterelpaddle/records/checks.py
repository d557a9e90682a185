"""Checks of records against each other.

They look at a state of the table as it would be after a change, and either
accept it or name the field to change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RecordRefused
from dotterelpaddle.records.codec import Understood
from dotterelpaddle.records.keys import RecordKey
from dotterelpaddle.records.model import (
    Adapter,
    Endpoint,
    EndpointRole,
    Pool,
    PoolKind,
    RecordKind,
    Route,
    Version,
)
from dotterelpaddle.records.problems import nearest
from dotterelpaddle.records.relations import Entry, field_of, references

if TYPE_CHECKING:
    from dotterelpaddle.records.index import State
    from dotterelpaddle.records.model import InternalRecord

SHOWN_KEYS = 10
"""Records that an error names before it only counts the rest."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Disagreement:
    """A record that doesn't agree with another one that it uses.

    Attributes:
        attribute: Attribute of the internal form to change.
        message: What is wrong and what to change.
    """

    attribute: str
    message: str


def check_entry(*, key: RecordKey, state: State) -> None:
    """Check one record of a state against the others.

    Raises:
        RecordRefused: If it uses something that isn't there or doesn't fit.
    """
    entry = state.find(key=key)
    if entry is None:
        return
    match entry.interpretation:
        case Understood(record=record):
            _check_targets(key=key, entry=entry, state=state)
            _check_agreement(key=key, schema=entry.schema, record=record, state=state)
        case _:
            return


def check_claims(*, key: RecordKey, state: State) -> None:
    """Check that no other record has what one claims for itself.

    Raises:
        RecordRefused: If another one has it.
    """
    entry = state.find(key=key)
    if entry is None:
        return
    for claim in entry.claims:
        others = [other for other in state.holders_of(claim=claim) if other != key]
        if others:
            raise _refusal(
                key=key,
                schema=entry.schema,
                attribute=claim.attribute,
                message=f"{_listed(keys=tuple(others))} has the same; two records"
                " can't share it, so change or retire one of them",
            )


def check_unused(*, key: RecordKey, state: State) -> None:
    """Check that nothing in a state uses a record that is to be retired.

    Raises:
        RecordRefused: If something uses it, or might.
    """
    users = state.users_of(key=key)
    if users:
        raise RecordRefused(
            f"{key} is in use by {_listed(keys=users)}; change or retire these first,"
            " or retire them together with it",
            field="name",
        )
    unreadable = state.unreadable()
    if unreadable:
        raise RecordRefused(
            f"{key} may be in use by {_listed(keys=unreadable)}, which this release"
            " can't read; ask a router of a newer release, or retire these first",
            field="name",
        )


def binds_users(*, before: InternalRecord, after: InternalRecord) -> bool:
    """Tell whether a change of a record could break records that use it."""
    match before, after:
        case Pool(), Pool():
            return before.kind is not after.kind
        case Adapter(model=old), Adapter(model=new):
            return old != new
        case Version(model=old), Version(model=new):
            return old != new
        case _:
            return False


def _listed(*, keys: tuple[RecordKey, ...]) -> str:
    shown = ", ".join(str(key) for key in keys[:SHOWN_KEYS])
    rest = len(keys) - SHOWN_KEYS
    return f"{shown} and {rest} more" if rest > 0 else shown


def _refusal(
    *, key: RecordKey, schema: int, attribute: str, message: str
) -> RecordRefused:
    field = field_of(kind=key.kind, schema=schema, attribute=attribute)
    return RecordRefused(f"{key}, field {field}: {message}", field=field)


def _check_targets(*, key: RecordKey, entry: Entry, state: State) -> None:
    for reference in entry.references:
        target = reference.target
        if state.find(key=target) is not None:
            continue
        known = [other.name for other in state if other.kind == target.kind]
        hint = nearest(name=target.name, known=known) if known else "there is none yet"
        raise _refusal(
            key=key,
            schema=entry.schema,
            attribute=reference.attribute,
            message=f"there is no {target.kind} '{target.name}'; {hint}; apply it"
            " first or in the same request",
        )


def _check_agreement(
    *,
    key: RecordKey,
    schema: int,
    record: InternalRecord,
    state: State,
) -> None:
    match record:
        case Route() | Endpoint():
            problem = _target_problem(record=record, state=state) or _pool_problem(
                record=record, state=state
            )
        case _:
            return
    if problem is not None:
        raise _refusal(
            key=key,
            schema=schema,
            attribute=problem.attribute,
            message=problem.message,
        )


def _target_problem(*, record: Route | Endpoint, state: State) -> _Disagreement | None:
    """Find an adapter or version that belongs to another model."""
    for reference in references(record=record):
        match _find(key=reference.target, state=state):
            case Adapter(model=model) | Version(model=model) if model != record.model:
                return _Disagreement(
                    attribute=reference.attribute,
                    message=f"{reference.target} belongs to model '{model}', not to"
                    f" '{record.model}'; name one of that model",
                )
    return None


def _pool_problem(*, record: Route | Endpoint, state: State) -> _Disagreement | None:
    """Find a disagreement with the kind of the pool."""
    key = RecordKey(kind=RecordKind.POOL.value, name=record.pool)
    pool = _find(key=key, state=state)
    match pool, record:
        case Pool(kind=PoolKind.SERVICE), Route() | Endpoint() if record.model:
            return _Disagreement(
                attribute="model",
                message=f"{key} has plain services, which serve no model; remove it",
            )
        case Pool(kind=PoolKind.SERVICE), Endpoint(role=role) if (
            role is not EndpointRole.MIXED
        ):
            return _Disagreement(
                attribute="role",
                message=f"{key} has plain services; their role is 'mixed'",
            )
        case Pool(kind=PoolKind.ENGINE), Route() if not record.model:
            return _Disagreement(
                attribute="model",
                message=f"{key} has engines; name the model to ask for",
            )
    return None


def _find(*, key: RecordKey, state: State) -> InternalRecord | None:
    match state.find(key=key):
        case Entry(interpretation=Understood(record=record)):
            return record
        case _:
            return None
