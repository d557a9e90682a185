"""Reads a range of the platform's change log, page by page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.catalog.delta import Delta, Entry, entries_of
from dotterelpaddle.ids import Revision

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import ChangePage, Table

LARGEST_PAGE = 1_000_000
"""Rows asked at most, when one transaction is larger than a page."""


class LogReader:
    """Reads everything after a revision as one delta.

    The log keeps only the newest row of a key, so a row that is on none of the
    first pages may have moved to a later one. Hence nothing is known as a whole
    before the last page is read. A read that fails is taken up where it stopped.

    Args:
        table: The table to read.
        page_limit: Rows asked at a time.
    """

    def __init__(self, *, table: Table, page_limit: int) -> None:
        self._table = table
        self._page_limit = page_limit
        self._base: Revision | None = None
        self._cursor = Revision(0)
        self._entries: list[Entry] = []

    async def read(self, *, base: Revision) -> Delta:
        """Read up to the head of the log.

        Args:
            base: Where to begin; ignored if an earlier read is taken up.

        Raises:
            PlatformError: If a page can't be had.
        """
        if self._base is None:
            self._base = self._cursor = base
        limit = self._page_limit
        while True:
            page = await self._table.changes(after=self._cursor, limit=limit)
            self._entries.extend(entries_of(rows=page.rows))
            if page.complete:
                return self._finish(head=page.head)
            limit = self._advance(page=page, limit=limit)

    def _advance(self, *, page: ChangePage, limit: int) -> int:
        """Step on, and tell how many rows to ask for next."""
        # The page may have ended between the rows of one transaction.
        last = page.rows[-1].revision - 1 if page.rows else 0
        if last <= self._cursor:
            return min(LARGEST_PAGE, 2 * limit)
        self._cursor = Revision(last)
        return self._page_limit

    def _finish(self, *, head: Revision) -> Delta:
        base = self._base or Revision(0)
        entries = tuple(self._entries)
        self._base = None
        self._entries = []
        return Delta(base=base, head=Revision(max(base, head)), entries=entries)
