"""Mean time in service of endpoints, for those that report no slowdown.

By Little's law the mean time in service is the number of requests in flight, summed
over time, divided by the number of requests that ended. Both are known from an owner's
counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId

WINDOW_SECONDS = 10.0
"""Time constant with which earlier requests lose their weight. An endpoint that gets no
more requests counts as usual again once the weight of its ends is below MIN_ENDS."""

MIN_ENDS = 30.0
"""Weight of the requests that must have ended at an endpoint."""

CLEAR_DEVIATIONS = 4.0
"""Standard deviations by which a mean must exceed that of the service. The deviation
assumes that work varies as much as its mean, as it does if it is exponentially
distributed."""

MIN_EXCESS = 0.25
"""Excess over the mean of the service below which endpoints count as equal. Requests
to other failure domains take longer on the way, which is no slowness."""

MAX_SLOWDOWN = 3.0
"""Greatest slowdown that is concluded, as an endpoint needs some requests to show that
it has recovered."""


@dataclass(kw_only=True, slots=True)
class _Usage:
    """Weighted sums of what an endpoint has done.

    Attributes:
        load: Requests in flight.
        load_seconds: Requests in flight summed over time.
        ends: Requests that ended.
        updated_at: Time up to which the sums go.
    """

    load: int = 0
    load_seconds: float = 0.0
    ends: float = 0.0
    updated_at: float

    def advance(self, *, now: float) -> None:
        """Extend the sums up to now, and let earlier requests lose weight."""
        weight = math.exp((self.updated_at - now) / WINDOW_SECONDS)
        self.ends *= weight
        self.load_seconds *= weight
        self.load_seconds += self.load * WINDOW_SECONDS * (1.0 - weight)
        self.updated_at = now


class ServiceTimes:
    """Finds endpoints that take clearly longer than others of their service.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._usage: dict[EndpointId, _Usage] = {}

    def record_change(self, endpoint: EndpointId, count: int) -> None:
        """Record requests that begin (positive) or end (negative) at an endpoint."""
        now = self._clock()
        usage = self._usage.get(endpoint)
        if usage is None:
            usage = self._usage[endpoint] = _Usage(updated_at=now)
        usage.advance(now=now)
        usage.load = max(0, usage.load + count)
        usage.ends += max(0, -count)

    def record_lost(self, endpoint: EndpointId, count: int) -> None:
        """Drop requests of a terminated router, and restart the measurement.

        They counted as in flight until the router's report expired, so that the
        endpoint would seem to have taken that long.
        """
        usage = self._usage.get(endpoint)
        if usage is not None:
            load = max(0, usage.load - count)
            self._usage[endpoint] = _Usage(load=load, updated_at=self._clock())

    def slowdowns(
        self, *, endpoints: Collection[EndpointId]
    ) -> dict[EndpointId, float]:
        """Return the slowdowns of those endpoints that take clearly longer.

        Args:
            endpoints: Endpoints of one shard; their mean is the usual time.
        """
        now = self._clock()
        measured = {}
        for endpoint in endpoints:
            usage = self._usage.get(endpoint)
            if usage is None:
                continue
            usage.advance(now=now)
            if usage.ends >= MIN_ENDS:
                measured[endpoint] = usage.load_seconds / usage.ends, usage.ends
        total = sum(seconds for seconds, _ in measured.values())
        if not total:
            return {}
        mean = total / len(measured)
        return {
            endpoint: min(seconds / mean, MAX_SLOWDOWN)
            for endpoint, (seconds, ends) in measured.items()
            if seconds / mean - 1.0
            > max(MIN_EXCESS, CLEAR_DEVIATIONS / math.sqrt(ends))
        }

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Delete what is known of all endpoints except these."""
        for endpoint in self._usage.keys() - endpoints:
            del self._usage[endpoint]
