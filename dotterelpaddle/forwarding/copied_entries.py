"""Entries that the store lists again after it has come back from a copy.

The copy is some seconds old. It may list an endpoint as ready that has since reported
that it is leaving, or whose entry has since been removed. The endpoint, or the
platform, writes that again within about two seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.model import EndpointState
from dotterelpaddle.forwarding.removals import RECOVERY_HOLD_SECONDS
from dotterelpaddle.forwarding.revisions import StoreRevision
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.leaving import LeavingEndpoints
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.removals import Tombstone
    from dotterelpaddle.ids import EndpointId, EndpointName

log = get_logger(name=__name__)


class CopiedEntries:
    """Withholds endpoints whose entries in a copy are outdated.

    An endpoint that was draining counts as leaving, whatever later entries of the same
    incarnation state: it stops, and only a new incarnation is ready again. One whose
    ready entry had been removed is withheld for a moment; if the entry is written
    again, or is still there afterwards, the endpoint gets requests.

    Args:
        leaving: Records endpoints that are leaving.
        clock: Monotonic clock.
    """

    def __init__(self, *, leaving: LeavingEndpoints, clock: Clock) -> None:
        self._leaving = leaving
        self._clock = clock
        self._withheld: set[EndpointId] = set()
        self._until = float("-inf")
        self._first_revision = StoreRevision(number=Revision(0))

    def begin_era(self, *, earlier: StoreRevision, revision: StoreRevision) -> None:
        """Start the time within which outdated entries are corrected.

        Args:
            earlier: Last known position of the earlier era.
            revision: Position as of which the era's first snapshot holds.
        """
        log.info(
            "store_era_begun",
            era=revision.era,
            revision=revision.number,
            earlier_era=earlier.era,
            earlier=earlier.number,
        )
        self._until = self._clock() + RECOVERY_HOLD_SECONDS
        self._first_revision = revision

    def compare_states(self, *, earlier: EndpointEntry, later: EndpointEntry) -> None:
        """Record an endpoint as leaving if its entry of an earlier era stated it."""
        if (
            earlier.endpoint == later.endpoint
            and earlier.revision.era < later.revision.era
            and earlier.state is EndpointState.DRAINING
            and later.state is EndpointState.READY
        ):
            self._leaving.record_draining(endpoint=later.endpoint)

    def compare_earlier(
        self,
        *,
        entries: Iterable[EndpointEntry],
        known: Mapping[EndpointName, EndpointEntry],
    ) -> None:
        """Learn from entries of an earlier era which endpoints are leaving."""
        for entry in entries:
            later = known.get(entry.name)
            if later is not None:
                self.compare_states(earlier=entry, later=later)

    def check_removed(
        self, *, tombstone: Tombstone | None, entry: EndpointEntry
    ) -> None:
        """Compare an entry that is listed again with its tombstone, if it has one."""
        if tombstone is None or tombstone.revision.era == entry.revision.era:
            return
        self.compare_states(earlier=tombstone.entry, later=entry)
        if tombstone.entry.endpoint == entry.endpoint and not tombstone.held:
            self._withhold(entry=entry)

    def release_rewritten(self, *, entry: EndpointEntry) -> bool:
        """Stop withholding an endpoint that has written its entry again.

        Returns:
            Whether the endpoint was withheld.
        """
        return not self._is_copied(entry=entry) and self.release(entry=entry)

    def release(self, *, entry: EndpointEntry) -> bool:
        """Stop withholding an endpoint.

        Returns:
            Whether the endpoint was withheld.
        """
        was_withheld = entry.endpoint in self._withheld
        self._withheld.discard(entry.endpoint)
        return was_withheld

    def withholds(self, *, entry: EndpointEntry) -> bool:
        """Return whether an endpoint gets no requests at present."""
        return entry.endpoint in self._withheld

    def expire(self) -> bool:
        """Stop withholding endpoints whose entries are still there.

        Returns:
            Whether any endpoint was withheld.
        """
        if not self._withheld or self._clock() < self._until:
            return False
        log.info("endpoints_in_use_again", endpoints=sorted(self._withheld))
        self._withheld.clear()
        return True

    def _withhold(self, *, entry: EndpointEntry) -> None:
        """Withhold an endpoint whose entry was removed in an earlier era."""
        if not self._is_copied(entry=entry) or self._clock() >= self._until:
            return
        self._withheld.add(entry.endpoint)
        log.info(
            "endpoint_withheld",
            endpoint=entry.endpoint,
            era=entry.revision.era,
            revision=entry.revision.number,
        )

    def _is_copied(self, *, entry: EndpointEntry) -> bool:
        """Return whether an entry may be older than the store's return."""
        return entry.revision <= self._first_revision
