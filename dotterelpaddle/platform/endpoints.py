"""Decodes the rows by which endpoints register themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.forwarding.model import (
    UNKNOWN_INCARNATION,
    EndpointEntry,
    EndpointState,
    endpoint_id,
)
from dotterelpaddle.ids import FailureDomain, Incarnation, ModelId, ServiceName
from dotterelpaddle.platform.decoding import (
    optional_field,
    parse_object,
    required_field,
    seconds_field,
)
from dotterelpaddle.platform.names import Field

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.ids import EndpointName, Revision


def decode_endpoint(
    *, name: EndpointName, document: bytes, revision: Revision
) -> EndpointEntry:
    """Decode one entry.

    Args:
        name: Key of its row.
        document: Its value.
        revision: Revision of its row, which grows with each heartbeat too.

    Raises:
        RecordError: If a field is missing or can't be used; it names the field.
            Who wrote such a row is no endpoint that could be relied on.
    """
    row = parse_object(document)
    path = f"{name}."
    _check_unused(row, path)
    address = required_field(row, "address", str, path)
    try:
        parsed = Address.parse(text=address)
    except ValueError as error:
        raise RecordError(f"field '{path}address': {error}") from error
    incarnation = decode_incarnation(row, path)
    return EndpointEntry(
        endpoint=endpoint_id(name=name, incarnation=incarnation),
        incarnation=incarnation,
        service=ServiceName(required_field(row, "service", str, path)),
        address=parsed,
        failure_domain=FailureDomain(required_field(row, "zone", str, path)),
        slots=_slots(row, path),
        state=_state(row, path),
        models=_models(row, path),
        cold_left=seconds_field(row, Field.COLD_LEFT_MS, path),
        revision=revision,
        document=document,
    )


def decode_incarnation(row: Mapping[str, Any], path: str) -> Incarnation:
    """Decode when an endpoint started, which it may leave out.

    Raises:
        RecordError: If it is something else than a whole number of milliseconds.
    """
    started_at = optional_field(
        row, Field.STARTED_AT_MS, int, path, UNKNOWN_INCARNATION
    )
    if started_at < 0:
        raise RecordError(
            f"field '{path}{Field.STARTED_AT_MS}' must be from 0 on, not {started_at}",
            field=f"{path}{Field.STARTED_AT_MS}",
        )
    return Incarnation(started_at)


def _check_unused(row: Mapping[str, Any], path: str) -> None:
    """Check fields that say whether an endpoint wrote the row, and else nothing."""
    required_field(row, Field.SOFTWARE_VERSION, str, path)
    required_field(row, Field.CHANGE_COUNT, int, path)


def _slots(row: Mapping[str, Any], path: str) -> int:
    slots = required_field(row, "slots", int, path)
    if slots < 1:
        raise RecordError(
            f"field '{path}slots' must be 1 or more, not {slots}",
            field=f"{path}slots",
        )
    return slots


def _state(row: Mapping[str, Any], path: str) -> EndpointState:
    state = required_field(row, "state", str, path)
    try:
        return EndpointState(state)
    except ValueError as error:
        known = ", ".join(each.value for each in EndpointState)
        raise RecordError(
            f"field '{path}state' must be one of {known}, not {state!r}",
            field=f"{path}state",
        ) from error


def _models(row: Mapping[str, Any], path: str) -> frozenset[ModelId]:
    models = optional_field(row, "models", list, path, [])
    for model in models:
        if not isinstance(model, dict):
            raise RecordError(
                f"field '{path}models' must hold objects, not {model!r}",
                field=f"{path}models",
            )
    return frozenset(
        ModelId(required_field(model, "name", str, f"{path}models."))
        for model in models
    )
