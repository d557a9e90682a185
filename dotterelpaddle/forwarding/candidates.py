"""Filters the endpoints that are eligible for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NoEndpoint

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.health import HealthTracker
    from dotterelpaddle.forwarding.interface import HasPrompt
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, ServiceName, SoftwareVersion
    from dotterelpaddle.peers.tunnels import TunnelBackend

NO_ENDPOINT_RETRY_AFTER_SECONDS = 0.3
"""Retry-after for callers when the router knows no usable endpoint.

A starting endpoint registers within one or two seconds; others take over at once.
"""

EVACUATED_RETRY_AFTER_SECONDS = 1.0
"""Retry-after when all endpoints of a service are in evacuated failure domains."""


class Candidates:
    """Leaves out endpoints that are leaving, backing off, ejected or unreachable.

    Args:
        view: Current endpoints and configuration.
        health: Results of recent requests per endpoint.
        reachability: Endpoints that this router can't connect to.
        tunnels: Connects through other routers, None if none can.
        backoffs: Endpoints that asked this router to back off.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        health: HealthTracker,
        reachability: Reachability,
        tunnels: TunnelBackend | None = None,
        backoffs: EndpointBackoffs,
    ) -> None:
        self._view = view
        self._health = health
        self._reachability = reachability
        self._tunnels = tunnels
        self._backoffs = backoffs

    def usable(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        excluded: frozenset[EndpointId],
        version: SoftwareVersion | None = None,
    ) -> list[EndpointEntry]:
        """Return the healthy, reachable endpoints of a service.

        Args:
            service: The service.
            request: The request to send.
            excluded: Endpoints to leave out.
            version: The only software version that may serve it, None for any.
        """
        untried = self._untried(
            service=service, request=request, excluded=excluded, version=version
        )
        return self._health.usable(entries=self._reachable(untried))

    def matching(
        self, *, service: ServiceName, request: HasPrompt
    ) -> list[EndpointEntry]:
        """Return the ready endpoints that serve the model and are not backing off."""
        return [
            entry
            for entry in self._view.ready(service=service)
            if serves_model(entry=entry, request=request)
            and not self._health.is_replaced(endpoint=entry.endpoint)
            and not self._backoffs.is_backing_off(endpoint=entry.endpoint)
        ]

    def in_service(self, *, service: ServiceName) -> list[EndpointEntry]:
        """Return the ready endpoints that get work, whatever models they serve.

        If all of them failed recently, all ready ones still get work.
        """
        ready = list(self._view.ready(service=service))
        entries = [
            entry
            for entry in ready
            if not self._health.is_replaced(endpoint=entry.endpoint)
            and not self._backoffs.is_backing_off(endpoint=entry.endpoint)
        ]
        return self._health.usable(entries=self._reachable(entries)) or ready

    def usable_or_fallback(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        excluded: frozenset[EndpointId],
        version: SoftwareVersion | None = None,
    ) -> Sequence[EndpointEntry]:
        """Return the usable endpoints, or less suitable ones if there are none.

        Args:
            service: The service.
            request: The request to send.
            excluded: Endpoints to leave out.
            version: The only software version that may serve it, None for any.

        Raises:
            NoEndpoint: If the service has no endpoint to try.
        """
        untried = self._untried(
            service=service, request=request, excluded=excluded, version=version
        )
        reachable = self._reachable(untried)
        usable = self._health.usable(entries=reachable)
        if usable:
            return usable
        # All endpoints failed recently: trying one of them is better than a refusal.
        last_resort = [
            entry
            for entry in self._view.last_resort(service=service)
            if entry.endpoint not in excluded
            and has_version(entry=entry, version=version)
            and serves_model(entry=entry, request=request)
            and not self._backoffs.is_backing_off(endpoint=entry.endpoint)
        ]
        for entries in (reachable, untried, last_resort):
            remaining = self._reachability.possibly_reachable(entries=entries)
            if remaining:
                return remaining
        raise NoEndpoint(
            f"service '{service}' has no endpoint that accepts this request; "
            f"{len(untried)} of its endpoints are unreachable",
            retry_after=self._retry_after(service=service, untried=untried),
        )

    def _reachable(self, entries: list[EndpointEntry]) -> list[EndpointEntry]:
        """Return the endpoints in reach, else those that other routers may reach."""
        reachable = self._reachability.reachable(entries=entries)
        if reachable or self._tunnels is None:
            return reachable
        return self._tunnels.reachable(entries=entries)

    def _retry_after(
        self, *, service: ServiceName, untried: Sequence[EndpointEntry]
    ) -> float:
        """Return the seconds until an endpoint may be usable again.

        If all remaining endpoints are backing off, this is the shortest backoff. If all
        endpoints are evacuated, callers wait longer than if none is known, because an
        evacuation lasts for many seconds.
        """
        registered = self._view.registered(service=service)
        if registered and not self._view.evacuations.exclude_evacuated(
            entries=registered
        ):
            return EVACUATED_RETRY_AFTER_SECONDS
        shortest_wait = self._backoffs.shortest_wait(
            entries=self._view.ready(service=service)
        )
        return (
            NO_ENDPOINT_RETRY_AFTER_SECONDS
            if untried or shortest_wait is None
            else shortest_wait
        )

    def _untried(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        excluded: frozenset[EndpointId],
        version: SoftwareVersion | None,
    ) -> list[EndpointEntry]:
        entries = self.matching(service=service, request=request)
        return [
            entry
            for entry in entries
            if entry.endpoint not in excluded
            and has_version(entry=entry, version=version)
        ]


def has_version(*, entry: EndpointEntry, version: SoftwareVersion | None) -> bool:
    """Return whether an endpoint runs a software version, None for any."""
    return version is None or entry.software_version == version


def serves_model(*, entry: EndpointEntry, request: HasPrompt) -> bool:
    """Return whether an endpoint serves the model of a request."""
    return not request.model or not entry.models or request.model in entry.models
