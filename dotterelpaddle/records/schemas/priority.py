"""Schema versions of priority records.

Version 1 has three levels; version 2 any number of ranks, since operators
needed a rank between two levels for cut-off work.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from pydantic import Field

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.records.model import Priority
from dotterelpaddle.records.schemas.common import Spec


class PriorityLevel(Enum):
    """Levels of schema version 1."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


RANK_OF_LEVEL = {
    PriorityLevel.HIGH: 0,
    PriorityLevel.NORMAL: 100,
    PriorityLevel.LOW: 200,
}
"""Rank of each level, with room between them."""


class PriorityV1(Spec):
    """Schema version 1 of a priority.

    Attributes:
        level: Its level.
    """

    level: PriorityLevel


class PriorityV2(Spec):
    """Schema version 2 of a priority.

    Attributes:
        rank: Lower ranks are served first.
    """

    rank: Annotated[int, Field(ge=0, le=1000)]


def to_internal(*, name: str, spec: PriorityV1 | PriorityV2) -> Priority:
    """Convert either schema version to the internal form."""
    match spec:
        case PriorityV1():
            return Priority(name=name, rank=RANK_OF_LEVEL[spec.level])
        case PriorityV2():
            return Priority(name=name, rank=spec.rank)


def to_v1(*, record: Priority) -> PriorityV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If the rank is between the levels.
    """
    levels = {rank: level for level, rank in RANK_OF_LEVEL.items()}
    if record.rank not in levels:
        raise RecordError(
            f"schema 1 knows the ranks {sorted(levels)} only", field="spec.rank"
        )
    return PriorityV1(level=levels[record.rank])


def to_v2(*, record: Priority) -> PriorityV2:
    """Write the internal form in schema version 2."""
    return PriorityV2(rank=record.rank)
