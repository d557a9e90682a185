"""The budget of repeats, which all routers share.

Each endpoint that gets a request beyond the first costs a repeat, also where
it refuses. Repeats over all routers stay under a share of the requests plus an
allowance, in any window. A router goes by its own counts and by what the others
last told; the room that is left is split evenly, because others may spend it at
the same moment.
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
"""Share of the budget that is spent; the rest is for counts on their way."""

ROUTER_COUNT_MEMORY_SECONDS = 30.0
"""Seconds for which routers that were counted may still spend repeats unheard; a cut
network is whole again by then, or its other side has little left to repeat."""

WINDOW_STEP_SECONDS = 0.25
"""Seconds of one step in which requests are counted together."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """What repeats may cost.

    Attributes:
        share: Repeats as a share of the requests in a window.
        allowance: Repeats in a window beside that.
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
    """Counts requests and repeats, and says whether one more may be sent.

    Args:
        limits: What repeats may cost.
        totals: What other routers told.
        routers: Tells how many routers there are, this one included.
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
        """Count a request that came in for a service."""
        self._window(self._requests, service).add(now=self._clock())

    def has_room(self, *, service: ServiceName) -> bool:
        """Tell whether one more repeat is within the budget."""
        return self.room(service=service) >= 1.0

    def acquire(self, *, service: ServiceName) -> bool:
        """Count a repeat; False, and nothing counted, without room for it."""
        if not self.has_room(service=service):
            return False
        self._window(self._retries, service).add(now=self._clock())
        return True

    def counts(self) -> dict[ServiceName, RetryCounts]:
        """What this router sent in the last window, for the others."""
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
        """Repeats that this router may still make."""
        now = self._clock()
        own_requests = self._window(self._requests, service).total(now=now)
        own_repeats = self._window(self._retries, service).total(now=now)
        requests, repeats, heard = own_requests, own_repeats, 1
        for share in self._totals.current(max_age=self._limits.window):
            heard += share.routers
            counts = share.retries.get(service)
            if counts is not None:
                requests += counts.requests
                repeats += counts.retries
        self._record_router_count(count=heard, now=now)
        routers = max(self._routers(), self._max_router_count)
        budget = BUDGET_SAFETY_FACTOR * (
            self._limits.share * requests + self._limits.allowance
        )
        # Routers that were not heard of may have spent as much as this one.
        unheard = (routers - heard) * budget / routers
        return (budget - repeats - unheard) / max(1.0, routers / 2)

    def _record_router_count(self, *, count: int, now: float) -> None:
        """Remember the most routers whose repeats were counted of late."""
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
