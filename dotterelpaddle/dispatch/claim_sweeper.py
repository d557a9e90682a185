"""Deletes claims that have expired, a bounded number at a time.

The table's change log is in order of revision and so roughly of age. A row of
the same table keeps how far it has been swept; each round moves it on in the
same transaction that deletes, so that routers which sweep at the same moment
don't do the work twice.
"""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.backing.interface import ChangePage, Row, Transaction, Write
from dotterelpaddle.dispatch.claims import decode_claim
from dotterelpaddle.exceptions import PlatformError
from dotterelpaddle.ids import AttemptId, Revision
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dotterelpaddle.backing.interface import Table

log = get_logger(name=__name__)

CURSOR_KEY = "sweep"
"""Row of the cursor; claims' keys have slashes, so none can clash."""

PAGE = 256
"""Rows looked at, and deleted at most, in one round."""

IDLE_INTERVAL = 60.0
"""Mean seconds between rounds of one router while little has expired."""

BUSY_INTERVAL = 1.0
"""Seconds between rounds while pages are full."""


class ClaimSweeper:
    """Deletes expired claims; `run` must run as a task.

    Args:
        table: The platform's table of claims.
        generator: Source of jitter.
        wall_clock: Source of time since the epoch.
    """

    def __init__(
        self,
        *,
        table: Table,
        generator: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._generator = generator
        self._wall_clock = wall_clock
        self._deleted = 0

    @property
    def deleted(self) -> int:
        """Claims deleted by this router."""
        return self._deleted

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            full = False
            try:
                full = await self.sweep()
            except PlatformError as error:
                log.debug("sweep_failed", cause=error.message)
            wait = BUSY_INTERVAL if full else IDLE_INTERVAL
            await anyio.sleep(wait * self._generator.uniform(0.5, 1.5))

    async def sweep(self) -> bool:
        """Do one round.

        Returns:
            Whether there is more to do at once.

        Raises:
            PlatformError: If the table can't be used, or another router was
                faster.
        """
        cursor = await self._cursor()
        after = Revision(int(cursor.value or b"0")) if cursor else Revision(0)
        page = await self._table.changes(after=after, limit=PAGE)
        swept, expired = self._expired(page=page, after=after)
        passed = swept > after
        if expired or (passed and len(page.rows) >= PAGE // 2):
            await self._delete(rows=expired, cursor=cursor, swept=swept)
        return passed and not page.complete

    async def _cursor(self) -> Row | None:
        rows = await self._table.read(keys=(CURSOR_KEY,))
        return rows[0] if rows else None

    def _expired(
        self, *, page: ChangePage, after: Revision
    ) -> tuple[Revision, list[Row]]:
        """Return how far the page may be passed, and what to delete on the way."""
        now = self._wall_clock()
        expired: list[Row] = []
        swept = after
        for row in page.rows:
            if row.key != CURSOR_KEY and row.value is not None:
                if _expires_at(row=row) > now:
                    return Revision(row.revision - 1), expired
                expired.append(row)
            swept = row.revision
        return swept, expired

    async def _delete(
        self, *, rows: list[Row], cursor: Row | None, swept: Revision
    ) -> None:
        expected = cursor.revision if cursor else Revision(0)
        writes = [Write(key=CURSOR_KEY, expected=expected, value=str(swept).encode())]
        for row in rows:
            writes.append(Write(key=row.key, expected=row.revision, value=None))
        attempt = AttemptId(uuid.uuid4().hex)
        await self._table.transact(
            transaction=Transaction(attempt=attempt, writes=tuple(writes))
        )
        self._deleted += len(rows)
        if rows:
            log.info("claims_expired", count=len(rows), swept=swept)


def _expires_at(*, row: Row) -> float:
    """Return when a row expires; one that nobody can read has no use."""
    assert row.value is not None
    try:
        return decode_claim(content=row.value).expires_at
    except PlatformError:
        return 0.0
