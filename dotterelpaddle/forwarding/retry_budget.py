"""The retry budget of all routers, divided among them.

Each attempt after the first one of a request costs one retry, even if the endpoint
refuses the request. In every window, the retries of all routers stay below a share of
the requests plus an allowance.

No router relies on what others report, nor on what an earlier process of its own has
counted: reports may be lost or late, and a process may end at any moment. A router may
retry a share of its own requests, a small one until its process has run for a window,
since an earlier process may have spent the rest of it in that window. It has an even
part of the allowance besides. That part accrues over time and is empty at the start of
a process, so that a sequence of processes gets no more of it than one that lives on.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.request_totals import RetryCounts

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import ServiceName

BUDGET_SAFETY_FACTOR = 0.95
"""Share of the budget that routers spend. Retries reach endpoints up to half a second
after they are counted, so that a window may hold those of a slightly longer time."""

SETTLED_FACTOR = 0.85
"""Part of the share of requests for a process that has counted for a whole window; the
other part is for processes that have not."""

BURST_SHARE = 0.6
"""Share of the allowance that may be spent at once; the rest accrues in one window."""

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


class _Allowance:
    """A token bucket that fills over time from the start of the process."""

    def __init__(self, *, started_at: float) -> None:
        self._tokens = 0.0
        self._updated_at = started_at

    def tokens(self, *, now: float, per_window: float, window: float) -> float:
        """Return the tokens, given those that one window may use at most."""
        rate = (1.0 - BURST_SHARE) * per_window / window
        accrued = self._tokens + rate * (now - self._updated_at)
        self._tokens = min(accrued, BURST_SHARE * per_window)
        self._updated_at = now
        return self._tokens

    def take(self) -> None:
        self._tokens -= 1.0


class RetryBudget:
    """Counts the requests and the retries of this router, and limits its retries.

    Args:
        limits: Limits on the retries of all routers.
        routers: Returns the number of routers, including this one; None if unknown.
        first_start: Whether the whole fleet starts for the first time, so that no
            earlier process can have spent anything.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        limits: RetryLimits,
        routers: Callable[[], int | None],
        first_start: bool = False,
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._routers = routers
        self._clock = clock
        self._started_at = float("-inf") if first_start else clock()
        self._requests: dict[ServiceName, _Window] = {}
        self._share_retries: dict[ServiceName, _Window] = {}
        self._retries: dict[ServiceName, _Window] = {}
        self._allowances: dict[ServiceName, _Allowance] = {}

    def count_request(self, *, service: ServiceName) -> None:
        """Count a request for a service."""
        self._window(self._requests, service).add(now=self._clock())

    def has_room(self, *, service: ServiceName) -> bool:
        """Return whether one more retry is within the budget."""
        return self._share_left(service) >= 1.0 or self._allowance_left(service) >= 1.0

    def acquire(self, *, service: ServiceName) -> bool:
        """Count a retry; return False without counting it if the budget is spent."""
        now = self._clock()
        if self._share_left(service) >= 1.0:
            self._window(self._share_retries, service).add(now=now)
        elif self._allowance_left(service) >= 1.0:
            self._allowance(service).take()
        else:
            return False
        self._window(self._retries, service).add(now=now)
        return True

    def counts(self) -> dict[ServiceName, RetryCounts]:
        """Return the counts of the last window, which reports tell other routers.

        Routers of earlier releases derive their own retries from them.
        """
        now = self._clock()
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
        share_left = max(0.0, self._share_left(service))
        return share_left + self._allowance_left(service)

    def _share_left(self, service: ServiceName) -> float:
        """Retries left of the share of this router's own requests."""
        now = self._clock()
        requests = self._window(self._requests, service).total(now=now)
        retries = self._window(self._share_retries, service).total(now=now)
        return self._retry_share(now=now) * requests - retries

    def _retry_share(self, *, now: float) -> float:
        """Share of this router's own requests that it may retry."""
        window = self._limits.window + WINDOW_STEP_SECONDS
        settled = now - self._started_at >= window
        factor = SETTLED_FACTOR if settled else 1.0 - SETTLED_FACTOR
        return factor * BUDGET_SAFETY_FACTOR * self._limits.share

    def _allowance_left(self, service: ServiceName) -> float:
        """Retries left of this router's part of the allowance."""
        routers = self._routers()
        if routers is None:
            return 0.0
        return self._allowance(service).tokens(
            now=self._clock(),
            per_window=BUDGET_SAFETY_FACTOR * self._limits.allowance / routers,
            window=self._limits.window,
        )

    def _allowance(self, service: ServiceName) -> _Allowance:
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = _Allowance(started_at=self._started_at)
            self._allowances[service] = allowance
        return allowance

    def _window(
        self, windows: dict[ServiceName, _Window], service: ServiceName
    ) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(length=self._limits.window)
        return window
