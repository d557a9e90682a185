"""When a router reads the platform's change log; no I/O.

The first few routers of each failure domain always do. The others rely on what
they hear, and stand in, each at a rate that falls with its rank, once nothing
they heard tells them of a recent read. So the sum over a failure domain grows
only with the logarithm of its size, whatever its routers believe.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.catalog.settings import CatalogSettings
    from dotterelpaddle.ids import Revision

BASE_TIMEOUT = 3.0
"""Seconds without news after which a router of a tiny domain stands in."""

TIMEOUT_PER_DOUBLING = 2.0
"""Digest intervals added to it by each doubling of the domain."""

MAX_BACKOFF = 2.0
"""Most by which failures stretch the interval."""

BUSY_SECONDS = 3.0
"""Seconds after a change for which all routers stand in."""

BEHIND_TIMEOUT = 0.2
"""Seconds for which a router that knows that it lacks changes waits for them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Where a router stands among those of its failure domain.

    Attributes:
        rank: Its rank among the pollers, from 0.
        population: Number of routers in the domain, itself included.
    """

    rank: int
    population: int


class PollSchedule:
    """Decides when to read next.

    Args:
        settings: How a router follows the records.
    """

    def __init__(self, *, settings: CatalogSettings) -> None:
        self._settings = settings
        self._last_read = -math.inf
        self._failures = 0
        self._fresh_at: float | None = None
        self._behind_since: float | None = None
        self._changed_at = -math.inf

    @property
    def fresh_at(self) -> float | None:
        """Latest time as of which the platform's state is known here."""
        return self._fresh_at

    def note_start(self, *, now: float) -> None:
        """Note that a read begins."""
        self._last_read = now

    def note_success(self, *, started: float) -> None:
        """Note that a read reached the head of the log."""
        self._failures = 0
        self.note_fresh(at=started)

    def note_failure(self) -> None:
        """Note that a read failed."""
        self._failures += 1

    def note_fresh(self, *, at: float) -> None:
        """Note that the platform's state as of some time is known here."""
        if self._fresh_at is None or at > self._fresh_at:
            self._fresh_at = at

    def note_head(self, *, heard: Revision, own: Revision, now: float) -> None:
        """Note how far another router is."""
        if heard <= own:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def note_revision(self, *, now: float) -> None:
        """Note that this router got further."""
        self._behind_since = None
        self._changed_at = now

    def note_pause(self, *, now: float) -> None:
        """Note that this process stood still, so what it knows is older."""
        self._fresh_at = None
        self._changed_at = now

    def is_busy(self, *, now: float) -> bool:
        """Tell whether changes came a moment ago, so that more may come."""
        return now - self._changed_at <= BUSY_SECONDS

    def next_read(self, *, place: Place, now: float) -> float:
        """Tell when the next read is due, in seconds on the monotonic clock."""
        interval = self._interval(place=place)
        if place.rank < self._settings.pollers_per_domain:
            return self._last_read + interval
        due = self._last_read + interval
        if not self.is_busy(now=now):
            due = max(due, self._stale_at(place=place))
        if self._behind_since is not None:
            wait = max(BEHIND_TIMEOUT, self._settings.stand_in_spacing * place.rank)
            due = min(due, max(self._behind_since, self._last_read) + wait)
        return due

    def _interval(self, *, place: Place) -> float:
        backoff = min(MAX_BACKOFF, 2.0**self._failures)
        return stand_in_interval(rank=place.rank, settings=self._settings) * backoff

    def _stale_at(self, *, place: Place) -> float:
        if self._fresh_at is None:
            return -math.inf
        return self._fresh_at + stand_in_timeout(
            population=place.population, settings=self._settings
        )


def stand_in_timeout(*, population: int, settings: CatalogSettings) -> float:
    """Seconds without news of a read after which routers stand in."""
    doublings = math.log2(population + 1)
    return BASE_TIMEOUT + TIMEOUT_PER_DOUBLING * settings.digest_interval * doublings


def stand_in_interval(*, rank: int, settings: CatalogSettings) -> float:
    """Seconds between two reads of a router that has to read."""
    if rank < settings.pollers_per_domain:
        return settings.poll_interval
    return max(settings.poll_interval, settings.stand_in_spacing * rank)


def reads_per_second(
    *, domain_sizes: tuple[int, ...], settings: CatalogSettings, all_stand_in: bool
) -> float:
    """Reads of the change log by the whole fleet.

    Args:
        domain_sizes: Routers in each failure domain.
        settings: How routers follow the records.
        all_stand_in: Whether no router hears of any other.
    """
    return sum(
        1.0 / stand_in_interval(rank=rank, settings=settings)
        for size in domain_sizes
        for rank in range(size)
        if all_stand_in or rank < settings.pollers_per_domain
    )
