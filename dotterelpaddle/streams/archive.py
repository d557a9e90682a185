"""Keeps records of streams in the platform's store, where they outlive all routers.

One router writes for all, and only while a service has several software versions: with
one version any endpoint may continue a stream. It also writes which versions there
are, so that routers which all start anew know as much. Routers read the rows only for
a stream that none of them knows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import anyio

from dotterelpaddle.exceptions import ControlError, PlatformError
from dotterelpaddle.logs import get_logger
from dotterelpaddle.streams.rows import (
    VERSIONS_KEY,
    VersionsRow,
    decode_records_row,
    decode_versions_row,
    encode_records_row,
    encode_versions_row,
    records_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import EndpointsUpdate
    from dotterelpaddle.forwarding.model import FleetConfiguration
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import (
        EndpointName,
        ServiceName,
        SoftwareVersion,
        StoreEra,
    )
    from dotterelpaddle.streams.origins import StreamOrigins, StreamRecord
    from dotterelpaddle.streams.route_history import RouteHistory
    from dotterelpaddle.streams.version_history import VersionHistory

log = get_logger(name=__name__)

WRITE_INTERVAL_SECONDS = 0.15
"""Seconds between two writes. Streams that began since the last one are forgotten if
all routers are lost."""

ROLE_CHECK_SECONDS = 0.6
"""Seconds after which a router that does not write checks whether it has to."""

REWRITE_SECONDS = 7.0
"""Seconds after which the versions are written again without a change. The row tells
nothing once the store has discarded the changes since then; it keeps them for twenty
seconds, of which the loss of all routers takes some. The store may also have come back
from an older copy."""

MIN_READ_INTERVAL_SECONDS = 0.3

FAILURE_COOLDOWN_SECONDS = 1.0
"""Seconds after a failed call in which no request waits for another one."""

MAX_RECORDS_PER_ROW = 500
"""Records in one row, about 20 KB."""

MAX_ENDPOINTS_PER_ROW = 2_000
"""Endpoints that the row of versions names, about 30 KB. A row without them is complete
only while no endpoint leaves."""

MAX_CHANGED_ROUTES_PER_ROW = 300
"""Routes in the row of versions, about 15 KB. A row of more changes says nothing of
routes."""


class StreamStore(Protocol):
    """The rows of the platform's store that belong to the streams of this fleet."""

    @property
    def era(self) -> StoreEra | None:
        """Latest era that an answer of the store has named, None before any answer."""

    async def stream_rows(self) -> dict[str, bytes]:
        """Read all rows.

        Raises:
            PlatformError: If the store returns no usable answer in time.
        """

    async def put_stream_rows(self, *, rows: Mapping[str, bytes]) -> None:
        """Write some rows, all or none.

        Raises:
            PlatformError: If the store does not confirm them in time.
        """

    async def endpoints_after(
        self, *, after: StoreRevision, wait: float
    ) -> EndpointsUpdate:
        """Wait up to `wait` seconds for changes of the endpoints' entries.

        Raises:
            HistoryLost: If the store no longer has the single changes.
            PlatformError: If the store returns no usable answer in time.
        """


