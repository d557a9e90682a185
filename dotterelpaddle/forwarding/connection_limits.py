"""This router's part of the connections that an endpoint accepts from all routers.

All routers together have no more requests in flight at an endpoint than it has slots,
wherever their callers are. So what it accepts beyond its slots is divided for idle
connections, and a router may use more than an equal part of the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.view import FleetView


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionBounds:
    """Bounds of a router's connections to one endpoint.

    Attributes:
        part: The router's equal part, idle connections included. Connections beyond it
            are only opened once no idle one is left to close.
        max_open: Connections at a time. A caller load that is uneven among routers
            needs more than the equal part at some of them.
        max_idle: Idle connections kept for reuse.
    """

    part: int
    max_open: int
    max_idle: int


class ConnectionLimits:
    """Divides the connections that each service states among the routers.

    Args:
        view: The configuration in force.
        router_count: Returns the number of routers, None while too few may be known.
        known_routers: Returns the number of routers known so far; it counts until all
            are known.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        router_count: Callable[[], int | None],
        known_routers: Callable[[], int],
    ) -> None:
        self._view = view
        self._router_count = router_count
        self._known_routers = known_routers

    def bounds(self, *, entry: EndpointEntry) -> ConnectionBounds | None:
        """Return the bounds for an endpoint, None if its service states none."""
        configuration = self._view.configuration
        if configuration is None:
            return None
        total = configuration.max_connections.get(entry.service)
        if total is None:
            return None
        routers = self._router_count() or max(1, self._known_routers())
        part = max(1, total // routers)
        return ConnectionBounds(
            part=part,
            max_open=min(total, max(part, entry.slots)),
            max_idle=max(0, total - entry.slots) // routers,
        )
