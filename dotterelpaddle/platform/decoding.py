"""Reads fields of the platform's JSON documents; errors name the field."""

from __future__ import annotations

from reprlib import Repr
from typing import TYPE_CHECKING, Any, TypeVar

import orjson

from dotterelpaddle.exceptions import RecordError

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")

NUMBER_TYPES = (int, float)

_SHORT = Repr()
_SHORT.maxstring = _SHORT.maxother = 60


def describe(value: object) -> str:
    """Return a short text of a value, however large or deep it is."""
    return _SHORT.repr(value)


def parse_object(document: bytes) -> Mapping[str, Any]:
    """Decode a document that must hold a JSON object.

    Raises:
        RecordError: If the document is not a JSON object.
    """
    try:
        value = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise RecordError(f"the value is not JSON: {error}", field="value") from error
    if not isinstance(value, dict):
        raise RecordError("the value must be an object", field="value")
    return value


def required_field(
    row: Mapping[str, Any], name: str, expected_type: type[T], path: str
) -> T:
    """Return a required field.

    Args:
        row: Object that holds the field.
        name: Name of the field.
        expected_type: Type of its value.
        path: Path of the object with a trailing dot, for the error.

    Raises:
        RecordError: If the field is missing or has another type.
    """
    value = row.get(name)
    if isinstance(value, expected_type) and not (
        expected_type is int and isinstance(value, bool)
    ):
        return value
    raise RecordError(
        f"field '{path}{name}' must be {_type_description(expected_type)}, "
        f"not {describe(value)}",
        field=f"{path}{name}",
    )


def optional_field(
    row: Mapping[str, Any], name: str, expected_type: type[T], path: str, default: T
) -> T:
    """Return a field, or the default if it is missing.

    Raises:
        RecordError: If the field has another type.
    """
    if row.get(name) is None:
        return default
    return required_field(row, name, expected_type, path)


def seconds_field(row: Mapping[str, Any], name: str, path: str) -> float:
    """Return a required field in milliseconds, converted to seconds.

    Raises:
        RecordError: If the field is missing or not a number of at least 0.
    """
    value = row.get(name)
    if isinstance(value, NUMBER_TYPES) and not isinstance(value, bool) and value >= 0:
        return value / 1000
    raise RecordError(
        f"field '{path}{name}' must be milliseconds of at least 0, "
        f"not {describe(value)}",
        field=f"{path}{name}",
    )


def number_field(
    row: Mapping[str, Any], name: str, path: str, *, default: float
) -> float:
    """Return a numeric field, or the default if it is missing.

    Raises:
        RecordError: If the field is not a number of at least 0.
    """
    value = row.get(name, default)
    if isinstance(value, NUMBER_TYPES) and not isinstance(value, bool) and value >= 0:
        return float(value)
    raise RecordError(
        f"field '{path}{name}' must be a number of at least 0, not {describe(value)}",
        field=f"{path}{name}",
    )


def _type_description(kind: type) -> str:
    names = {str: "a string", int: "an integer", bool: "true or false"}
    return names.get(kind, f"a {kind.__name__}")
