"""Endpoints that have said in an answer that they leave.

Their entry says so as well, but later: the store may be slow, or away for many seconds.
What an answer says is of one start of an endpoint. It is never taken back, whatever an
entry says, and counts for no other start at the address.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.report_state import ReportState
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)

SERVE_MARGIN_SECONDS = 0.3
"""Seconds before the end of its time from which a leaving endpoint gets nothing at all:
a connection and the way there take a part of that."""

RETENTION_SECONDS = 600.0
"""Seconds for which it is remembered; endpoints are gone long before."""

MAX_NOTICES_PER_REPORT = 16
"""Endpoints told of in one report, 0.5 KB."""

RESEND_INTERVAL_SECONDS = 2.0
"""Seconds until others are told again, who were cut off or have just started."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingNotice:
    """An endpoint that leaves, as routers tell each other.

    Attributes:
        endpoint: The start of it that said so.
        age: Seconds since a router first heard it.
    """

    endpoint: EndpointId
    age: float


@dataclass(kw_only=True, slots=True)
class _LeavingRecord:
    at: float
    telling: ReportState = field(default_factory=ReportState)


class LeavingEndpoints:
    """Remembers endpoints that have said that they leave.

    Args:
        clock: Monotonic clock.
        serve_time: Seconds for which an endpoint still serves after it has said so.
    """

    def __init__(self, *, clock: Clock, serve_time: float = 2.0) -> None:
        self._clock = clock
        self._serve_time = serve_time
        self._heard: dict[EndpointId, _LeavingRecord] = {}

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._heard

    def record(self, *, endpoint: EndpointId) -> None:
        """Note that an answer said that its endpoint leaves."""
        self._take_in(endpoint, _LeavingRecord(at=self._clock()), told_by="endpoint")

    def receive(self, *, notices: Iterable[LeavingNotice]) -> None:
        """Take in what another router told."""
        now = self._clock()
        for note in notices:
            heard = _LeavingRecord(at=now - note.age)
            self._take_in(note.endpoint, heard, told_by="router")

    def exclude_leaving(
        self, *, entries: Iterable[EndpointEntry]
    ) -> tuple[EndpointEntry, ...]:
        """Leave out the endpoints that leave."""
        if not self._heard:
            return tuple(entries)
        return tuple(each for each in entries if each.endpoint not in self._heard)

    def still_serving(
        self, *, entries: Iterable[EndpointEntry]
    ) -> tuple[EndpointEntry, ...]:
        """Endpoints that leave, and to which requests may go where no other is left."""
        since = self._clock() - self._serve_time + SERVE_MARGIN_SECONDS
        return tuple(
            each
            for each in entries
            if (heard := self._heard.get(each.endpoint)) is not None
            and heard.at > since
        )

    def take_due_notices(self) -> tuple[LeavingNotice, ...]:
        """What to tell in the next report, the latest first."""
        now = self._clock()
        self._forget(now=now)
        due = [
            (endpoint, heard)
            for endpoint, heard in self._heard.items()
            if heard.telling.is_due(now=now, interval=RESEND_INTERVAL_SECONDS)
        ]
        due.sort(key=lambda item: item[1].at, reverse=True)
        for _, heard in due[:MAX_NOTICES_PER_REPORT]:
            heard.telling.mark_reported(now=now)
        return tuple(
            LeavingNotice(endpoint=endpoint, age=now - heard.at)
            for endpoint, heard in due[:MAX_NOTICES_PER_REPORT]
        )

    def _take_in(
        self, endpoint: EndpointId, heard: _LeavingRecord, *, told_by: str
    ) -> None:
        if endpoint in self._heard:
            return
        self._heard[endpoint] = heard
        log.info(
            "endpoint_leaving",
            endpoint=endpoint,
            told_by=told_by,
            seconds_ago=round(self._clock() - heard.at, 3),
        )

    def _forget(self, *, now: float) -> None:
        for endpoint, heard in tuple(self._heard.items()):
            if now - heard.at > RETENTION_SECONDS:
                del self._heard[endpoint]
