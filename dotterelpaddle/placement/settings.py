"""Settings of placement; the defaults fit today's fleets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.placement.policies import OwnerPolicy

if TYPE_CHECKING:
    from dotterelpaddle.placement.policies import Policy


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementSettings:
    """How one router places requests.

    Attributes:
        policy: How endpoints are chosen.
        shard_size: Endpoints above which a pool is cut into one shard per
            failure domain.
        refresh_interval: Shortest time between two refreshes to an owner that
            only tell of ended requests, seconds.
        refreshes_per_second: Refreshes that this router sends a second, to all
            owners together.
        summary_interval: Time between two load summaries of any of a shard's
            owners, seconds; each of them speaks in turn.
        summary_lifetime: Age at which a summary is too old to go by, seconds.
        report_lifetime: Age at which an owner drops a router's last refresh,
            seconds.
        permits_per_second: Permit requests that this router sends a second, to
            all owners together. Of more shards than `shards_known_whole` it asks
            for each request.
        permit_timeout: Seconds without answer after which a permit request is
            decided locally.
        probe_interval: Time between two probes of endpoints by one router,
            seconds.
        remembered_chats: Chats away from their hash home that are remembered, in
            all shards together.
        shards_known_whole: Shards up to which all routers hear of all load and all
            chats. Of more shards only the owners do.
        max_patience: Longest wait for the endpoint that has a chat's cache,
            seconds.
        max_ejected_share: Share of a shard's endpoints that may be ejected.
        leaving_lifetime: Seconds that hearsay of a leaving endpoint holds.
        export_bytes_per_second: Rate at which KV caches are moved.
        explain_length: Decisions kept for explanation.
    """

    policy: Policy = field(default_factory=OwnerPolicy)
    shard_size: int = 64
    refresh_interval: float = 0.08
    refreshes_per_second: float = 6.0
    summary_interval: float = 0.25
    summary_lifetime: float = 2.5
    report_lifetime: float = 6.0
    permits_per_second: float = 5.0
    permit_timeout: float = 0.1
    probe_interval: float = 0.35
    remembered_chats: int = 100_000
    shards_known_whole: int = 16
    max_patience: float = 0.5
    max_ejected_share: float = 0.34
    leaving_lifetime: float = 10.0
    export_bytes_per_second: float = 50e6
    explain_length: int = 2048
