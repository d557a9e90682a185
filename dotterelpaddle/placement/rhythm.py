"""How often routers tell each other of load, in fleets of few and of many shards.

With few shards every router hears of all endpoints. With many that would cost more
than all requests do, so that only the owners of a shard tell each other of it. A
router that sends requests there asks an owner for a permit, and tells it when the
request has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.placement.settings import PlacementSettings

KEEPALIVE = 1.5
"""Seconds between refreshes of unchanged load in a fleet of few shards."""

REPEATS = 2
"""Times that an owner is told the same of an endpoint without load."""

SPARSE_KEEPALIVE = 60.0
"""Seconds between refreshes of unchanged load in a fleet of many shards."""

SPARSE_REPEATS = 1

KEPT_KEEPALIVES = 3
"""Refreshes after whose loss an owner drops a router that is believed alive.

A process that was started anew at the same address is alive, but its requests of
before are gone.
"""

SPARSE_SUMMARY_INTERVAL = 0.5
"""Seconds between two summaries of any of a shard's owners."""

SPARSE_HEARD_LIFETIME = 30.0
"""Seconds for which an owner goes by what other owners of the shard said."""

SPARSE_REFRESHES = 24.0
"""Refreshes that a router sends a second in a fleet of many shards."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Rhythm:
    """How often routers speak, and for how long it holds.

    Attributes:
        sparse: Whether only the owners of a shard hear summaries of it.
        keepalive: Seconds between refreshes of unchanged load.
        repeats: Times that an owner is told the same without load.
        silence: Seconds after which an owner drops a silent router that the
            membership does not believe alive.
        longest_silence: Seconds after which it drops any silent router.
        heard_lifetime: Seconds for which the word of other owners holds.
        ejected_lifetime: Seconds for which their ejections hold.
        refreshes_per_second: Refreshes that a router sends a second.
    """

    sparse: bool
    keepalive: float
    repeats: int
    silence: float
    longest_silence: float
    heard_lifetime: float
    ejected_lifetime: float
    refreshes_per_second: float


def rhythm_of(*, settings: PlacementSettings, sparse: bool) -> Rhythm:
    """The rhythm of a fleet.

    Args:
        settings: Settings of placement.
        sparse: Whether there are many shards.
    """
    if sparse:
        return Rhythm(
            sparse=True,
            keepalive=SPARSE_KEEPALIVE,
            repeats=SPARSE_REPEATS,
            silence=settings.report_lifetime,
            longest_silence=KEPT_KEEPALIVES * SPARSE_KEEPALIVE,
            heard_lifetime=SPARSE_HEARD_LIFETIME,
            ejected_lifetime=SPARSE_HEARD_LIFETIME,
            refreshes_per_second=SPARSE_REFRESHES,
        )
    return Rhythm(
        sparse=False,
        keepalive=KEEPALIVE,
        repeats=REPEATS,
        silence=settings.report_lifetime,
        longest_silence=settings.report_lifetime,
        heard_lifetime=settings.report_lifetime,
        ejected_lifetime=settings.summary_lifetime,
        refreshes_per_second=settings.refreshes_per_second,
    )
