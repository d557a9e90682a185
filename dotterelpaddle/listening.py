"""Listening sockets, with the standard library alone.

A process can open its socket before it imports other libraries. Callers then wait for
the rest of its start, and get no refused connections.
"""

from __future__ import annotations

import socket

from dotterelpaddle.address import Address

BACKLOG = 2048
"""Maximum number of connections that wait to be accepted."""


def bind(*, address: Address) -> socket.socket:
    """Open a listening TCP socket; port 0 selects a free port.

    Raises:
        OSError: If the address is in use or not available.
    """
    # asyncio disables Nagle's algorithm only if the socket names its protocol.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def address_of(*, listener: socket.socket) -> Address:
    """Return the address that a socket is bound to."""
    host, port = listener.getsockname()[:2]
    return Address(host=host, port=port)
