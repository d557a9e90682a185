"""The retry budget that all routers share.

Each attempt after the first one of a request costs one retry, even if the endpoint
refuses the request. In every window, the retries of all routers stay below a share of
the requests plus an allowance. A router uses its own counts and the last reports of the
others. It takes an even part of the remaining budget, because other routers may spend
theirs at the same moment.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.request_totals import RetryCounts

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.ids import ServiceName

BUDGET_SAFETY_FACTOR = 0.85
"""Share of the budget that routers spend; the rest covers counts not yet reported."""

ROUTER_COUNT_MEMORY_SECONDS = 30.0
"""Seconds for which routers that no longer report still count as spending retries. By
then a network partition has healed, or its other side has little left to retry."""

WINDOW_STEP_SECONDS = 0.25
"""Length of one step of the sliding window, seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """Limits on the retries of all routers.

    Attributes:
        share: Retries as a share of the requests in a window.
        allowance: Additional retries in a window.
        window: Length of the window, seconds.
    """

    share: float
    allowance: float
    window: float


class _Window:
    """Counts of events in a sliding window, in steps."""

    def __init__(self, *, length: float) -> None:
        self._length = length
        self._steps: deque[list[float]] = deque()
        self._sum = 0

    def add(self, *, now: float) -> None:
        if self._steps and now - self._steps[-1][0] < WINDOW_STEP_SECONDS:
            self._steps[-1][1] += 1
        else:
            self._steps.append([now, 1])
        self._sum += 1

    def total(self, *, now: float) -> int:
        while (
            self._steps and now - self._steps[0][0] > self._length + WINDOW_STEP_SECONDS
        ):
            self._sum -= int(self._steps.popleft()[1])
        return self._sum


class RetryBudget:
    """Counts requests and retries, and limits the retries.

    Args:
        limits: Limits on the retries of all routers.
        totals: Request totals that other routers reported.
        routers: Returns the number of routers, including this one.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        limits: RetryLimits,
        totals: TotalsTracker,
        routers: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._totals = totals
        self._routers = routers
        self._clock = clock
        self._requests: dict[ServiceName, _Window] = {}
        self._retries: dict[ServiceName, _Window] = {}
        self._max_router_count = 1
        self._max_router_count_at = clock()

    def count_request(self, *, service: ServiceName) -> None:
        """Count a request for a service."""
        self._window(self._requests, service).add(now=self._clock())

    def has_room(self, *, service: ServiceName) -> bool:
        """Return whether one more retry is within the budget."""
        return self.room(service=service) >= 1.0

    def acquire(self, *, service: ServiceName) -> bool:
        """Count a retry; return False without counting it if the budget is spent."""
        if not self.has_room(service=service):
            return False
        self._window(self._retries, service).add(now=self._clock())
        return True

    def counts(self) -> dict[ServiceName, RetryCounts]:
        """Return the counts of this router in the last window, for reports."""
        now = self._clock()
        self._record_router_count(count=self._totals.router_count, now=now)
        services = self._requests.keys() | self._retries.keys()
        return {
            service: RetryCounts(
                requests=self._window(self._requests, service).total(now=now),
                retries=self._window(self._retries, service).total(now=now),
            )
            for service in services
        }

    def room(self, *, service: ServiceName) -> float:
        """Return the number of retries that this router may still make."""
        now = self._clock()
        own_requests = self._window(self._requests, service).total(now=now)
        own_retries = self._window(self._retries, service).total(now=now)
        requests, retries, reporting = own_requests, own_retries, 1
        for each in self._totals.current(max_age=self._limits.window):
            reporting += each.routers
            counts = each.retries.get(service)
            if counts is not None:
                requests += counts.requests
                retries += counts.retries
        self._record_router_count(count=reporting, now=now)
        routers = max(self._routers(), self._max_router_count)
        budget = BUDGET_SAFETY_FACTOR * (
            self._limits.share * requests + self._limits.allowance
        )
        # Routers without a report may have spent an even part each.
        unreported = (routers - reporting) * budget / routers
        return (budget - retries - unreported) / max(1.0, routers / 2)

    def _record_router_count(self, *, count: int, now: float) -> None:
        """Record the greatest recent number of routers whose retries were counted."""
        if (
            count >= self._max_router_count
            or now - self._max_router_count_at > ROUTER_COUNT_MEMORY_SECONDS
        ):
            self._max_router_count = count
            self._max_router_count_at = now

    def _window(
        self, windows: dict[ServiceName, _Window], service: ServiceName
    ) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(length=self._limits.window)
        return window