class StreamArchive:
    """Writes records of streams to the platform's store, and reads them.

    Args:
        store: Keeps the rows; None to keep none.
        origins: Known origins of streams.
        history: Versions that this router has seen.
        routes: Routes of streams that led elsewhere recently.
        view: Provides the services whose streams may be resumed.
        first_start: Whether this router was told that the whole fleet starts for the
            first time.
        is_writer: Returns whether this router writes for all.
        store_clock: Estimates the clock of the store.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        store: StreamStore | None,
        origins: StreamOrigins,
        history: VersionHistory,
        routes: RouteHistory,
        view: FleetView,
        first_start: bool,
        is_writer: Callable[[], bool],
        store_clock: StoreClock,
        clock: Clock,
    ) -> None:
        self._store = store
        self._origins = origins
        self._history = history
        self._routes = routes
        self._view = view
        self._trusts_first_start = first_start
        self._is_writer = is_writer
        self._store_clock = store_clock
        self._clock = clock
        self._configuration: FleetConfiguration | None = None
        self._services: tuple[ServiceName, ...] = ()
        self._read_lock = anyio.Lock()
        self._read_at = float("-inf")
        self._written_count = 0
        self._written_versions: VersionsRow | None = None
        self._versions_written_at = float("-inf")
        self._has_recalled = False
        self._checked: dict[StoreRevision, bool] = {}
        self._failing = False
        self._failed_at = float("-inf")

    async def run(self) -> None:
        """Write what is due until cancelled."""
        if self._store is None:
            return
        # Each router takes itself for the one that writes until it hears of others.
        await anyio.sleep(ROLE_CHECK_SECONDS)
        while True:
            if not self._is_writer():
                self._begin_term()
                await anyio.sleep(ROLE_CHECK_SECONDS)
                continue
            await anyio.sleep(WRITE_INTERVAL_SECONDS)
            try:
                await self._write_due(store=self._store)
                self._failing = False
            except PlatformError as error:
                self._log_failure(error=error)

    async def read(self) -> bool:
        """Add what the store has, unless it has just been read.

        Returns:
            Whether the store has answered.
        """
        if self._store is None:
            return True
        called_at = self._clock()
        async with self._read_lock:
            if self._clock() - self._failed_at < FAILURE_COOLDOWN_SECONDS:
                return False
            if self._read_at >= called_at - MIN_READ_INTERVAL_SECONDS:
                return True
            self._read_at = self._clock()
            try:
                rows = await self._store.stream_rows()
            except PlatformError as error:
                self._log_failure(error=error)
                return False
            self._failing = False
            await self._apply(rows=rows)
            return True

    def _begin_term(self) -> None:
        """Prepare for writing everything again: another router writes at present."""
        self._written_count = 0
        self._written_versions = None
        self._has_recalled = False

    async def _write_due(self, *, store: StreamStore) -> None:
        if not self._has_recalled:
            # An earlier writer may have known more.
            self._has_recalled = await self.read()
        versions = self._versions_due() if self._has_recalled else None
        rows = (
            {}
            if versions is None
            else {VERSIONS_KEY: encode_versions_row(row=versions)}
        )
        time = self._store_clock.earliest_time()
        records: list[StreamRecord] = []
        count = self._written_count
        if time is not None:
            records, count = self._records_due()
            rows.update(_records_rows(records=records, time=time))
        if not rows:
            return
        await store.put_stream_rows(rows=rows)
        self._written_count = count
        if versions is not None:
            self._written_versions = versions
            self._versions_written_at = self._clock()
            log.info("stream_versions_archived", records=len(records))

    @property
    def _is_complete(self) -> bool:
        """Whether this router knows all versions and routes of today's streams."""
        covers = self._history.covers
        return self._routes.is_complete and all(
            covers(service=service) for service in self._resumable_services
        )

    def _versions_due(self) -> VersionsRow | None:
        """Return the row with the versions if it is due.

        A router that has not seen all versions yet writes none.
        """
        assert self._store is not None
        revision = self._view.endpoints_revision
        if not self._is_complete or revision is None:
            return None
        if revision.era != self._store.era:
            return None
        names = frozenset(entry.name for entry in self._view.entries)
        changed = self._routes.changed
        tells_routes = len(changed) <= MAX_CHANGED_ROUTES_PER_ROW
        row = VersionsRow(
            versions=self._versions(),
            revision=revision,
            endpoints=names if len(names) <= MAX_ENDPOINTS_PER_ROW else frozenset(),
            routes=self._routes.digest if tells_routes else None,
            changed_routes=changed if tells_routes else frozenset(),
        )
        return row if self._is_news(row=row) else None

    def _is_news(self, *, row: VersionsRow) -> bool:
        """Tell whether a row has more than the one written last, or that one is old."""
        written = self._written_versions
        if written is None or written.revision is None or row.revision is None:
            return True
        return (
            row.versions != written.versions
            or row.routes != written.routes
            or row.changed_routes != written.changed_routes
            or row.revision.era != written.revision.era
            or not row.endpoints <= written.endpoints
            or self._clock() - self._versions_written_at >= REWRITE_SECONDS
        )

    def _versions(self) -> dict[ServiceName, frozenset[SoftwareVersion]]:
        """Return the recent versions of the services with streams to resume."""
        recent = self._history.recent
        return {
            service: recent(service=service) for service in self._resumable_services
        }

    @property
    def _resumable_services(self) -> tuple[ServiceName, ...]:
        """Services to which routes with resumable streams lead."""
        configuration = self._view.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._services = (
                () if configuration is None else configuration.resumable_services
            )
        return self._services

    def _records_due(self) -> tuple[list[StreamRecord], int]:
        """Return the records to write, and the count of all records until then."""
        if all(len(versions) < 2 for versions in self._versions().values()):
            return [], 0
        return self._origins.added_after(count=self._written_count)

    async def _apply(self, *, rows: Mapping[str, bytes]) -> None:
        known = self._origins.count
        for key, row in rows.items():
            try:
                if key == VERSIONS_KEY:
                    await self._apply_versions(row=decode_versions_row(row=row))
                else:
                    self._origins.receive(
                        records=decode_records_row(row=row), forward=False
                    )
            except ControlError as error:
                log.warning("stream_row_unusable", key=key, cause=error.message)
        log.info(
            "streams_recalled",
            rows=len(rows),
            records=self._origins.count - known,
            versions=VERSIONS_KEY in rows,
        )

    async def _apply_versions(self, *, row: VersionsRow) -> None:
        """Add archived versions."""
        if self._trusts_first_start:
            self._trusts_first_start = False
            self._history.count_from_now()
            self._routes.count_from_now()
            log.warning("first_start_doubted", services=sorted(row.versions))
        is_complete = not self._is_complete and await self._is_up_to_date(row=row)
        self._history.restore(versions=row.versions, is_complete=is_complete)
        self._routes.restore(
            digest=row.routes if is_complete else None, changed=row.changed_routes
        )

    async def _is_up_to_date(self, *, row: VersionsRow) -> bool:
        """Tell whether no version has come and gone since a row was written.

        The writer may have been behind, or unable to write. A store that has come back
        from a copy has lost what was written last, also of versions that came since.
        """
        assert self._store is not None
        if row.revision is None or row.revision.era != self._store.era:
            return False
        if row.revision not in self._checked:
            unseen = await self._unseen_since(row=row, revision=row.revision)
            if unseen is None:
                return False
            self._checked = {row.revision: not unseen}
        return self._checked[row.revision]

    async def _unseen_since(
        self, *, row: VersionsRow, revision: StoreRevision
    ) -> frozenset[EndpointName] | None:
        """Return the endpoints that have left since a row without being in it.

        None if the store can't tell.
        """
        assert self._store is not None
        try:
            changes = await self._store.endpoints_after(after=revision, wait=0.0)
        except PlatformError as error:
            log.warning(
                "endpoints_since_row_unknown", cause=error.message, peer=error.peer
            )
            return None
        unseen = changes.removed.keys() - row.endpoints
        if unseen:
            log.warning("endpoints_came_and_went", endpoints=sorted(unseen))
        return frozenset(unseen)

    def _log_failure(self, *, error: PlatformError) -> None:
        if not self._failing:
            log.warning("stream_archive_failing", cause=error.message, peer=error.peer)
        self._failing = True
        self._failed_at = self._clock()


def _records_rows(*, records: list[StreamRecord], time: StoreTime) -> dict[str, bytes]:
    """Return the rows of one write, by their keys.

    Args:
        records: The records.
        time: When the rows are written.
    """
    return {
        records_key(
            time=time, interval=WRITE_INTERVAL_SECONDS, part=first
        ): encode_records_row(records=records[first : first + MAX_RECORDS_PER_ROW])
        for first in range(0, len(records), MAX_RECORDS_PER_ROW)
    }
