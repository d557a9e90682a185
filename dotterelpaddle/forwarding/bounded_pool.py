"""A pool that keeps to this router's part of the connections of one endpoint.

The endpoint resets connections beyond those that it accepts from all routers together.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.endpoint.pool import Connection, ConnectionPool, PoolLimits
from dotterelpaddle.forwarding.exceptions import ConnectionLimitReached

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.connection_limits import ConnectionBounds
    from dotterelpaddle.network import StreamBackend

MAX_WAIT_SECONDS = 0.1
"""Seconds to wait for a connection in use, about as long as a plain service works on a
request. After that another endpoint is the better choice."""


class BoundedPool(ConnectionPool):
    """Keeps and opens no connections beyond bounds that may change.

    Args:
        address: The endpoint's address.
        backend: Opens TCP connections.
        limits: Bounds that don't change.
        bounds: Returns the bounds that may change, None for none.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        address: Address,
        backend: StreamBackend,
        limits: PoolLimits,
        bounds: Callable[[], ConnectionBounds | None],
        clock: Clock,
    ) -> None:
        super().__init__(address=address, backend=backend, limits=limits, clock=clock)
        self._bounds = bounds
        self._limiter = anyio.CapacityLimiter(math.inf)
        self._borrowers: dict[Connection, object] = {}

    @property
    def busy(self) -> int:
        """Connections in use, those that are being opened included."""
        return self._limiter.borrowed_tokens

    async def acquire(self, *, fresh: bool, timeout: float) -> Connection:
        """Take an idle connection or open one.

        Args:
            fresh: Whether to use a new connection only.
            timeout: Seconds within which a connection must be established.

        Raises:
            ConnectionLimitReached: If all connections stay in use.
            EndpointUnreachable: If no connection could be established.
        """
        borrower = object()
        bounds = self._update_limiter()
        with anyio.move_on_after(MAX_WAIT_SECONDS) as scope:
            await self._limiter.acquire_on_behalf_of(borrower)
        if scope.cancelled_caught:
            raise ConnectionLimitReached(
                f"all {self.busy} connections that this router may open are in use",
                peer=str(self._address),
            )
        try:
            if bounds is not None and (fresh or not self.idle):
                await self.discard_oldest(keep=max(0, bounds.part - self.busy))
            connection = await super().acquire(fresh=fresh, timeout=timeout)
        except BaseException:
            self._limiter.release_on_behalf_of(borrower)
            raise
        self._borrowers[connection] = borrower
        return connection

    async def release(self, *, connection: Connection) -> None:
        """Take a connection back; it is kept if its last exchange was complete."""
        try:
            await super().release(connection=connection)
            await self._discard_surplus()
        finally:
            self._limiter.release_on_behalf_of(self._borrowers.pop(connection))

    async def discard_expired(self) -> None:
        """Close idle connections that are too old, or beyond a bound that fell."""
        await super().discard_expired()
        await self._discard_surplus()

    def _update_limiter(self) -> ConnectionBounds | None:
        bounds = self._bounds()
        self._limiter.total_tokens = math.inf if bounds is None else bounds.max_open
        return bounds

    async def _discard_surplus(self) -> None:
        bounds = self._update_limiter()
        if bounds is not None:
            await self.discard_oldest(keep=bounds.max_idle)
