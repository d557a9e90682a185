"""What all parts of one router's catalog work on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.catalog.counters import CatalogCounters
    from dotterelpaddle.catalog.polling import PollSchedule
    from dotterelpaddle.catalog.progress import PeerProgress
    from dotterelpaddle.catalog.settings import CatalogSettings
    from dotterelpaddle.catalog.store import RecordStore
    from dotterelpaddle.catalog.topology import Topology
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel


@dataclass(frozen=True, kw_only=True, slots=True)
class CatalogContext:
    """The shared state and resources of one router's catalog.

    Attributes:
        store: The records held here.
        channel: The way to other routers.
        topology: Choices over the members.
        schedule: When to read the platform, and how fresh its state is here.
        progress: How far other routers said that they are.
        counters: Metrics.
        settings: How a router follows the records.
        clock: Monotonic clock.
    """

    store: RecordStore
    channel: Channel
    topology: Topology
    schedule: PollSchedule
    progress: PeerProgress
    counters: CatalogCounters
    settings: CatalogSettings
    clock: Clock
