"""Rows of endpoints that contradict the entries in force.

A row that the store got later than an entry, but from an earlier start of the endpoint,
may be a delayed write of a process that has ended, or the endpoint has started again
with a clock that was set back. The entry stays in force until the other lifetime goes
on writing (`lifetime_order`); if the row names another software version, nobody can
tell until then which of them the endpoint runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import EndpointId, EndpointName

log = get_logger(name=__name__)


class ContradictedEntries:
    """Keeps the rows that name another software version than the entry in force."""

    def __init__(self) -> None:
        self._rows: dict[EndpointName, EndpointEntry] = {}

    @property
    def rows(self) -> tuple[EndpointEntry, ...]:
        """The rows, at most one for each endpoint."""
        return tuple(self._rows.values())

    def endpoints(
        self, *, entries: Mapping[EndpointName, EndpointEntry]
    ) -> frozenset[EndpointId]:
        """Return the endpoints whose software version is unclear.

        Args:
            entries: The entries in force.
        """
        return frozenset(
            entries[name].endpoint for name in self._rows if name in entries
        )

    def rows_since(self, *, revision: StoreRevision) -> tuple[EndpointEntry, ...]:
        """Return the rows that the store got after a revision."""
        return tuple(row for row in self._rows.values() if row.revision > revision)

    def compare(self, *, in_force: EndpointEntry, ignored: EndpointEntry) -> bool:
        """Compare an entry with one of the same endpoint that is not in force.

        Returns:
            Whether it has just become unclear which version the endpoint runs.
        """
        name = in_force.name
        is_later = (
            ignored.revision.era == in_force.revision.era
            and ignored.revision > in_force.revision
        )
        if not is_later or ignored.software_version == in_force.software_version:
            return False
        earlier = self._rows.get(name)
        self._rows[name] = ignored
        if earlier is not None:
            return False
        log.warning(
            "endpoint_version_unclear",
            endpoint=in_force.endpoint,
            version=in_force.software_version,
            other_version=ignored.software_version,
            other_start=ignored.incarnation,
        )
        return True

    def settle(self, *, name: EndpointName, revision: StoreRevision) -> bool:
        """Forget the row of an endpoint if the store got something later.

        Returns:
            Whether there was such a row.
        """
        row = self._rows.get(name)
        if row is None or row.revision > revision:
            return False
        del self._rows[name]
        return True
