"""What a catalog says of itself to operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.catalog.index import Unreadable
    from dotterelpaddle.catalog.store import Source
    from dotterelpaddle.ids import Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class CatalogStatus:
    """State of one router's catalog.

    Attributes:
        ready: Whether the records were loaded.
        loaded_from: Where they were loaded from first.
        revision: Newest revision that is wholly in force here.
        records: Records held, retired ones left out.
        tombstones: Retired records remembered one by one.
        settled: Whether nothing is known beyond `revision`.
        diverged: Whether another router of the same revision holds others.
        is_poller: Whether this router reads the platform all the time.
        platform_reachable: Whether its last read was answered.
        platform_age: Seconds since the platform's state is known, None if never.
        snapshot: Newest revision of a snapshot, as far as known.
        unreadable: Records of a kind or schema version unknown to this release.
    """

    ready: bool
    loaded_from: Source | None
    revision: Revision
    records: int
    tombstones: int
    settled: bool
    diverged: bool
    is_poller: bool
    platform_reachable: bool
    platform_age: float | None
    snapshot: Revision
    unreadable: tuple[Unreadable, ...]
