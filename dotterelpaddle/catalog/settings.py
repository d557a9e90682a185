"""Settings of the catalog, with defaults that suit fleets of any size."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CatalogSettings:
    """How a router follows the records.

    Attributes:
        pollers_per_domain: Routers of a failure domain that read the change
            log at `poll_interval` all the time.
        poll_interval: Seconds between two reads of a poller.
        stand_in_spacing: A router of rank r that hears from no poller reads
            every r times this many seconds.
        page_limit: Rows asked of the change log at a time.
        digest_interval: Seconds between two digests to a random peer.
        cross_domain_share: Share of the digests that go to another failure
            domain.
        direct_fanout: Up to so many peers get a change straight from the
            router that learned it first; beyond that a tree is used.
        tree_roots: Routers of each failure domain that get a change first.
        tree_fanout: Routers that each router of the tree passes a change to.
        push_retry: Seconds until an unacknowledged push is repeated; doubles
            with each repeat.
        push_attempts: Pushes of one change to one peer before it is left to
            the digests.
        push_bytes: Longest packed change that travels in a datagram; what is
            longer is fetched over TCP.
        part_entries: Records that a router gives in one TCP transfer; a router
            that needs more takes the rest from others.
        fetch_timeout: Seconds that a fetch from a peer may take.
        recent_changes: Changes that are kept in order, so that a peer that is
            behind gets only what it lacks.
        tombstones: Retired records that are remembered one by one.
        snapshot_interval: Seconds between two looks whether a snapshot is due.
        snapshot_changes: Revisions after which a new snapshot is written.
        snapshot_delay: Seconds for which a starting router waits for the
            change log or a peer before it serves from a snapshot alone.
    """

    pollers_per_domain: int = 2
    poll_interval: float = 0.5
    stand_in_spacing: float = 0.25
    page_limit: int = 2000
    digest_interval: float = 1.0
    cross_domain_share: float = 0.3
    direct_fanout: int = 16
    tree_roots: int = 2
    tree_fanout: int = 8
    push_retry: float = 0.15
    push_attempts: int = 5
    push_bytes: int = 800
    part_entries: int = 2000
    fetch_timeout: float = 3.0
    recent_changes: int = 1024
    tombstones: int = 1024
    snapshot_interval: float = 30.0
    snapshot_changes: int = 200
    snapshot_delay: float = 3.0
