"""The sockets of a channel: UDP and TCP on one port."""

from __future__ import annotations

import errno
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from dotterelpaddle.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream, UDPSocket
    from anyio.streams.stapled import MultiListener

PORT_ATTEMPTS = 20
"""Free TCP ports to try until one is free for UDP as well."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Sockets:
    """A UDP and a TCP socket on the same port.

    Attributes:
        address: Where they are bound.
        datagrams: The UDP socket.
        connections: The listening TCP socket.
    """

    address: Address
    datagrams: UDPSocket
    connections: MultiListener[SocketStream]


@asynccontextmanager
async def open_sockets(*, address: Address) -> AsyncIterator[Sockets]:
    """Bind both sockets; port 0 takes one that is free for both.

    Raises:
        OSError: If the address can't be had.
    """
    sockets = await _bind(address=address)
    async with sockets.connections, sockets.datagrams:
        yield sockets


async def _bind(*, address: Address) -> Sockets:
    attempts = 1 if address.port else PORT_ATTEMPTS
    while True:
        attempts -= 1
        connections = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port
        )
        port = connections.extra(SocketAttribute.local_port)
        try:
            datagrams = await anyio.create_udp_socket(
                local_host=address.host, local_port=port
            )
        except OSError as error:
            await connections.aclose()
            if error.errno != errno.EADDRINUSE or attempts == 0:
                raise
            continue
        return Sockets(
            address=Address(host=address.host, port=port),
            datagrams=datagrams,
            connections=connections,
        )
