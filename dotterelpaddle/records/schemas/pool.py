"""Schema versions of pool records.

Version 1 writes the load bound as a percentage above the mean, which was
easily taken for a percentage of the mean, and has no slow start, so an
endpoint that joins with a cold cache gets its full share at once. Version 2
writes the multiple itself and groups the bounds by what enforces them.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import PoolId
from dotterelpaddle.records.model import Pool, PoolKind
from dotterelpaddle.records.schemas.common import Count, PositiveCount, Spec

DEFAULT_SLOW_START = 5.0
"""Seconds over which a joining endpoint's share grows, unless told otherwise."""


class PoolV1(Spec):
    """Schema version 1 of a pool.

    Attributes:
        kind: What its endpoints are.
        load_over_mean_percent: How far above the pool's mean load one endpoint
            may go, in percent of the mean.
        min_serving: Orders never leave fewer endpoints serving.
        max_in_flight: Requests that one endpoint of weight 1 takes at a time.
        queue_length: Requests that may wait for the pool.
    """

    kind: PoolKind
    load_over_mean_percent: Annotated[int, Field(ge=1, le=900)] = 25
    min_serving: Count = 1
    max_in_flight: PositiveCount = 64
    queue_length: Count = 256


class PoolLoad(Spec):
    """Bounds that placement enforces, in schema version 2.

    Attributes:
        multiple: No endpoint carries more than this multiple of the mean load.
        max_in_flight: Requests that one endpoint of weight 1 takes at a time.
        slow_start: Seconds over which a joining endpoint's share grows.
    """

    multiple: Annotated[float, Field(gt=1.0, le=10.0)] = 1.25
    max_in_flight: PositiveCount = 64
    slow_start: Annotated[float, Field(ge=0.0, le=600.0)] = DEFAULT_SLOW_START


class PoolQueue(Spec):
    """Bounds that admission enforces, in schema version 2.

    Attributes:
        length: Requests that may wait for the pool.
    """

    length: Count = 256


class PoolOrders(Spec):
    """Bounds that orders to engines keep, in schema version 2.

    Attributes:
        min_serving: Orders never leave fewer endpoints serving.
    """

    min_serving: Count = 1


class PoolV2(Spec):
    """Schema version 2 of a pool.

    Attributes:
        kind: What its endpoints are.
        load: Bounds that placement enforces.
        queue: Bounds that admission enforces.
        orders: Bounds that orders to engines keep.
    """

    kind: PoolKind
    load: PoolLoad = PoolLoad()
    queue: PoolQueue = PoolQueue()
    orders: PoolOrders = PoolOrders()


def to_internal(*, name: str, spec: PoolV1 | PoolV2) -> Pool:
    """Convert either schema version to the internal form."""
    match spec:
        case PoolV1():
            return Pool(
                name=PoolId(name),
                kind=spec.kind,
                load_multiple=(100 + spec.load_over_mean_percent) / 100,
                min_serving=spec.min_serving,
                max_in_flight=spec.max_in_flight,
                queue_length=spec.queue_length,
                slow_start=DEFAULT_SLOW_START,
            )
        case PoolV2():
            return Pool(
                name=PoolId(name),
                kind=spec.kind,
                load_multiple=spec.load.multiple,
                min_serving=spec.orders.min_serving,
                max_in_flight=spec.load.max_in_flight,
                queue_length=spec.queue.length,
                slow_start=spec.load.slow_start,
            )


def to_v1(*, record: Pool) -> PoolV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If the multiple is finer than a percent, or there is a
            slow start of its own.
    """
    percent = round(record.load_multiple * 100)
    if percent / 100 != record.load_multiple:
        raise RecordError(
            "schema 1 holds whole percents; round the multiple",
            field="spec.load.multiple",
        )
    if record.slow_start != DEFAULT_SLOW_START:
        raise RecordError(
            f"schema 1 has no slow start of its own; set it to {DEFAULT_SLOW_START}",
            field="spec.load.slow_start",
        )
    return PoolV1(
        kind=record.kind,
        load_over_mean_percent=percent - 100,
        min_serving=record.min_serving,
        max_in_flight=record.max_in_flight,
        queue_length=record.queue_length,
    )


def to_v2(*, record: Pool) -> PoolV2:
    """Write the internal form in schema version 2."""
    return PoolV2(
        kind=record.kind,
        load=PoolLoad(
            multiple=record.load_multiple,
            max_in_flight=record.max_in_flight,
            slow_start=record.slow_start,
        ),
        queue=PoolQueue(length=record.queue_length),
        orders=PoolOrders(min_serving=record.min_serving),
    )
