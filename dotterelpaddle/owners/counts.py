"""Counts requests in flight at the endpoints of a shard, over all routers.

A grant counts from the moment at which it is given. What routers tell of themselves
replaces what was counted for them, so that lost, doubled and late messages heal.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId, RouterId
    from dotterelpaddle.owners.messages import InFlightReport

REPORT_INTERVAL_SECONDS = 0.5
"""Seconds after which a router with requests in flight tells of them again."""

REPORT_TTL_SECONDS = 1.6
"""Seconds that counts are believed without news: three tellings. A router that has
ended takes its requests with it."""


@dataclass(kw_only=True, slots=True)
class _RouterState:
    """What one router has in flight.

    Attributes:
        report: What it told last.
        received_at: When that came, seconds on the monotonic clock.
        granted: Endpoints granted to it that it has not told of, by question.
    """

    report: InFlightReport
    received_at: float
    granted: dict[int, EndpointId] = field(default_factory=dict)


class ShardCounts:
    """Requests in flight, as routers tell them and as they were granted.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._routers: dict[RouterId, _RouterState] = {}
        self._loads: Counter[EndpointId] = Counter()
        self._started_at: float | None = None

    @property
    def warmed_up(self) -> bool:
        """Whether all routers had the time to tell what they have in flight."""
        return self._started_at is not None and (
            self._clock() - self._started_at >= REPORT_TTL_SECONDS
        )

    @property
    def loads(self) -> Mapping[EndpointId, int]:
        """Requests in flight by endpoint, those of the counting router left out."""
        self._expire_routers()
        return self._loads

    def record_report(self, *, report: InFlightReport) -> None:
        """Take in what a router tells."""
        now = self._clock()
        self._start_if_idle(now)
        known = self._routers.get(report.router)
        if known is None:
            self._routers[report.router] = _RouterState(report=report, received_at=now)
            self._add(report.loads, 1)
            return
        same = known.report.incarnation == report.incarnation
        if same and report.sequence <= known.report.sequence:
            return
        self._add(known.report.loads, -1)
        self._add(report.loads, 1)
        known.report, known.received_at = report, now
        for number in [each for each in known.granted if each not in report.pending]:
            self._adjust(known.granted.pop(number), -1)

    def record_grant(
        self, *, report: InFlightReport, number: int, endpoint: EndpointId
    ) -> None:
        """Count a request that was granted to a router which asked just now."""
        known = self._routers.get(report.router)
        # A later message may have overtaken the question and given it up.
        if (
            known is None
            or number not in known.report.pending
            or number in known.granted
        ):
            return
        known.granted[number] = endpoint
        self._adjust(endpoint, 1)

    def _start_if_idle(self, now: float) -> None:
        """Notice when this router takes the part of an owner, also once more."""
        idle = all(
            now - each.received_at > REPORT_TTL_SECONDS
            for each in self._routers.values()
        )
        if idle:
            self._started_at = now

    def _expire_routers(self) -> None:
        oldest = self._clock() - REPORT_TTL_SECONDS
        for router, known in tuple(self._routers.items()):
            if known.received_at < oldest:
                del self._routers[router]
                self._add(known.report.loads, -1)
                for endpoint in known.granted.values():
                    self._adjust(endpoint, -1)

    def _add(self, loads: Mapping[EndpointId, int], sign: int) -> None:
        for endpoint, load in loads.items():
            self._adjust(endpoint, sign * load)

    def _adjust(self, endpoint: EndpointId, load: int) -> None:
        count = self._loads[endpoint] + load
        if count:
            self._loads[endpoint] = count
        else:
            del self._loads[endpoint]
