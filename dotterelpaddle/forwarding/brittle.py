"""Endpoints that end if they have to reject too many requests within a second.

Such endpoints say so in all their answers, with the number of rejections that they
bear. The bound holds for all routers together, so that none of them may plan with it:
an endpoint gets no more requests than it has places.

The owner of a shard, which counts what all routers have in flight, grants the places
one by one, and a router that no owner grants a place sends nothing. After a rejection,
which shows that somebody holds too much, a router sends nothing for a while.

What one endpoint of a service says holds for others of it that have not answered yet,
such as one that has just started again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.registry.fleet_size import SETTLING_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import EndpointId, ServiceName

log = get_logger(name=__name__)

MIN_BACKOFF_SECONDS = 1.0
"""Seconds without requests after a rejection, the time to which the bound applies."""


class BrittleEndpoints:
    """Limits what this router sends to brittle endpoints.

    Args:
        backoffs: Tracks the endpoints to which this router sends nothing for a while.
        router_count: Returns the number of routers, None if unknown.
        has_owners: Returns whether shard owners grant the places.
    """

    def __init__(
        self,
        *,
        backoffs: EndpointBackoffs,
        router_count: Callable[[], int | None],
        has_owners: Callable[[], bool],
    ) -> None:
        self._backoffs = backoffs
        self._router_count = router_count
        self._has_owners = has_owners
        self._limits: dict[EndpointId, int | None] = {}
        self._service_limits: dict[ServiceName, int] = {}
        self._brittle_services: dict[ServiceName, int] = {}
        self._services: dict[EndpointId, ServiceName] = {}

    @property
    def any_known(self) -> bool:
        """Whether this router knows any service with brittle endpoints."""
        return bool(self._brittle_services)

    @property
    def service_limits(self) -> Mapping[ServiceName, int]:
        """Rejections within a second that the endpoints of brittle services bear."""
        return self._brittle_services

    def recall(self, *, limits: Mapping[ServiceName, int]) -> None:
        """Learn what earlier processes knew, unless endpoints have told since."""
        for service, limit in limits.items():
            if service not in self._services.values():
                self._service_limits[service] = limit
                self._brittle_services[service] = limit
        log.info("brittle_services_recalled", services=sorted(limits))

    @property
    def owners_grant(self) -> bool:
        """Whether shard owners grant the places at brittle endpoints."""
        return self._has_owners()

    def record_answer(
        self, *, entry: EndpointEntry, limit: int | None, rejected: bool
    ) -> None:
        """Record an answer.

        Args:
            entry: Its sender.
            limit: Rejections within a second that the endpoint bears, None if it does
                not limit them.
            rejected: Whether the endpoint rejected the request.
        """
        self._services[entry.endpoint] = entry.service
        if limit is None:
            self._limits[entry.endpoint] = None
            self._service_limits.pop(entry.service, None)
            self._forget_service(entry.service)
            return
        if self._limits.get(entry.endpoint) != limit:
            log.info("endpoint_brittle", endpoint=entry.endpoint, limit=limit)
        self._limits[entry.endpoint] = self._service_limits[entry.service] = limit
        self._brittle_services[entry.service] = limit
        if rejected:
            self._backoffs.record(
                endpoint=entry.endpoint, seconds=self._backoff_seconds(limit)
            )

    def _forget_service(self, service: ServiceName) -> None:
        """Forget that a service is brittle unless one of its endpoints says so."""
        if not any(
            self._services.get(endpoint) == service
            for endpoint, limit in self._limits.items()
            if limit is not None
        ):
            self._brittle_services.pop(service, None)

    def is_brittle(self, *, entry: EndpointEntry) -> bool:
        """Return whether an endpoint, or another one of its service, is brittle."""
        default = self._service_limits.get(entry.service)
        return self._limits.get(entry.endpoint, default) is not None

    def _backoff_seconds(self, limit: int) -> float:
        if self.owners_grant:
            return MIN_BACKOFF_SECONDS
        routers = self._router_count()
        if routers is None:
            return SETTLING_SECONDS
        return max(MIN_BACKOFF_SECONDS, routers / max(1, limit))

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Delete what is known of all endpoints except these."""
        for endpoint in self._limits.keys() - endpoints:
            del self._limits[endpoint], self._services[endpoint]
