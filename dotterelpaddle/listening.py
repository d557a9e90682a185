"""Listening sockets, without any library.

A process that opens its socket before it loads its libraries lets callers wait for
the rest of its start instead of turning them away.
"""

from __future__ import annotations

import socket

from dotterelpaddle.address import Address

BACKLOG = 2048
"""Connections that may wait to be accepted."""


def bind(*, address: Address) -> socket.socket:
    """Open a listening TCP socket; port 0 takes a free one.

    Raises:
        OSError: If the address can't be had.
    """
    # asyncio switches off Nagle's algorithm only where the protocol is named.
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
    """Tell where a socket is bound."""
    host, port = listener.getsockname()[:2]
    return Address(host=host, port=port)
