"""Decodes the rows by which endpoints register themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.forwarding.model import EndpointEntry, EndpointState
from dotterelpaddle.ids import EndpointId, FailureDomain, ModelId, ServiceName
from dotterelpaddle.platform.decoding import field, optional, parse

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.ids import Revision


def decode_endpoint(*, name: str, document: bytes, revision: Revision) -> EndpointEntry:
    """Decode one entry.

    Args:
        name: Key of its row.
        document: Its value.
        revision: Revision of its row, which grows with each heartbeat too.

    Raises:
        RecordError: If a field is missing or can't be used; it names the field.
    """
    row = parse(document)
    path = f"{name}."
    address = field(row, "address", str, path)
    try:
        parsed = Address.parse(text=address)
    except ValueError as error:
        raise RecordError(f"field '{path}address': {error}") from error
    return EndpointEntry(
        endpoint=EndpointId(name),
        service=ServiceName(field(row, "service", str, path)),
        address=parsed,
        failure_domain=FailureDomain(optional(row, "zone", str, path, "")),
        slots=max(1, optional(row, "slots", int, path, 1)),
        state=_state(row, path),
        models=frozenset(
            ModelId(str(model.get("name", "")))
            for model in optional(row, "models", list, path, [])
        ),
        revision=revision,
        document=document,
    )


def _state(row: Mapping[str, Any], path: str) -> EndpointState:
    """Any state that is not ready takes no new work."""
    if field(row, "state", str, path) == EndpointState.READY.value:
        return EndpointState.READY
    return EndpointState.DRAINING
