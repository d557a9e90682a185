"""Selects the preferred endpoint of an uncached prompt, the same at all routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.caches import part_tag, shared_parts
from dotterelpaddle.owners.shards import ranked_shards, shard_entries, split_into_shards
from dotterelpaddle.placement.rendezvous import digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.interface import HasPrompt
    from dotterelpaddle.forwarding.model import EndpointEntry

AFFINITY_TOKENS = 150
"""Cost reduction, in prompt tokens, at the preferred endpoint of an uncached prompt,
so that routers that receive the prompt concurrently send it to the same endpoint."""

LARGE_FLEET_AFFINITY_TOKENS = 1000
"""Replaces AFFINITY_TOKENS at shard owners and in large fleets, where a router learns
of a cached prompt half a second later. After a restart of all routers the preferred
endpoint still has most prompts, before any engine has listed its cache."""


def preferred_endpoint(
    *, request: HasPrompt, candidates: Sequence[EndpointEntry], sharded: bool
) -> EndpointEntry:
    """Return the endpoint that all routers prefer for a request's last shared part.

    Args:
        request: The request.
        candidates: Eligible endpoints.
        sharded: Whether shard owners place requests. The part then determines a shard
            first, and an endpoint of that shard second.
    """
    part = shared_parts(request=request)[-1]
    key = part_tag(model=request.model, part=part)
    if sharded:
        shards = split_into_shards(entries=candidates)
        first = ranked_shards(shards=shards, entries=candidates, key=key)[0]
        candidates = shard_entries(entries=candidates, shard=first)
    return max(candidates, key=lambda entry: digest(text=f"{key}/{entry.endpoint}"))
