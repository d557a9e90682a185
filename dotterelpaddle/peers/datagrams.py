"""The socket for datagrams between routers, which several tasks write to.

It is asyncio's own: anyio's takes a turn of the loop for each datagram that comes or
goes, and a router without requests does little else than send and receive them.
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
"""Datagrams that wait to be read, a second's of an aggregator; of more the oldest are
dropped."""


class _ReceiveQueue(asyncio.DatagramProtocol):
    """Keeps what has come in until it is read."""

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
    """Sends and receives datagrams.

    Args:
        transport: The socket.
        queue: What comes in.
        links: The process's links.
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
        """Where datagrams come in."""
        host, port = self._transport.get_extra_info("sockname")
        return Address(host=host, port=port)

    async def receive(self) -> tuple[bytes, Address]:
        """Return the next datagram that a link does not lose, and its sender."""
        while True:
            datagram, sender = await self._queue.receive()
            if self._links.is_open(peer=sender):
                return datagram, sender

    async def send(self, datagram: bytes, target: Address) -> None:
        """Send a datagram; one that can't be sent is lost like others."""
        if not self._links.is_open(peer=target) or self._links.should_drop_datagram():
            return
        self._transport.sendto(datagram, (target.host, target.port))


@asynccontextmanager
async def open_datagram_socket(
    *, address: Address, links: Links
) -> AsyncIterator[DatagramSocket]:
    """Open the socket for the time of the context.

    Args:
        address: Where datagrams come in; port 0 takes a free one.
        links: The process's links.
    """
    loop = asyncio.get_running_loop()
    transport, inbox = await loop.create_datagram_endpoint(
        _ReceiveQueue, local_addr=(address.host, address.port), family=socket.AF_INET
    )
    try:
        yield DatagramSocket(transport=transport, queue=inbox, links=links)
    finally:
        transport.close()
