"""Filter in which requests wait a moment for room at brittle endpoints.

It applies where routers decide alone. A router then keeps few requests in flight at
endpoints that bear few rejections. A request beyond that waits for one of them to end,
as that is sooner than the caller could come back. No more requests wait than are in
flight; the others are refused at once.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.brittle import BrittleEndpoints
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.filters import NextFilter
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, ServiceName

MAX_WAIT_SHARE = 0.5
"""Longest wait, as a share of the route's latency objective; the rest of it is left for
the answer."""


class RoomFilter:
    """Holds requests back while all endpoints of their service are brittle and full.

    Args:
        view: Current endpoints.
        brittle: Limits for endpoints that end if they reject too many requests.
        loads: Requests of this router in flight.
    """

    def __init__(
        self, *, view: FleetView, brittle: BrittleEndpoints, loads: LoadTracker
    ) -> None:
        self._view = view
        self._brittle = brittle
        self._loads = loads
        self._queues: dict[ServiceName, deque[anyio.Event]] = {}
        loads.on_change(self._on_load_change)

    async def __call__(
        self, exchange: ForwardExchange, next_filter: NextFilter
    ) -> None:
        """Wait for room if that is worth it, and run the next filter."""
        assert exchange.service is not None
        assert exchange.route is not None
        if self._brittle.any_known and not self._brittle.owners_grant:
            await self._wait(
                service=exchange.service,
                seconds=MAX_WAIT_SHARE * exchange.route.latency_objective,
            )
        await next_filter(exchange)

    async def _wait(self, *, service: ServiceName, seconds: float) -> None:
        queue = self._queues.setdefault(service, deque())
        if len(queue) >= self._in_flight(service):
            return
        if not queue and self._has_room(service):
            return
        turn = anyio.Event()
        queue.append(turn)
        try:
            with anyio.move_on_after(seconds):
                await turn.wait()
        finally:
            if turn in queue:
                queue.remove(turn)

    def _in_flight(self, service: ServiceName) -> int:
        loads = self._loads.own
        return sum(
            loads.get(entry.endpoint, 0) for entry in self._view.ready(service=service)
        )

    def _has_room(self, service: ServiceName) -> bool:
        entries = self._view.ready(service=service)
        return any(self._brittle.has_room(entry=entry) for entry in entries)

    def _on_load_change(self, endpoint: EndpointId, count: int) -> None:
        """Let the first waiting request of a service go on when another one ends."""
        if count > 0:
            return
        for service, queue in self._queues.items():
            entries = self._view.ready(service=service)
            if queue and any(entry.endpoint == endpoint for entry in entries):
                queue.popleft().set()
