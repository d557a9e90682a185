"""The balancer in front of the routers, as far as callers notice it.

It asks each router's readiness some times a second and sends calls to those
that were ready when last asked.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol

import anyio
import httpcore

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable, Mapping

    from dotterelpaddle.address import Address

INTERVAL = 0.1
"""Seconds between two questions to the same router."""

PATIENCE = 1.0
"""Seconds until a router that does not answer counts as not ready."""

READY = 200


class Entries(Protocol):
    """Where callers can send."""

    def pick(
        self, *, generator: random.Random, avoid: Address | None = None
    ) -> Address:
        """Choose a router, another one than the last if there is one."""


class Balancer:
    """Knows which routers are ready.

    Args:
        routers: Returns all routers by name, ready or not.
    """

    def __init__(self, *, routers: Callable[[], Mapping[str, Address]]) -> None:
        self._routers = routers
        self._ready: dict[str, Address] = {}

    @property
    def ready(self) -> Mapping[str, Address]:
        """The routers that take calls."""
        return self._ready

    def pick(
        self, *, generator: random.Random, avoid: Address | None = None
    ) -> Address:
        """Choose a ready router, any one while none is known to be ready."""
        known = self._ready or self._routers()
        addresses = list(known.values())
        others = [address for address in addresses if address != avoid]
        return generator.choice(others or addresses)

    async def watch(self) -> None:
        """Ask all routers again and again until cancelled."""
        async with (
            httpcore.AsyncConnectionPool(keepalive_expiry=5.0) as pool,
            anyio.create_task_group() as tasks,
        ):
            asked: set[str] = set()
            while True:
                for name, address in self._routers().items():
                    if name not in asked:
                        asked.add(name)
                        tasks.start_soon(self._ask, pool, name, address, asked)
                for name in set(self._ready) - set(self._routers()):
                    del self._ready[name]
                await anyio.sleep(INTERVAL)

    async def _ask(
        self,
        pool: httpcore.AsyncConnectionPool,
        name: str,
        address: Address,
        asked: set[str],
    ) -> None:
        ready = False
        with anyio.move_on_after(PATIENCE):
            ready = await is_ready(pool=pool, address=address)
        if ready:
            self._ready[name] = address
        else:
            self._ready.pop(name, None)
        asked.discard(name)


async def is_ready(*, pool: httpcore.AsyncConnectionPool, address: Address) -> bool:
    """Ask a router whether it takes callers' requests."""
    try:
        response = await pool.request("GET", f"http://{address}/readyz")
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return False
    return response.status == READY


@asynccontextmanager
async def run_balancer(
    *, routers: Callable[[], Mapping[str, Address]]
) -> AsyncIterator[Balancer]:
    """Run a balancer until the context ends.

    Args:
        routers: Returns all routers by name, ready or not.

    Yields:
        The balancer.
    """
    balancer = Balancer(routers=routers)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(balancer.watch)
        yield balancer
        tasks.cancel_scope.cancel()


async def until_ready(*, router: Callable[[], Address]) -> None:
    """Wait until a router takes callers' requests.

    Args:
        router: Returns where callers reach it.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        while not await is_ready(pool=pool, address=router()):
            await anyio.sleep(INTERVAL / 2)


class InTurn:
    """Sends to given routers in turn, ready or not.

    Args:
        addresses: Where callers reach them.
        first: Position of the one to begin with.
    """

    def __init__(self, *, addresses: tuple[Address, ...], first: int = 0) -> None:
        self._addresses = addresses
        self._next = first

    def pick(
        self, *, generator: random.Random, avoid: Address | None = None
    ) -> Address:
        """Choose the next router."""
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        return address
