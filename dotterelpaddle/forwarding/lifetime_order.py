"""Orders the lifetimes of an endpoint by their starts, and by who goes on writing.

An endpoint names its start by its own clock, which may have been set back meanwhile. A
row with an earlier start that the store got later may also be a delayed write of a
process that has ended; such a process does not go on writing.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.removals import Tombstone
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import EndpointName, Incarnation

log = get_logger(name=__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Rival:
    """The last row of a lifetime that is not in force.

    Attributes:
        incarnation: The lifetime.
        revision: Revision of the row.
    """

    incarnation: Incarnation
    revision: StoreRevision


class LifetimeOrder:
    """Decides which rows of endpoints replace the entries in force."""

    def __init__(self) -> None:
        self._ended: dict[EndpointName, Incarnation] = {}
        self._rivals: dict[EndpointName, _Rival] = {}

    def is_later(self, *, known: EndpointEntry, entry: EndpointEntry) -> bool:
        """Return whether a row replaces the entry in force of its endpoint.

        Args:
            known: The entry in force.
            entry: The row.
        """
        if entry.incarnation == known.incarnation:
            return entry.revision > known.revision
        if self._starts_later(known=known, entry=entry):
            return True
        return self._goes_on(known=known, entry=entry)

    def is_after(self, *, tombstone: Tombstone, entry: EndpointEntry) -> bool:
        """Return whether a row is later than the removal of the entry of its endpoint.

        Args:
            tombstone: The removed entry.
            entry: The row.
        """
        if entry.revision <= tombstone.revision:
            return False
        known = replace(tombstone.entry, revision=tombstone.revision)
        return self.is_later(known=known, entry=entry)

    def record(self, *, known: EndpointEntry | None, entry: EndpointEntry) -> None:
        """Record that a row is in force.

        Args:
            known: The entry that was in force, None if there was none.
            entry: The row.
        """
        name = entry.name
        self._rivals.pop(name, None)
        if known is None or known.incarnation == entry.incarnation:
            return
        if known.incarnation > entry.incarnation:
            log.warning(
                "endpoint_clock_set_back",
                endpoint=entry.endpoint,
                earlier=known.endpoint,
                revision=entry.revision.number,
            )
        self._ended[name] = known.incarnation

    def forget(self, *, name: EndpointName) -> None:
        """Forget an endpoint whose entry is removed."""
        self._ended.pop(name, None)
        self._rivals.pop(name, None)

    def _starts_later(self, *, known: EndpointEntry, entry: EndpointEntry) -> bool:
        has_ended = self._ended.get(entry.name) == entry.incarnation
        return entry.incarnation > known.incarnation and not has_ended

    def _goes_on(self, *, known: EndpointEntry, entry: EndpointEntry) -> bool:
        """Return whether a lifetime writes again, with nothing of the other between."""
        same_era = entry.revision.era == known.revision.era
        if not same_era or entry.revision <= known.revision:
            return False
        rival = self._rivals.get(entry.name)
        if rival is not None and rival.incarnation == entry.incarnation:
            return entry.revision > rival.revision
        self._rivals[entry.name] = _Rival(
            incarnation=entry.incarnation, revision=entry.revision
        )
        return False
