"""Endpoints that are leaving although their entries do not state it.

They have reported it in an answer, while the store is slow or unavailable for many
seconds, or their entries stated it before the store came back from a copy. A report
concerns one incarnation of an endpoint. No entry revokes it, and it does not apply to
any other incarnation at the address.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.report_state import ReportState
from dotterelpaddle.forwarding.store_clock import StoreClock
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.store_clock import StoreTime
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)

SERVE_MARGIN_SECONDS = 0.3
"""Seconds before the end of its serve time from which a leaving endpoint gets no
requests: connecting and sending take a part of that time."""

RETENTION_SECONDS = 600.0
"""Seconds for which records stay; the endpoints have stopped long before."""

MAX_NOTICES_PER_REPORT = 16
"""Maximum number of notices in one report to other routers, 0.5 KB."""

RESEND_INTERVAL_SECONDS = 2.0
"""Seconds until notices are sent again, for routers that were partitioned or have just
started."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingNotice:
    """A notice to other routers that an endpoint is leaving.

    Attributes:
        endpoint: Id of the incarnation that reported it.
        since: When a router first received the report, None if unknown.
        age: Seconds since then as the sender believes, for routers of earlier releases:
            an age loses the time that a notice spends on its way.
    """

    endpoint: EndpointId
    since: StoreTime | None
    age: float


@dataclass(kw_only=True, slots=True)
class _LeavingRecord:
    at: float
    since: StoreTime | None
    report_state: ReportState = field(default_factory=ReportState)


class LeavingEndpoints:
    """Tracks endpoints that are leaving although their entries do not state it.

    Args:
        clock: Monotonic clock.
        store_clock: Measures the age of other routers' notices.
        serve_time: Seconds for which an endpoint still serves after its report.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store_clock: StoreClock | None = None,
        serve_time: float = 2.0,
    ) -> None:
        self._clock = clock
        self._store_clock = store_clock or StoreClock(clock=clock)
        self._serve_time = serve_time
        self._records: dict[EndpointId, _LeavingRecord] = {}

    @property
    def serve_time(self) -> float:
        """Seconds for which an endpoint still serves after it begins to leave."""
        return self._serve_time

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._records

    def record(self, *, endpoint: EndpointId) -> None:
        """Record that an endpoint reported in an answer that it is leaving."""
        record = _LeavingRecord(
            at=self._clock(), since=self._store_clock.earliest_time()
        )
        self._add(endpoint, record, source="endpoint")

    def record_draining(self, *, endpoint: EndpointId) -> None:
        """Record that an endpoint's entry stated earlier that it is leaving.

        When it stated that is not known, so that the endpoint gets no more requests.
        """
        record = _LeavingRecord(at=self._clock() - self._serve_time, since=None)
        self._add(endpoint, record, source="entry")

    def receive(self, *, notices: Iterable[LeavingNotice]) -> None:
        """Process the notices of another router.

        An endpoint gets nothing more if this router can't tell since when it leaves.
        """
        now = self._clock()
        for notice in notices:
            age = min(self._store_clock.age(of=notice.since), self._serve_time)
            record = _LeavingRecord(at=now - age, since=notice.since)
            self._add(notice.endpoint, record, source="router")

    def exclude_leaving(
        self, *, entries: Iterable[EndpointEntry]
    ) -> tuple[EndpointEntry, ...]:
        """Return the entries of endpoints that are not leaving."""
        if not self._records:
            return tuple(entries)
        return tuple(each for each in entries if each.endpoint not in self._records)

    def still_serving(
        self, *, entries: Iterable[EndpointEntry]
    ) -> tuple[EndpointEntry, ...]:
        """Leaving endpoints that may still get requests if no other is left."""
        earliest = self._clock() - self._serve_time + SERVE_MARGIN_SECONDS
        return tuple(
            each
            for each in entries
            if (record := self._records.get(each.endpoint)) is not None
            and record.at > earliest
        )

    def take_due_notices(self) -> tuple[LeavingNotice, ...]:
        """Return the notices for the next report to other routers, the latest first."""
        now = self._clock()
        self._expire(now=now)
        due = [
            (endpoint, record)
            for endpoint, record in self._records.items()
            if record.report_state.is_due(now=now, interval=RESEND_INTERVAL_SECONDS)
        ]
        reported = _latest(due)
        for _, record in reported:
            record.report_state.mark_reported(now=now)
        return self._notices(reported)

    def notices_for_new_router(self) -> tuple[LeavingNotice, ...]:
        """Return the notices for a router that has just started and knows none."""
        self._expire(now=self._clock())
        return self._notices(_latest(list(self._records.items())))

    def _notices(
        self, records: list[tuple[EndpointId, _LeavingRecord]]
    ) -> tuple[LeavingNotice, ...]:
        now = self._clock()
        return tuple(
            LeavingNotice(endpoint=endpoint, since=record.since, age=now - record.at)
            for endpoint, record in records
        )

    def _add(
        self, endpoint: EndpointId, record: _LeavingRecord, *, source: str
    ) -> None:
        if endpoint in self._records:
            return
        self._records[endpoint] = record
        log.info(
            "endpoint_leaving",
            endpoint=endpoint,
            told_by=source,
            seconds_ago=round(self._clock() - record.at, 3),
        )

    def _expire(self, *, now: float) -> None:
        for endpoint, record in tuple(self._records.items()):
            if now - record.at > RETENTION_SECONDS:
                del self._records[endpoint]


def _latest(
    records: list[tuple[EndpointId, _LeavingRecord]],
) -> list[tuple[EndpointId, _LeavingRecord]]:
    """Return the latest records, as many as fit into a report."""
    latest = sorted(records, key=lambda item: item[1].at, reverse=True)
    return latest[:MAX_NOTICES_PER_REPORT]
