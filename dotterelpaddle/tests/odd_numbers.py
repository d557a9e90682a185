"""Puts odd numbers into messages, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterator

ODD_NUMBERS = (2**63, 2**64 - 1, 1e20, 1e30, 1e300, -(2**63), -1e30, -1, 0.5)
"""Numbers that JSON can hold; what is beyond 64 bits is read as a float."""


def with_odd_numbers(*, document: bytes) -> Iterator[bytes]:
    """Return the document with each of its numbers replaced by each odd one."""
    for path in _paths(orjson.loads(document)):
        for number in ODD_NUMBERS:
            fields = orjson.loads(document)
            parent = fields
            for step in path[:-1]:
                parent = parent[step]
            parent[path[-1]] = number
            yield orjson.dumps(fields)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Return where the numbers of a document stand."""
    match value:
        case bool():
            return
        case int() | float():
            yield path
        case list():
            for index, each in enumerate(value):
                yield from _paths(each, (*path, index))
        case dict():
            for name, each in value.items():
                yield from _paths(each, (*path, name))
