"""Schema versions of limit records.

Version 1 counts by the minute and writes 0 for no bound, so that a bound of
zero, and a rate of less than one a minute, can't be told from none. Version 2
counts by the second and leaves out what is not bounded.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.records.model import Limit
from dotterelpaddle.records.schemas.common import Count, PositiveCount, Spec

SECONDS_PER_MINUTE = 60


class LimitV1(Spec):
    """Schema version 1 of a limit.

    Attributes:
        max_in_flight: Requests at a time over the whole fleet, 0 for no bound.
        requests_per_minute: Mean rate, 0 for no bound.
    """

    max_in_flight: Count = 0
    requests_per_minute: Count = 0


class LimitV2(Spec):
    """Schema version 2 of a limit.

    Attributes:
        max_in_flight: Requests at a time over the whole fleet, absent for no
            bound.
        requests_per_second: Mean rate, absent for no bound.
    """

    max_in_flight: PositiveCount | None = None
    requests_per_second: Annotated[float, Field(gt=0.0, le=1e9)] | None = None


def to_internal(*, name: str, spec: LimitV1 | LimitV2) -> Limit:
    """Convert either schema version to the internal form."""
    match spec:
        case LimitV1():
            return Limit(
                name=name,
                max_in_flight=spec.max_in_flight,
                requests_per_second=spec.requests_per_minute / SECONDS_PER_MINUTE,
            )
        case LimitV2():
            return Limit(
                name=name,
                max_in_flight=spec.max_in_flight or 0,
                requests_per_second=spec.requests_per_second or 0.0,
            )


def to_v1(*, record: Limit) -> LimitV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If the rate is no whole number a minute.
    """
    per_minute = round(record.requests_per_second * SECONDS_PER_MINUTE)
    if per_minute / SECONDS_PER_MINUTE != record.requests_per_second:
        raise RecordError(
            "schema 1 holds whole requests a minute; round the rate",
            field="spec.requests_per_second",
        )
    return LimitV1(max_in_flight=record.max_in_flight, requests_per_minute=per_minute)


def to_v2(*, record: Limit) -> LimitV2:
    """Write the internal form in schema version 2."""
    return LimitV2(
        max_in_flight=record.max_in_flight or None,
        requests_per_second=record.requests_per_second or None,
    )
