"""Endpoints that end if they have to reject too many requests within a second.

Such endpoints say so in all their answers, with the number of rejections that they
bear. The bound holds for all routers together. Each keeps no more requests in flight
than its part of what an endpoint has room for, so that none is rejected. Where routers
outnumber the places each still sends one request at a time. After a rejection, which
then shows that somebody holds more than a part, a router sends nothing for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.fleet_size import SETTLING_SECONDS
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)

MIN_BACKOFF_SECONDS = 1.0
"""Seconds without requests after a rejection, the time to which the bound applies."""


class BrittleEndpoints:
    """Limits what this router sends to brittle endpoints.

    Args:
        in_flight: Returns the requests of this router in flight, by endpoint.
        backoffs: Tracks the endpoints to which this router sends nothing for a while.
        router_count: Returns the number of routers, None if unknown.
    """

    def __init__(
        self,
        *,
        in_flight: Callable[[], Mapping[EndpointId, int]],
        backoffs: EndpointBackoffs,
        router_count: Callable[[], int | None],
    ) -> None:
        self._in_flight = in_flight
        self._backoffs = backoffs
        self._router_count = router_count
        self._limits: dict[EndpointId, int] = {}

    @property
    def any_known(self) -> bool:
        """Whether this router knows any brittle endpoint."""
        return bool(self._limits)

    def record_answer(
        self, *, endpoint: EndpointId, limit: int | None, rejected: bool
    ) -> None:
        """Record an answer.

        Args:
            endpoint: Its sender.
            limit: Rejections within a second that the endpoint bears, None if it does
                not limit them.
            rejected: Whether the endpoint rejected the request.
        """
        if limit is None:
            self._limits.pop(endpoint, None)
            return
        if self._limits.get(endpoint) != limit:
            log.info("endpoint_brittle", endpoint=endpoint, limit=limit)
        self._limits[endpoint] = limit
        if rejected:
            self._backoffs.record(
                endpoint=endpoint, seconds=self._backoff_seconds(limit)
            )

    def has_room(self, *, entry: EndpointEntry) -> bool:
        """Return whether this router may send one more request to an endpoint."""
        limit = self._limits.get(entry.endpoint)
        if limit is None:
            return True
        routers = self._router_count()
        allowed = 1 if routers is None else max(1, entry.slots // routers)
        return self._in_flight().get(entry.endpoint, 0) < allowed

    def _backoff_seconds(self, limit: int) -> float:
        routers = self._router_count()
        if routers is None:
            return SETTLING_SECONDS
        return max(MIN_BACKOFF_SECONDS, routers / max(1, limit))

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Delete the limits of all endpoints except these."""
        for endpoint in self._limits.keys() - endpoints:
            del self._limits[endpoint]
