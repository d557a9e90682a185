"""Endpoints that have just started, or become cold, and can handle few requests.

The bound on a cold endpoint's request rate holds for all routers together, even if
they can't reach each other. So it is divided among routers: each sends no more than its
part, whichever router chose the endpoint.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.placement.rendezvous import digest
from dotterelpaddle.registry.fleet_size import SETTLING_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.settings import ColdBounds
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, RouterId

log = get_logger(name=__name__)

WINDOW_SECONDS = 1.2
"""Seconds over which requests are counted: the second to which the bound applies, plus
the time by which the network may move two requests closer together."""

DIVIDED_SHARE = 2 / 3
"""Share of the bound that is divided among routers; the rest covers requests to an
endpoint that is not known to be cold yet."""

RANDOM_DRAW_SHARE = 1 / 3
"""Share of the bound if there are more routers than requests: a random draw decides
which routers send one. By chance twice as many routers may send one."""

_DIGEST_SCALE = 2.0**-64

COLD_RETRY_AFTER_SECONDS = 0.5
"""Retry-after for callers when only cold endpoints are left and all of them have
reached their limit for the current second."""


class ColdEndpoints:
    """Tracks cold endpoints and limits the requests that this router sends them.

    Args:
        router: Id of this router.
        bounds: Bounds on the rate of cold endpoints, None for no bound.
        view: The endpoints in force and the slow-start options of their services.
        router_count: Returns the number of routers, None if unknown.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        router: RouterId,
        bounds: ColdBounds | None,
        view: FleetView,
        router_count: Callable[[], int | None],
        clock: Clock,
    ) -> None:
        self._router = router
        self._bounds = bounds
        self._view = view
        self._router_count = router_count
        self._clock = clock
        self._started_at = clock()
        self._cold_until: dict[EndpointId, float] = {}
        self._last_cold_until = float("-inf")
        self._sent: dict[EndpointId, deque[float]] = {}
        view.on_entry(self._record_entry)

    @property
    def _any_cold(self) -> bool:
        """Whether any endpoint can be cold; cheap, as usually none is."""
        now = self._clock()
        max_duration = max(
            (each.duration for each in self._view.slow_starts.values()), default=0
        )
        evacuation_ended_at = self._view.evacuations.last_ended_at
        return now < max(self._last_cold_until, evacuation_ended_at + max_duration)

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Delete the state of all endpoints except these."""
        for endpoint in self._cold_until.keys() - endpoints:
            del self._cold_until[endpoint]
        for endpoint in self._sent.keys() - endpoints:
            del self._sent[endpoint]

    def is_cold(self, *, entry: EndpointEntry) -> bool:
        """Return whether an endpoint is cold, as far as this router knows."""
        now = self._clock()
        if self._cold_until.get(entry.endpoint, 0.0) > now:
            return True
        slow_start = self._view.slow_starts.get(entry.service)
        if slow_start is None:
            return False
        # After an evacuation the entry reports the cold endpoint only with its next
        # heartbeat; requests would return before.
        domain = entry.failure_domain
        evacuation_ended_at = self._view.evacuations.ended_at(failure_domain=domain)
        return now - evacuation_ended_at < slow_start.duration

    def with_capacity(
        self, *, entries: Sequence[EndpointEntry]
    ) -> Sequence[EndpointEntry]:
        """Return the entries without cold endpoints that have reached their bound."""
        if self._bounds is None or not self._any_cold:
            return entries
        routers = self._router_count()
        return [entry for entry in entries if self._has_capacity(entry, routers)]

    def has_capacity(self, *, entry: EndpointEntry) -> bool:
        """Return whether this router may send one more request to an endpoint."""
        return self._has_capacity(entry, self._router_count())

    def record_request(self, *, entry: EndpointEntry) -> None:
        """Count a request that this router sends to an endpoint.

        Those to warm endpoints count too: an endpoint may be cold before routers know.
        """
        if self._bounds is not None:
            self._recent_requests(entry.endpoint).append(self._clock())

    def _record_entry(self, entry: EndpointEntry) -> None:
        """Record how long an endpoint is still cold by its entry."""
        if self._bounds is None or not entry.cold_left:
            return
        until = self._clock() + entry.cold_left
        known = self._cold_until.get(entry.endpoint, 0.0)
        if known <= self._clock():
            log.info("endpoint_cold", endpoint=entry.endpoint, seconds=entry.cold_left)
        self._cold_until[entry.endpoint] = max(until, known)
        self._last_cold_until = max(until, self._last_cold_until)

    def _has_capacity(self, entry: EndpointEntry, routers: int | None) -> bool:
        if self._bounds is None or not self.is_cold(entry=entry):
            return True
        sent = len(self._recent_requests(entry.endpoint))
        return sent < self._allowed_requests(entry, routers)

    def _recent_requests(self, endpoint: EndpointId) -> deque[float]:
        sent = self._sent.setdefault(endpoint, deque())
        while sent and sent[0] <= self._clock() - WINDOW_SECONDS:
            sent.popleft()
        return sent

    def _allowed_requests(self, entry: EndpointEntry, routers: int | None) -> int:
        """Requests per window that this router may send."""
        slow_start = self._view.slow_starts.get(entry.service)
        if self._bounds is None or slow_start is None or routers is None:
            return 0
        if self._clock() - self._started_at < SETTLING_SECONDS:
            # An earlier process on this host may have sent requests just before.
            return 0
        bound = self._bounds.multiple * slow_start.rate + self._bounds.allowance
        per_router = int(DIVIDED_SHARE * bound / routers)
        if per_router:
            return per_router
        draw = digest(text=f"{self._router}/{entry.endpoint}") * _DIGEST_SCALE
        return int(draw < RANDOM_DRAW_SHARE * bound / routers)
