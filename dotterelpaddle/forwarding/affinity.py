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
