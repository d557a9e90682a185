"""Which endpoints may get a request at all."""

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
    from dotterelpaddle.ids import EndpointId, ServiceName

NO_ENDPOINT_RETRY_AFTER_SECONDS = 0.3
"""Seconds after which a caller may come back when no endpoint is known.

A starting endpoint registers within a second or two, others take over at once.
"""

EVACUATED_RETRY_AFTER_SECONDS = 1.0
"""The same when all endpoints of a service are in evacuated failure domains."""


class Candidates:
    """Leaves out endpoints that leave, ask for quiet, fail or are out of reach.

    Args:
        view: The endpoints in force.
        health: Results of requests.
        reachability: Where no connection can be made.
        quiet: Endpoints that want nothing from this router for a while.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        health: HealthTracker,
        reachability: Reachability,
        quiet: EndpointBackoffs,
    ) -> None:
        self._view = view
        self._health = health
        self._reachability = reachability
        self._quiet = quiet

    def usable(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        excluded: frozenset[EndpointId],
    ) -> list[EndpointEntry]:
        """Return the endpoints of a service that are not passed over."""
        fresh = self._untried(service=service, request=request, excluded=excluded)
        reachable = self._reachability.reachable(entries=fresh)
        return self._health.usable(entries=reachable)

    def matching(
        self, *, service: ServiceName, request: HasPrompt
    ) -> list[EndpointEntry]:
        """Return the endpoints of a service that take a request as far as known."""
        return [
            entry
            for entry in self._view.ready(service=service)
            if serves_model(entry=entry, request=request)
            and not self._health.is_replaced(endpoint=entry.endpoint)
            and not self._quiet.is_backing_off(endpoint=entry.endpoint)
        ]

    def usable_or_fallback(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        excluded: frozenset[EndpointId],
    ) -> Sequence[EndpointEntry]:
        """Return the usable endpoints, or what is left where none is.

        Raises:
            NoEndpoint: If nothing is.
        """
        fresh = self._untried(service=service, request=request, excluded=excluded)
        reachable = self._reachability.reachable(entries=fresh)
        usable = self._health.usable(entries=reachable)
        if usable:
            return usable
        # All have failed of late: any of them is better than a refusal.
        last = [
            entry
            for entry in self._view.last_resort(service=service)
            if entry.endpoint not in excluded
            and serves_model(entry=entry, request=request)
            and not self._quiet.is_backing_off(endpoint=entry.endpoint)
        ]
        for entries_left in (reachable, fresh, last):
            remaining = self._reachability.possibly_reachable(entries=entries_left)
            if remaining:
                return remaining
        raise NoEndpoint(
            f"service '{service}' has no endpoint that takes this request, "
            f"{len(fresh)} of its endpoints are out of reach",
            retry_after=self._retry_after(service=service, untried=fresh),
        )

    def _retry_after(
        self, *, service: ServiceName, untried: Sequence[EndpointEntry]
    ) -> float:
        """Seconds until an endpoint may be there again.

        Where all that are left asked for quiet, it is the end of the shortest; an
        evacuation lasts for many seconds.
        """
        listed = self._view.registered(service=service)
        if listed and not self._view.evacuations.exclude_evacuated(entries=listed):
            return EVACUATED_RETRY_AFTER_SECONDS
        quiet = self._quiet.shortest_wait(entries=self._view.ready(service=service))
        return NO_ENDPOINT_RETRY_AFTER_SECONDS if untried or quiet is None else quiet

    def _untried(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        excluded: frozenset[EndpointId],
    ) -> list[EndpointEntry]:
        entries = self.matching(service=service, request=request)
        return [entry for entry in entries if entry.endpoint not in excluded]


def serves_model(*, entry: EndpointEntry, request: HasPrompt) -> bool:
    """Tell whether an endpoint has the model that a request asks for."""
    return not request.model or not entry.models or request.model in entry.models
