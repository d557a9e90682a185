"""Keeps what was learned of endpoints in the platform's store, beyond all routers.

That is what crashes them, and which services have brittle ones.

One router writes for all, and reads what an earlier one wrote when it takes over. It
tells the others with its reports.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import ControlError, PlatformError
from dotterelpaddle.logs import get_logger
from dotterelpaddle.peers import brittle_rows, crash_rows
from dotterelpaddle.peers.learned_rows import LearnedRows

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.crashes.note import CrashNote
    from dotterelpaddle.crashes.tracker import CrashTracker
    from dotterelpaddle.forwarding.brittle import BrittleEndpoints
    from dotterelpaddle.forwarding.startup import Startup
    from dotterelpaddle.forwarding.store_clock import StoreClock
    from dotterelpaddle.ids import ServiceName, StoreEra
    from dotterelpaddle.peers.learned_rows import LearnedStore

log = get_logger(name=__name__)

CLOCK_INTERVAL_SECONDS = 0.005
"""Seconds between two checks whether the store's time is known, right after a start."""

CHECK_INTERVAL_SECONDS = 0.2
"""Seconds between two checks. What was blocked since the last one is forgotten if all
routers are lost."""

MAX_CRASHES = 300
"""Crashes in the row, 20 KB."""

FAILURE_COOLDOWN_SECONDS = 1.0
"""Seconds after a failed call until the next one."""


class CrashArchive:
    """Writes what is blocked to the platform's store, and reads it.

    Args:
        store: Keeps the row; None to keep none.
        crashes: Requests and prompt parts that crash endpoints.
        brittle: Services whose endpoints end if they reject too many requests.
        is_writer: Returns whether this router writes for all.
        store_clock: Estimates the clock of the store.
        recall: Lets the first requests wait until the row has been read.
    """

    def __init__(
        self,
        *,
        store: LearnedStore | None,
        crashes: CrashTracker,
        brittle: BrittleEndpoints,
        is_writer: Callable[[], bool],
        store_clock: StoreClock,
        recall: Startup,
    ) -> None:
        self._store = store
        self._crashes = crashes
        self._brittle = brittle
        self._is_writer = is_writer
        self._store_clock = store_clock
        self._recall_startup = recall
        self._has_recalled = False
        self._era: StoreEra | None = None
        self._failing = False
        self._written: frozenset[object] = frozenset()
        self._written_limits: dict[ServiceName, int] = {}

    async def run(self) -> None:
        """Read and write what is due until cancelled."""
        if self._store is None:
            return
        await self._recall_first(store=self._store)
        while True:
            try:
                await self._synchronize(store=self._store)
                self._failing = False
            except PlatformError as error:
                self._log_failure(error=error)
                await anyio.sleep(FAILURE_COOLDOWN_SECONDS)
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def _recall_first(self, *, store: LearnedStore) -> None:
        """Read the row before the first request; all other routers may be new too."""
        if self._recall_startup.has_ended:
            return
        while (time := self._store_clock.earliest_time()) is None:
            await anyio.sleep(CLOCK_INTERVAL_SECONDS)
        try:
            await self._recall(store=store, era=time.era)
        except PlatformError as error:
            self._log_failure(error=error)
        self._recall_startup.end()

    def _log_failure(self, *, error: PlatformError) -> None:
        if not self._failing:
            log.warning("crash_archive_failing", cause=error.message, peer=error.peer)
        self._failing = True

    async def _synchronize(self, *, store: LearnedStore) -> None:
        time = self._store_clock.earliest_time()
        if not self._is_writer():
            self._has_recalled = False
        elif time is not None:
            # A store that has come back from a copy may lack what was written last.
            if not self._has_recalled or time.era != self._era:
                await self._recall(store=store, era=time.era)
            await self._write_limits(store=store)
            await self._write_changes(store=store)

    async def _recall(self, *, store: LearnedStore, era: StoreEra) -> None:
        """Add what an earlier writer knew in an era of the store."""
        rows = await store.learned_rows()
        self._has_recalled, self._era = True, era
        self._written, self._written_limits = frozenset(), {}
        if rows.brittle is not None:
            self._recall_limits(row=rows.brittle)
        if rows.crashes is not None:
            self._recall_crashes(row=rows.crashes)

    def _recall_limits(self, *, row: bytes) -> None:
        try:
            limits = brittle_rows.decode_row(row=row)
        except ControlError as error:
            log.warning("brittle_row_unusable", cause=error.message)
            return
        self._written_limits = limits
        self._brittle.recall(limits=limits)

    def _recall_crashes(self, *, row: bytes) -> None:
        try:
            notes = crash_rows.decode_row(row=row, store_clock=self._store_clock)
        except ControlError as error:
            log.warning("crash_row_unusable", cause=error.message)
            return
        self._written = _crashes_in(notes)
        self._crashes.receive(notes=notes, forward=True)
        log.info("crashes_recalled", crashes=len(notes))

    async def _write_limits(self, *, store: LearnedStore) -> None:
        limits = dict(self._brittle.service_limits)
        if limits == self._written_limits:
            return
        row = brittle_rows.encode_row(limits=limits)
        await store.put_learned_rows(rows=LearnedRows(brittle=row))
        self._written_limits = limits
        log.info("brittle_services_archived", services=sorted(limits))

    async def _write_changes(self, *, store: LearnedStore) -> None:
        if self._crashes.settled_causes != self._crashes.causes:
            return
        notes = self._crashes.notes_of_causes()[:MAX_CRASHES]
        crashes = _crashes_in(notes)
        time = self._store_clock.earliest_time()
        if crashes == self._written or time is None:
            return
        row = crash_rows.encode_row(notes=notes, time=time)
        await store.put_learned_rows(rows=LearnedRows(crashes=row))
        self._written = crashes
        log.info("crashes_archived", crashes=len(notes))


def _crashes_in(notes: list[CrashNote]) -> frozenset[object]:
    """Return what tells whether notes name the same crashes as others."""
    return frozenset((note.subject, note.endpoint) for note in notes)
