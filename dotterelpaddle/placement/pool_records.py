"""The records of a pool, as the shards follow them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.ids import ModelId
    from dotterelpaddle.placement.patience import PatienceRule
    from dotterelpaddle.placement.shards import Shard
    from dotterelpaddle.records.model import Endpoint, Pool


@dataclass(kw_only=True, slots=True)
class PoolRecords:
    """What was in force when a pool's shards were last looked at.

    Attributes:
        pool: The pool's record.
        endpoints: Its endpoints.
        models: Models of the endpoints, in order of name.
        patience: How long chats wait for their cache.
        shards: The endpoints of each shard.
    """

    pool: Pool
    endpoints: tuple[Endpoint, ...]
    models: tuple[ModelId, ...]
    patience: PatienceRule
    shards: dict[Shard, tuple[Endpoint, ...]] = field(
        default_factory=dict, compare=False
    )

    def agrees(self, *, records: PoolRecords) -> bool:
        """Tell whether nothing but the endpoints is different."""
        return self.pool == records.pool and self.patience == records.patience
