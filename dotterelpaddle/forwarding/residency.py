"""Where requests may run: routes and client accounts may be bound to regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, Region


class ResidencyPolicy:
    """Tells which endpoints a request must not reach.

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
        """Endpoints outside the regions of the request's route and account.

        Where both have some, both bind. An endpoint in a failure domain of which no
        region is known is outside.
        """
        allowed = _allowed(exchange)
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


def _allowed(exchange: ForwardExchange) -> frozenset[Region] | None:
    """Regions in which a request may run, None for all."""
    bounds = [
        holder.regions
        for holder in (exchange.route, exchange.account)
        if holder is not None and holder.regions
    ]
    return frozenset.intersection(*bounds) if bounds else None
