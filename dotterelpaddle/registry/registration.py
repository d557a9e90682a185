"""A router's entry in the registry, and its encoding as a row of the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.exceptions import MALFORMED_DOCUMENT, ControlError
from dotterelpaddle.forwarding.store_clock import StoreTime

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """A router's entry.

    Attributes:
        registered_at: When the router was first listed. Later processes of the router
            keep it.
        renewed_at: When it last confirmed that it still runs.
    """

    registered_at: StoreTime
    renewed_at: StoreTime


def encode_registration(*, registration: Registration) -> bytes:
    """Encode an entry as the value of a row."""
    return orjson.dumps(
        {
            "registered": _time_fields(registration.registered_at),
            "renewed": _time_fields(registration.renewed_at),
        }
    )


def decode_registration(*, row: bytes) -> Registration:
    """Decode the value of a row.

    Raises:
        ControlError: If it is malformed.
    """
    try:
        document = orjson.loads(row)
        return Registration(
            registered_at=_time(document["registered"]),
            renewed_at=_time(document["renewed"]),
        )
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"row is no registration: {error!r}") from error


def _time_fields(time: StoreTime) -> list[Any]:
    return [time.era, time.seconds]


def _time(fields: Sequence[Any]) -> StoreTime:
    era, seconds = fields
    return StoreTime.stated(era=era, seconds=seconds)
