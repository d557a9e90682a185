"""Schema versions of model records.

Version 1 gives the time that 1000 prompt tokens take, rounded to a
millisecond, which is too coarse for fast engines. Version 2 gives the rate,
and the size of the KV cache, without which nothing can be planned by memory.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import ModelId
from dotterelpaddle.records.model import Model
from dotterelpaddle.records.schemas.common import PositiveCount, Spec

TOKENS_OF_COST = 1000
"""Prompt tokens that the cost of schema version 1 is for."""

MS_PER_SECOND = 1000

DEFAULT_CACHE_BYTES = 65536
"""Size of the KV cache of one token, unless told otherwise."""


class ModelV1(Spec):
    """Schema version 1 of a model.

    Attributes:
        prefill_ms_per_1000_tokens: Milliseconds an engine takes for 1000
            prompt tokens without cache.
        context_length: Longest prompt and answer together, in tokens.
    """

    prefill_ms_per_1000_tokens: Annotated[int, Field(ge=1, le=100_000)] = 125
    context_length: PositiveCount = 32768


class ModelPrefill(Spec):
    """How fast prompts are processed, in schema version 2.

    Attributes:
        tokens_per_second: Prompt tokens an engine processes a second without
            cache.
    """

    tokens_per_second: Annotated[float, Field(gt=0.0, le=1e9)] = 8000.0


class ModelCache(Spec):
    """How much memory context takes, in schema version 2.

    Attributes:
        bytes_per_token: Size of the KV cache of one token.
    """

    bytes_per_token: PositiveCount = DEFAULT_CACHE_BYTES


class ModelV2(Spec):
    """Schema version 2 of a model.

    Attributes:
        context_length: Longest prompt and answer together, in tokens.
        prefill: How fast prompts are processed.
        cache: How much memory context takes.
    """

    context_length: PositiveCount = 32768
    prefill: ModelPrefill = ModelPrefill()
    cache: ModelCache = ModelCache()


def to_internal(*, name: str, spec: ModelV1 | ModelV2) -> Model:
    """Convert either schema version to the internal form."""
    match spec:
        case ModelV1():
            return Model(
                name=ModelId(name),
                prefill_rate=_rate_of_cost(cost=spec.prefill_ms_per_1000_tokens),
                context_length=spec.context_length,
                cache_bytes_per_token=DEFAULT_CACHE_BYTES,
            )
        case ModelV2():
            return Model(
                name=ModelId(name),
                prefill_rate=spec.prefill.tokens_per_second,
                context_length=spec.context_length,
                cache_bytes_per_token=spec.cache.bytes_per_token,
            )


def _rate_of_cost(*, cost: int) -> float:
    return TOKENS_OF_COST * MS_PER_SECOND / cost


def to_v1(*, record: Model) -> ModelV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If the rate is finer or the cache size isn't the default.
    """
    cost = max(1, round(_rate_of_cost(cost=1) / record.prefill_rate))
    if _rate_of_cost(cost=cost) != record.prefill_rate:
        raise RecordError(
            "schema 1 holds whole milliseconds for 1000 tokens; the nearest rate"
            f" is {_rate_of_cost(cost=cost)}",
            field="spec.prefill.tokens_per_second",
        )
    if record.cache_bytes_per_token != DEFAULT_CACHE_BYTES:
        raise RecordError(
            f"schema 1 has no cache size; set it to {DEFAULT_CACHE_BYTES}",
            field="spec.cache.bytes_per_token",
        )
    return ModelV1(
        prefill_ms_per_1000_tokens=cost, context_length=record.context_length
    )


def to_v2(*, record: Model) -> ModelV2:
    """Write the internal form in schema version 2."""
    return ModelV2(
        context_length=record.context_length,
        prefill=ModelPrefill(tokens_per_second=record.prefill_rate),
        cache=ModelCache(bytes_per_token=record.cache_bytes_per_token),
    )
