"""Reads fields of the platform's JSON with errors that name the field."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import orjson

from dotterelpaddle.exceptions import RecordError

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")

NUMBER_TYPES = (int, float)


def parse_object(document: bytes) -> Mapping[str, Any]:
    """Return the object that a document holds.

    Raises:
        RecordError: If it is no JSON object.
    """
    try:
        value = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise RecordError(f"the value is no JSON: {error}", field="value") from error
    if not isinstance(value, dict):
        raise RecordError("the value must be an object", field="value")
    return value


def required_field(
    row: Mapping[str, Any], name: str, expected_type: type[T], path: str
) -> T:
    """Return a field that must be there.

    Args:
        row: The object that holds it.
        name: Its name.
        expected_type: Its type.
        path: Where the object stands, for the error.

    Raises:
        RecordError: If it is missing or of another type.
    """
    value = row.get(name)
    if isinstance(value, expected_type) and not (
        expected_type is int and isinstance(value, bool)
    ):
        return value
    raise RecordError(
        f"field '{path}{name}' must be {_type_description(expected_type)}, "
        f"not {value!r}",
        field=f"{path}{name}",
    )


def optional_field(
    row: Mapping[str, Any], name: str, expected_type: type[T], path: str, default: T
) -> T:
    """Return a field, or a default where it is missing.

    Raises:
        RecordError: If it is of another type.
    """
    if row.get(name) is None:
        return default
    return required_field(row, name, expected_type, path)


def seconds_field(row: Mapping[str, Any], name: str, path: str) -> float:
    """Return a field that holds milliseconds, in seconds.

    Raises:
        RecordError: If it is missing or no number above or equal to 0.
    """
    value = row.get(name)
    if isinstance(value, NUMBER_TYPES) and not isinstance(value, bool) and value >= 0:
        return value / 1000
    raise RecordError(
        f"field '{path}{name}' must be milliseconds from 0 on, not {value!r}",
        field=f"{path}{name}",
    )


def number_field(
    row: Mapping[str, Any], name: str, path: str, *, default: float
) -> float:
    """Return a field that holds a number, or a default where it is missing.

    Raises:
        RecordError: If it is no number above or equal to 0.
    """
    value = row.get(name, default)
    if isinstance(value, NUMBER_TYPES) and not isinstance(value, bool) and value >= 0:
        return float(value)
    raise RecordError(
        f"field '{path}{name}' must be a number from 0 on, not {value!r}",
        field=f"{path}{name}",
    )


def _type_description(kind: type) -> str:
    names = {str: "a text", int: "a whole number", bool: "true or false"}
    return names.get(kind, f"a {kind.__name__}")
