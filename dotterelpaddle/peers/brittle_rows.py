"""Format of the row that names the services whose endpoints are brittle."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.counts import decode_count
from dotterelpaddle.exceptions import MALFORMED_DOCUMENT, ControlError
from dotterelpaddle.ids import ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping


def encode_row(*, limits: Mapping[ServiceName, int]) -> bytes:
    """Encode the rejections within a second that endpoints bear, by service."""
    return orjson.dumps({"limits": dict(sorted(limits.items()))})


def decode_row(*, row: bytes) -> dict[ServiceName, int]:
    """Decode the limits.

    Raises:
        ControlError: If the row is malformed.
    """
    try:
        limits = orjson.loads(row)["limits"]
        return {
            ServiceName(str(name)): decode_count(limit)
            for name, limit in limits.items()
        }
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"row has no limits: {error!r}") from error
