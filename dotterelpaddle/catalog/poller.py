"""Reads the platform's change log when this router has to."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.catalog.delta import Delta
from dotterelpaddle.catalog.log_reader import LogReader
from dotterelpaddle.catalog.store import Source
from dotterelpaddle.exceptions import PlatformError
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Table
    from dotterelpaddle.catalog.context import CatalogContext
    from dotterelpaddle.catalog.exchange import Exchange

log = get_logger(name=__name__)

LONGEST_WAIT = 0.25
"""Seconds between looks whether a read is due, as the view may have changed."""

SLOW_READ = 1.0
"""Seconds after which a read that is not answered counts as stuck."""

PAUSE = 2.0
"""Seconds without a look after which the process must have stood still."""

SPREAD_DELAY = 0.1
"""Seconds, times the rank, that a poller leaves others to spread a change."""

COMPARE_INTERVAL = 30.0
"""Seconds between two reads of the whole log after a divergence, at least."""


class Poller:
    """Follows the platform's change log.

    Args:
        context: State and resources of the catalog.
        table: The platform's records table.
        exchange: Tells other routers of what was read.
    """

    def __init__(
        self, *, context: CatalogContext, table: Table, exchange: Exchange
    ) -> None:
        self._table = table
        self._reader = LogReader(table=table, page_limit=context.settings.page_limit)
        self._store = context.store
        self._exchange = exchange
        self._schedule = context.schedule
        self._topology = context.topology
        self._counters = context.counters
        self._settings = context.settings
        self._clock = context.clock
        self._reachable = True
        self._reading_since: float | None = None
        self._compared_at: float | None = None

    @property
    def reachable(self) -> bool:
        """Whether the last read was answered."""
        return self._reachable

    def is_stuck(self, *, now: float) -> bool:
        """Tell whether the platform fails to answer or takes long to."""
        since = self._reading_since
        return not self._reachable or (since is not None and now - since > SLOW_READ)

    async def run(self) -> None:
        """Read whenever it is due."""
        looked_at = self._clock()
        while True:
            now = self._clock()
            if now - looked_at > PAUSE:
                log.warning("catalog_paused", seconds=now - looked_at)
                self._schedule.note_pause(now=now)
            looked_at = now
            due = self._schedule.next_read(place=self._topology.place, now=now)
            if due > now:
                await anyio.sleep(min(LONGEST_WAIT, due - now))
                continue
            await self.poll()
            looked_at = self._clock()

    async def poll(self) -> None:
        """Read the change log up to its head and take in what is new."""
        started = self._clock()
        self._schedule.note_start(now=started)
        self._reading_since = started
        try:
            if self._must_compare(now=started):
                await self._compare(now=started)
            else:
                await self._read_new()
        except PlatformError as error:
            self._note_failure(error=error)
            return
        finally:
            self._reading_since = None
        self._reachable = True
        self._counters.polls.inc({"result": "done"})
        self._schedule.note_success(started=started)
        self._store.set_ready(source=Source.PLATFORM)

    async def _read_new(self) -> None:
        before = self._store.revision
        delta = await self._reader.read(base=before)
        known = self._store.revision
        self._store.apply(delta=delta, source=Source.PLATFORM)
        if self._store.revision > known:
            self._schedule.note_revision(now=self._clock())
            if before and self._topology.is_poller:
                self._spread(base=known)

    async def _compare(self, *, now: float) -> None:
        """Replace what is held by all that the platform has."""
        self._compared_at = now
        reader = LogReader(table=self._table, page_limit=self._settings.page_limit)
        delta = await reader.read(base=Revision(0))
        self._store.apply(delta=replace(delta, full=True), source=Source.PLATFORM)
        self._exchange.clear_divergence()

    def _must_compare(self, *, now: float) -> bool:
        if not self._exchange.diverged:
            return False
        return self._compared_at is None or now - self._compared_at > COMPARE_INTERVAL

    def _spread(self, *, base: Revision) -> None:
        """Tell those who don't read, the first poller sooner than the others."""
        delta = Delta(base=base, head=self._store.revision, entries=())
        delay = SPREAD_DELAY * (1 + self._topology.place.rank)
        self._exchange.spread_near(delta=delta, delay=delay)

    def _note_failure(self, *, error: PlatformError) -> None:
        self._counters.polls.inc({"result": "failed"})
        self._schedule.note_failure()
        if self._reachable:
            log.warning("catalog_platform_unreachable", error=str(error))
        self._reachable = False
