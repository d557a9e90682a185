"""The socket for datagrams between routers, which several tasks write to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import UDPSocket

    from dotterelpaddle.address import Address
    from dotterelpaddle.links import Links

log = get_logger(name=__name__)


class Datagrams:
    """Sends datagrams one after the other.

    Args:
        socket: The socket.
        links: The process's links.
    """

    def __init__(self, *, socket: UDPSocket, links: Links) -> None:
        self._socket = socket
        self._links = links
        self._sending = anyio.Lock()

    @property
    def socket(self) -> UDPSocket:
        """Where datagrams come in."""
        return self._socket

    async def send(self, datagram: bytes, target: Address) -> None:
        """Send a datagram; one that can't be sent is lost like others."""
        if not self._links.is_open(peer=target) or self._links.loses():
            return
        try:
            async with self._sending:
                await self._socket.sendto(datagram, target.host, target.port)
        except OSError as error:
            log.warning("datagram_unsent", peer=str(target), cause=str(error))
