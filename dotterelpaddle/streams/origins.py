"""The service and software version that began each stream that a caller may resume.

A caller names the attempt that brought the first event of the stream that it resumes.
The router that passed this event on records where it came from, and tells other routers
with its next reports. Records never change: an attempt has an id of its own.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    import anyio

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import RequestId, ServiceName, SoftwareVersion

log = get_logger(name=__name__)

MAX_STREAM_SECONDS = 60.0
"""Seconds for which a stream may be resumed after its first event. Callers give up
earlier; the bound holds for those that name no deadline."""

MAX_STREAMS = 30_000
"""Streams that a router remembers, about 8 MB; an aggregator of 200 routers knows a
quarter as many."""

REPORTS_PER_STREAM = 2
"""Reports that contain each record; two, because datagrams get lost."""

MAX_STREAMS_PER_REPORT = 150
"""Records in one report, about 4 KB."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """Where the first event of a stream came from.

    Attributes:
        service: Service of the endpoint.
        version: Version of the endpoint's software.
    """

    service: ServiceName
    version: SoftwareVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamRecord:
    """The origin of one stream.

    Attributes:
        stream: Id of the caller's attempt that brought the first event.
        origin: Where that event came from.
        seconds: Seconds for which the caller may still resume the stream. The time
            that a record spends on its way is not counted, which keeps it longer.
    """

    stream: RequestId
    origin: StreamOrigin
    seconds: float


@dataclass(kw_only=True, slots=True)
class _Known:
    """A known origin.

    Attributes:
        origin: The origin.
        until: When it expires, seconds on the monotonic clock.
        number: Number of the record in the order in which records became known.
    """

    origin: StreamOrigin
    until: float
    number: int


class StreamOrigins:
    """Records the origins of streams.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[RequestId, _Known] = {}
        self._added = 0
        self._own_reports_left: dict[RequestId, int] = {}
        self._forwarded_reports_left: dict[RequestId, int] = {}
        self._watchers: dict[RequestId, list[anyio.Event]] = {}

    @property
    def count(self) -> int:
        """Number of streams whose origin is known."""
        return len(self._known)

    def find(self, *, stream: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream, None if unknown."""
        known = self._known.get(stream)
        return None if known is None else known.origin

    def find_record(self, *, stream: RequestId) -> StreamRecord | None:
        """Return the record of a stream, None if unknown."""
        return self._record(stream) if stream in self._known else None

    def added_after(self, *, count: int) -> tuple[list[StreamRecord], int]:
        """Return the records that became known later than some number of others.

        Args:
            count: Number of the records that became known first and are left out.

        Returns:
            The records, and the number of all that became known until now.
        """
        added = []
        for stream, known in reversed(self._known.items()):
            if known.number <= count:
                break
            added.append(self._record(stream))
        return added, self._added

    def begin(self, *, record: StreamRecord) -> None:
        """Record a stream whose first event this router is about to pass on."""
        if self._add(record):
            self._own_reports_left[record.stream] = REPORTS_PER_STREAM

    def receive(self, *, records: Iterable[StreamRecord], forward: bool) -> None:
        """Add records of other routers.

        Args:
            records: The records.
            forward: Whether to pass them on to other failure domains.
        """
        for record in records:
            if self._add(record) and forward:
                self._forwarded_reports_left[record.stream] = REPORTS_PER_STREAM

    def take_own(self) -> tuple[StreamRecord, ...]:
        """Return the records of this router for its next reports."""
        return self._take(self._own_reports_left)

    def take_forwarded(self) -> tuple[StreamRecord, ...]:
        """Return the records of its failure domain for the next reports to others."""
        return self._take(self._forwarded_reports_left)

    @contextmanager
    def watch(self, *, stream: RequestId, event: anyio.Event) -> Iterator[None]:
        """Set an event when the origin of a stream becomes known inside the context."""
        watchers = self._watchers.setdefault(stream, [])
        watchers.append(event)
        try:
            yield
        finally:
            watchers.remove(event)
            if not watchers:
                self._watchers.pop(stream, None)

    def expire(self) -> None:
        """Delete the records of streams that no caller can resume any more."""
        now = self._clock()
        expired = [
            stream for stream, known in self._known.items() if known.until <= now
        ]
        for stream in expired:
            del self._known[stream]

    def _add(self, record: StreamRecord) -> bool:
        """Add a record; return whether the stream was unknown."""
        until = self._clock() + min(record.seconds, MAX_STREAM_SECONDS)
        known = self._known.get(record.stream)
        if known is not None:
            known.until = max(known.until, until)
            if known.origin != record.origin:
                log.warning(
                    "stream_origin_contradicted",
                    stream=record.stream,
                    version=known.origin.version,
                    other_version=record.origin.version,
                )
            return False
        if len(self._known) >= MAX_STREAMS:
            oldest = next(iter(self._known))
            del self._known[oldest]
            log.warning("stream_forgotten", stream=oldest, known=MAX_STREAMS)
        self._added += 1
        self._known[record.stream] = _Known(
            origin=record.origin, until=until, number=self._added
        )
        for event in self._watchers.get(record.stream, ()):
            event.set()
        return True

    def _take(self, reports_left: dict[RequestId, int]) -> tuple[StreamRecord, ...]:
        streams = list(islice(reports_left, MAX_STREAMS_PER_REPORT))
        for stream in streams:
            left = reports_left.pop(stream) - 1
            if left:
                reports_left[stream] = left
        return tuple(
            self._record(stream) for stream in streams if stream in self._known
        )

    def _record(self, stream: RequestId) -> StreamRecord:
        known = self._known[stream]
        return StreamRecord(
            stream=stream, origin=known.origin, seconds=known.until - self._clock()
        )
