"""UDP socket for the datagrams between routers; several tasks write to it.

The module uses asyncio's datagram transport: anyio's socket takes one iteration of the
event loop for each datagram, and an idle router does little but send and receive them.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from dotterelpaddle.address import Address
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.links import Links

log = get_logger(name=__name__)

MAX_QUEUED_DATAGRAMS = 2_000
"""Queued datagrams, as many as an aggregator receives in a second; when the queue is
full, a new datagram evicts the oldest."""


class _ReceiveQueue(asyncio.DatagramProtocol):
    """Queues received datagrams until a task reads them."""

    def __init__(self) -> None:
        self._queue: deque[tuple[bytes, Address]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self._arrival: asyncio.Future[None] | None = None

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if len(self._queue) == MAX_QUEUED_DATAGRAMS:
            log.warning("datagram_dropped", waiting=MAX_QUEUED_DATAGRAMS)
        self._queue.append((data, Address(host=addr[0], port=addr[1])))
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)

    def error_received(self, exc: Exception) -> None:
        log.warning("datagram_unsent", cause=str(exc))

    async def receive(self) -> tuple[bytes, Address]:
        while not self._queue:
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        return self._queue.popleft()


class DatagramSocket:
    """Sends and receives datagrams over the links of this process.

    Args:
        transport: Transport of the underlying socket.
        queue: Received datagrams.
        links: Decides which datagrams arrive; tests and scenarios cut links.
    """

    def __init__(
        self,
        *,
        transport: asyncio.DatagramTransport,
        queue: _ReceiveQueue,
        links: Links,
    ) -> None:
        self._transport = transport
        self._queue = queue
        self._links = links

    @property
    def address(self) -> Address:
        """Local address of the socket."""
        host, port = self._transport.get_extra_info("sockname")
        return Address(host=host, port=port)

    async def receive(self) -> tuple[bytes, Address]:
        """Return the next datagram from a sender with an open link, and the sender."""
        while True:
            datagram, sender = await self._queue.receive()
            if self._links.is_open(peer=sender):
                return datagram, sender

    async def send(self, datagram: bytes, target: Address) -> None:
        """Send a datagram; a closed or lossy link drops it without an error."""
        if not self._links.is_open(peer=target) or self._links.should_drop_datagram():
            return
        self._transport.sendto(datagram, (target.host, target.port))


@asynccontextmanager
async def open_datagram_socket(
    *, address: Address, links: Links
) -> AsyncIterator[DatagramSocket]:
    """Open the socket and close it when the context ends.

    Args:
        address: Local address to bind; port 0 picks a free port.
        links: Links of this process.
    """
    loop = asyncio.get_running_loop()
    transport, queue = await loop.create_datagram_endpoint(
        _ReceiveQueue, local_addr=(address.host, address.port), family=socket.AF_INET
    )
    try:
        yield DatagramSocket(transport=transport, queue=queue, links=links)
    finally:
        transport.close()
