"""The retry budget of all routers, divided among them.

Each attempt after the first one of a request costs one retry, even if the endpoint
refuses the request. In every window, the retries of all routers stay below a share of
the requests plus an allowance.

No router relies on what others report, nor on what an earlier process of its own has
counted: reports may be lost or late, and a process may end at any moment. Each router
has a token bucket that is empty at the start of its process. Each request of its own
adds a share of a token, and its even part of the allowance accrues over time. What a
bucket holds bounds what is spent of requests of before a window, so that callers who
move to another router bring no second share of the same requests.
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

BURST_SHARE = 0.6
"""Share of the allowance that may be spent at once; the rest accrues in one window."""

SAVED_SHARE = 0.25
"""Part of what the requests of the last window have added that may be spent at once."""

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
        """Return the events of the last steps that the window holds whole."""
        while self._steps and now - self._steps[0][0] > self._length:
            self._sum -= int(self._steps.popleft()[1])
        return self._sum


class _Bucket:
    """The retries that a router may make for one service.

    Args:
        limits: Limits on the retries of all routers.
        started_at: When the process started, seconds on the monotonic clock.
    """

    def __init__(self, *, limits: RetryLimits, started_at: float) -> None:
        self._window = limits.window
        # What may be saved and what is added in a window are together the share.
        self._per_request = BUDGET_SAFETY_FACTOR * limits.share / (1.0 + SAVED_SHARE)
        self._requests = _Window(length=limits.window)
        self._retries = _Window(length=limits.window)
        self._tokens = 0.0
        self._updated_at = started_at

    def count_request(self, *, now: float) -> None:
        """Add the share of one request; `left` limits what the bucket holds."""
        self._requests.add(now=now)
        self._tokens += self._per_request

    def left(self, *, allowance: float, now: float) -> float:
        """Return the retries that may be made now.

        Args:
            allowance: This router's part of the allowance of one window.
            now: Seconds on the monotonic clock.
        """
        rate = (1.0 - BURST_SHARE) * allowance / self._window
        accrued = self._tokens + rate * (now - self._updated_at)
        saved = SAVED_SHARE * self._per_request * self._requests.total(now=now)
        self._tokens = min(accrued, BURST_SHARE * allowance + saved)
        self._updated_at = now
        return self._tokens

    def take(self, *, now: float) -> None:
        """Count one retry."""
        self._tokens -= 1.0
        self._retries.add(now=now)

    def counts(self, *, now: float) -> RetryCounts:
        """Return the counts of the last window."""
        return RetryCounts(
            requests=self._requests.total(now=now),
            retries=self._retries.total(now=now),
        )


class RetryBudget:
    """Counts the requests and the retries of this router, and limits its retries.

    Args:
        limits: Limits on the retries of all routers.
        routers: Returns the number of routers, including this one; None if unknown.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        limits: RetryLimits,
        routers: Callable[[], int | None],
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._routers = routers
        self._clock = clock
        self._started_at = clock()
        self._buckets: dict[ServiceName, _Bucket] = {}

    def count_request(self, *, service: ServiceName) -> None:
        """Count a request for a service."""
        self._bucket(service).count_request(now=self._clock())

    def has_room(self, *, service: ServiceName) -> bool:
        """Return whether one more retry is within the budget."""
        return self._left(service) >= 1.0

    def acquire(self, *, service: ServiceName) -> bool:
        """Count a retry; return False without counting it if the budget is spent."""
        if not self.has_room(service=service):
            return False
        self._bucket(service).take(now=self._clock())
        return True

    def counts(self) -> dict[ServiceName, RetryCounts]:
        """Return the counts of the last window, which reports tell other routers.

        Routers of earlier releases derive their own retries from them.
        """
        now = self._clock()
        return {
            service: bucket.counts(now=now) for service, bucket in self._buckets.items()
        }

    def room(self, *, service: ServiceName) -> float:
        """Return the number of retries that this router may still make."""
        return self._left(service)

    def _left(self, service: ServiceName) -> float:
        routers = self._routers()
        allowance = 0.0
        if routers is not None:
            allowance = BUDGET_SAFETY_FACTOR * self._limits.allowance / routers
        return self._bucket(service).left(allowance=allowance, now=self._clock())

    def _bucket(self, service: ServiceName) -> _Bucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _Bucket(limits=self._limits, started_at=self._started_at)
            self._buckets[service] = bucket
        return bucket
