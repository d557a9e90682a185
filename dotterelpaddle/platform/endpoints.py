"""Decodes the entries with which endpoints register themselves."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import TYPE_CHECKING, Any

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.forwarding.model import (
    UNKNOWN_INCARNATION,
    EndpointEntry,
    EndpointState,
    endpoint_id,
)
from dotterelpaddle.ids import (
    FailureDomain,
    Incarnation,
    ModelId,
    ServiceName,
    SoftwareVersion,
)
from dotterelpaddle.platform.decoding import (
    describe,
    optional_field,
    parse_object,
    required_field,
    seconds_field,
)
from dotterelpaddle.platform.names import Field

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import EndpointName

MAX_PORT = 65535

MAX_INTEGER = 2**53 - 1
"""Largest integer that every JSON decoder keeps; no count and no time is as large."""

MAX_SLOTS = 1_000_000
MAX_COLD_SECONDS = 86_400.0

MAX_NAME_LENGTH = 200
"""Characters of a name, as the store bounds its keys."""


def decode_endpoint(
    *, name: EndpointName, document: bytes, revision: StoreRevision
) -> EndpointEntry:
    """Decode the entry of an endpoint.

    Args:
        name: Key of its row, the name of the endpoint.
        document: Value of its row.
        revision: StoreRevision of its row; each heartbeat increases it.

    Raises:
        RecordError: If a field is missing or invalid; the error names the field.
            The writer of such a row is not a usable endpoint.
    """
    row = parse_object(document)
    path = f"{name}."
    _check_header_safe(name)
    # Routers don't use it, but a row without it was not written by an endpoint.
    _integer(row, Field.CHANGE_COUNT, path, minimum=0)
    incarnation = decode_incarnation(row, path)
    return EndpointEntry(
        endpoint=endpoint_id(name=name, incarnation=incarnation),
        incarnation=incarnation,
        service=ServiceName(_name(row, "service", path)),
        address=_address(row, path),
        failure_domain=FailureDomain(_name(row, "zone", path)),
        slots=_integer(row, "slots", path, minimum=1, maximum=MAX_SLOTS),
        state=_state(row, path),
        models=_models(row, path),
        software_version=SoftwareVersion(
            _short_text(row, Field.SOFTWARE_VERSION, path)
        ),
        cold_left=_cold_left(row, path),
        revision=revision,
        document=document,
    )


def decode_incarnation(row: Mapping[str, Any], path: str) -> Incarnation:
    """Decode the start time of an endpoint, which is optional.

    Raises:
        RecordError: If it is not an integer of at least 0, in milliseconds.
    """
    if row.get(Field.STARTED_AT_MS) is None:
        return UNKNOWN_INCARNATION
    return Incarnation(_integer(row, Field.STARTED_AT_MS, path, minimum=0))


def _check_header_safe(name: EndpointName) -> None:
    """Check that a name can be sent in a header of each request to the endpoint."""
    if not name or name != name.strip() or not (name.isascii() and name.isprintable()):
        raise RecordError(
            f"the key of an entry must be printable ASCII, not {describe(name)}",
            field="key",
        )


def _integer(
    row: Mapping[str, Any],
    name: str,
    path: str,
    *,
    minimum: int,
    maximum: int = MAX_INTEGER,
) -> int:
    value = required_field(row, name, int, path)
    if not minimum <= value <= maximum:
        raise RecordError(
            f"field '{path}{name}' must be {minimum} to {maximum}, not {value}",
            field=f"{path}{name}",
        )
    return value


def _cold_left(row: Mapping[str, Any], path: str) -> float:
    seconds = seconds_field(row, Field.COLD_LEFT_MS, path)
    if seconds > MAX_COLD_SECONDS:
        raise RecordError(
            f"field '{path}{Field.COLD_LEFT_MS}' must be at most "
            f"{1000 * MAX_COLD_SECONDS:.0f} milliseconds",
            field=f"{path}{Field.COLD_LEFT_MS}",
        )
    return seconds


def _short_text(row: Mapping[str, Any], name: str, path: str) -> str:
    value = required_field(row, name, str, path)
    if len(value) > MAX_NAME_LENGTH:
        raise RecordError(
            f"field '{path}{name}' must have at most {MAX_NAME_LENGTH} characters, "
            f"not {len(value)}",
            field=f"{path}{name}",
        )
    return value


def _name(row: Mapping[str, Any], name: str, path: str) -> str:
    value = _short_text(row, name, path)
    if not value:
        raise RecordError(
            f"field '{path}{name}' must not be empty", field=f"{path}{name}"
        )
    return value


def _address(row: Mapping[str, Any], path: str) -> Address:
    text = required_field(row, "address", str, path)
    try:
        address = Address.parse(text=text)
        host = str(IPv4Address(address.host))
    except (AddressValueError, ValueError) as error:
        raise RecordError(
            f"field '{path}address' must be an IPv4 address and a port, "
            f"not {describe(text)}",
            field=f"{path}address",
        ) from error
    if not 0 < address.port <= MAX_PORT:
        raise RecordError(
            f"field '{path}address': the port must be 1 to {MAX_PORT}, "
            f"not {describe(text)}",
            field=f"{path}address",
        )
    return Address(host=host, port=address.port)


def _state(row: Mapping[str, Any], path: str) -> EndpointState:
    state = required_field(row, "state", str, path)
    try:
        return EndpointState(state)
    except ValueError as error:
        states = ", ".join(each.value for each in EndpointState)
        raise RecordError(
            f"field '{path}state' must be one of {states}, not {describe(state)}",
            field=f"{path}state",
        ) from error


def _models(row: Mapping[str, Any], path: str) -> frozenset[ModelId]:
    models = optional_field(row, "models", list, path, [])
    for model in models:
        if not isinstance(model, dict):
            raise RecordError(
                f"field '{path}models' must hold objects, not {describe(model)}",
                field=f"{path}models",
            )
    return frozenset(
        ModelId(_short_text(model, "name", f"{path}models.")) for model in models
    )
