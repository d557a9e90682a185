"""Restricts requests to the regions that their routes and client accounts allow."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, Region


class ResidencyPolicy:
    """Determines which endpoints a request must not reach.

    Args:
        view: The endpoints in force.
        regions: The region of each failure domain.
    """

    def __init__(
        self, *, view: FleetView, regions: Mapping[FailureDomain, Region]
    ) -> None:
        self._view = view
        self._regions = regions

    def forbidden_endpoints(
        self, *, exchange: ForwardExchange
    ) -> frozenset[EndpointId]:
        """Endpoints outside the allowed regions of the request's route and account.

        If both restrict regions, both restrictions apply. An endpoint is also
        forbidden if the region of its failure domain is unknown.
        """
        allowed = _allowed_regions(exchange)
        if allowed is None:
            return frozenset()
        service = exchange.service
        assert service is not None
        entries = (
            *self._view.registered(service=service),
            *self._view.last_resort(service=service),
        )
        return frozenset(
            entry.endpoint
            for entry in entries
            if self._regions.get(entry.failure_domain) not in allowed
        )


def _allowed_regions(exchange: ForwardExchange) -> frozenset[Region] | None:
    """Return the regions in which a request may run, None for all."""
    bounds = [
        source.regions
        for source in (exchange.route, exchange.account)
        if source is not None and source.regions
    ]
    return frozenset.intersection(*bounds) if bounds else None
