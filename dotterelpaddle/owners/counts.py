"""Counts requests in flight at the endpoints of a shard, over all routers.

A request counts from the moment its owner grants an endpoint. A router's report
replaces its earlier counts, which corrects for lost, duplicate and late messages.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.owners.handover import RouterCounts

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId, RouterId
    from dotterelpaddle.owners.messages import InFlightReport
    from dotterelpaddle.owners.service_times import ServiceTimes

REPORT_INTERVAL_SECONDS = 0.5
"""Seconds after which a router with requests in flight repeats its report."""

REPORT_TTL_SECONDS = 1.6
"""Seconds until the report of a router expires: three report intervals. The requests
of a router end with its process."""


@dataclass(kw_only=True, slots=True)
class _RouterState:
    """What one router has in flight.

    Attributes:
        report: Its latest report.
        received_at: When the report arrived, seconds on the monotonic clock.
        granted: Endpoints granted to it that no report covers yet, by number of the
            grant request.
    """

    report: InFlightReport
    received_at: float
    granted: dict[int, EndpointId] = field(default_factory=dict)


class ShardCounts:
    """Requests in flight, from the reports of routers and the grants to them.

    Args:
        clock: Monotonic clock.
        service_times: Measures how long requests take, None to measure nothing.
    """

    def __init__(
        self, *, clock: Clock, service_times: ServiceTimes | None = None
    ) -> None:
        self._clock = clock
        self._service_times = service_times
        self._routers: dict[RouterId, _RouterState] = {}
        self._loads: Counter[EndpointId] = Counter()
        self._started_at: float | None = None
        # No report expires before; a report that arrives only makes it later.
        self._next_expiry = math.inf

    @property
    def warmed_up(self) -> bool:
        """Whether all routers have had time to report since counting started."""
        return self._started_at is not None and (
            self._clock() - self._started_at >= REPORT_TTL_SECONDS
        )

    @property
    def loads(self) -> Mapping[EndpointId, int]:
        """Requests in flight by endpoint, without those of the counting router."""
        self._expire_routers()
        return self._loads

    @property
    def routers(self) -> Collection[RouterId]:
        """Routers whose reports count."""
        self._expire_routers()
        return self._routers.keys()

    def record_report(
        self, *, report: InFlightReport, age: float = 0.0
    ) -> Counter[EndpointId]:
        """Replace the counts of a router by its report, unless the report is stale.

        Args:
            report: The report.
            age: Seconds since it arrived at an owner.

        Returns:
            By how many requests the report lowers the count of each endpoint.
        """
        now = self._clock()
        self._start_if_idle(now)
        state = self._routers.get(report.router)
        if state is None:
            received_at = now - age
            self._routers[report.router] = _RouterState(
                report=report, received_at=received_at
            )
            self._next_expiry = min(self._next_expiry, received_at + REPORT_TTL_SECONDS)
            self._change(Counter(report.loads))
            return Counter()
        same_process = state.report.incarnation == report.incarnation
        if same_process and report.sequence <= state.report.sequence:
            return Counter()
        lowered = Counter(state.report.loads)
        # Another process may give its requests the numbers of earlier ones.
        covered = [
            number
            for number in state.granted
            if not same_process or number not in report.pending
        ]
        lowered.update(state.granted.pop(number) for number in covered)
        state.report = report
        state.received_at = max(state.received_at, now - age)
        # One change per endpoint: a request that the report repeats has not ended.
        changes = Counter(report.loads)
        changes.subtract(lowered)
        self._change(changes)
        return -changes

    def snapshot(self) -> list[RouterCounts]:
        """Return what each router has in flight or waits for."""
        self._expire_routers()
        now = self._clock()
        return [
            RouterCounts(
                report=state.report,
                granted=dict(state.granted),
                age=now - state.received_at,
            )
            for state in self._routers.values()
            if state.report.loads or state.report.pending or state.granted
        ]

    def restore(self, *, counts: Iterable[RouterCounts]) -> None:
        """Add what an earlier owner counted, as far as no router reports itself."""
        for each in counts:
            report = each.report
            self.record_report(report=report, age=each.age)
            for number, endpoint in each.granted.items():
                self.record_grant(report=report, number=number, endpoint=endpoint)

    def is_pending(
        self, *, report: InFlightReport, number: int, max_age: float
    ) -> bool:
        """Return whether a router still waits for the answer to a grant request.

        Args:
            report: A report of the process that sent the grant request.
            number: Number of the grant request.
            max_age: Seconds after which its last report says nothing.
        """
        state = self._routers.get(report.router)
        return (
            state is not None
            and state.report.incarnation == report.incarnation
            and number in state.report.pending
            and state.received_at >= self._clock() - max_age
        )

    def is_granted(self, *, report: InFlightReport, number: int) -> bool:
        """Return whether a grant counts that no report of its router covers yet."""
        state = self._routers.get(report.router)
        return (
            state is not None
            and state.report.incarnation == report.incarnation
            and number in state.granted
        )

    def record_grant(
        self, *, report: InFlightReport, number: int, endpoint: EndpointId
    ) -> None:
        """Count a granted request until the next report of its router covers it.

        Args:
            report: The report that came with the grant request.
            number: Number of the grant request.
            endpoint: The granted endpoint.
        """
        state = self._routers.get(report.router)
        # A later report may have arrived first, and show the request as abandoned.
        if (
            state is None
            or state.report.incarnation != report.incarnation
            or number not in state.report.pending
            or number in state.granted
        ):
            return
        state.granted[number] = endpoint
        self._change(Counter([endpoint]))

    def _start_if_idle(self, now: float) -> None:
        """Restart the warm-up when this router becomes an owner, or does so again."""
        idle = all(
            now - each.received_at > REPORT_TTL_SECONDS
            for each in self._routers.values()
        )
        if idle:
            self._started_at = now

    def _expire_routers(self) -> None:
        now = self._clock()
        if now < self._next_expiry:
            return
        oldest = now - REPORT_TTL_SECONDS
        for router, state in tuple(self._routers.items()):
            if state.received_at < oldest:
                del self._routers[router]
                lost = Counter(state.report.loads)
                lost.update(state.granted.values())
                for endpoint, load in lost.items():
                    self._adjust(endpoint, -load)
                    if self._service_times is not None and load:
                        self._service_times.record_lost(endpoint, load)
        received = (state.received_at for state in self._routers.values())
        self._next_expiry = min(received, default=math.inf) + REPORT_TTL_SECONDS

    def _change(self, changes: Mapping[EndpointId, int]) -> None:
        for endpoint, count in changes.items():
            if not count:
                continue
            self._adjust(endpoint, count)
            if self._service_times is not None:
                self._service_times.record_change(endpoint, count)

    def _adjust(self, endpoint: EndpointId, load: int) -> None:
        count = self._loads[endpoint] + load
        if count:
            self._loads[endpoint] = count
        else:
            del self._loads[endpoint]
