"""Proxies between the datagram sockets of router processes, which cut and delay links.

Each router sees each other one at an address of the link between them. A datagram to
such an address, from whichever router, goes to the router behind it, and arrives from
the address at which that one sees the sender.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup, UDPSocket

Delay = Callable[[str, str], float | None]
"""Returns the delay of a datagram from one router to another, None if it is lost."""


def no_delay(sender: str, recipient: str) -> float | None:
    """Deliver all datagrams at once."""
    return 0.0


@dataclass(kw_only=True)
class DatagramProxies:
    """The links between routers.

    Attributes:
        tasks: Runs the proxies.
        delay: Delay of each datagram.
    """

    tasks: TaskGroup
    delay: Delay = no_delay
    _addresses: dict[str, Address] = field(default_factory=dict)
    _sockets: dict[tuple[str, str], UDPSocket] = field(default_factory=dict)
    _locks: dict[tuple[str, str], anyio.Lock] = field(
        default_factory=lambda: defaultdict(anyio.Lock)
    )

    async def add(self, *, router: str, address: Address) -> None:
        """Add a router, and its links to and from all others."""
        others = list(self._addresses)
        self._addresses[router] = address
        for other in others:
            await self._link(behind=router, seen_by=other)
            await self._link(behind=other, seen_by=router)

    def seen(self, *, router: str, by: str) -> Address:
        """Return the address at which one router sees another."""
        return _local_address(self._sockets[router, by])

    async def _link(self, *, behind: str, seen_by: str) -> None:
        number = len(self._sockets)
        address = self._addresses[behind]
        first, second, _, _ = address.host.split(".")
        host = f"{first}.{second}.{251 + number // 250}.{number % 250 + 1}"
        socket = await anyio.create_udp_socket(local_host=host, local_port=address.port)
        self._sockets[behind, seen_by] = socket
        self.tasks.start_soon(self._forward, socket, behind)

    async def _forward(self, socket: UDPSocket, recipient: str) -> None:
        async with socket:
            async for datagram, (host, port) in socket:
                sender = self._router_at(Address(host=host, port=port))
                if sender in (None, recipient):
                    continue
                delay = self.delay(sender, recipient)
                if delay is not None:
                    self.tasks.start_soon(
                        self._deliver, datagram, sender, recipient, delay
                    )

    async def _deliver(
        self, datagram: bytes, sender: str, recipient: str, delay: float
    ) -> None:
        await anyio.sleep(delay)
        address = self._addresses[recipient]
        async with self._locks[sender, recipient]:
            socket = self._sockets[sender, recipient]
            await socket.sendto(datagram, address.host, address.port)

    def _router_at(self, address: Address) -> str | None:
        return next(
            (name for name, own in self._addresses.items() if own == address), None
        )


def _local_address(socket: UDPSocket) -> Address:
    address = socket.extra(anyio.abc.SocketAttribute.local_address)
    return Address(host=str(address[0]), port=int(address[1]))


@asynccontextmanager
async def run_proxies() -> AsyncIterator[DatagramProxies]:
    """Run proxies until the context ends."""
    async with anyio.create_task_group() as tasks:
        yield DatagramProxies(tasks=tasks)
        tasks.cancel_scope.cancel()
