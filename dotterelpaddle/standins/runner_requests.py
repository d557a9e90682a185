"""Reads requests from connections of a stand-in that writes its answers by hand."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import h11
from anyio.abc import SocketAttribute

from dotterelpaddle.platform.names import Header

if TYPE_CHECKING:
    from anyio.abc import SocketStream

READ_SIZE = 65536


@dataclass(frozen=True, kw_only=True, slots=True)
class Received:
    """A received request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers by lower-case name.
        body: Complete body.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def request_id(self) -> bytes:
        """Request id that the caller set."""
        return self.headers.get(Header.REQUEST_ID, b"")


async def receive_request(
    *, stream: SocketStream, connection: h11.Connection
) -> Received | None:
    """Read one request; None if the connection ends before."""
    head: h11.Request | None = None
    body: list[bytes] = []
    while True:
        event = connection.next_event()
        match event:
            case h11.Request():
                head = event
            case h11.Data(data=data):
                body.append(bytes(data))
            case h11.EndOfMessage():
                assert head is not None
                return Received(
                    method=head.method,
                    target=head.target,
                    headers=dict(head.headers),
                    body=b"".join(body),
                )
            case h11.ConnectionClosed():
                return None
            case _:
                connection.receive_data(await _read(stream))


async def _read(stream: SocketStream) -> bytes:
    try:
        return await stream.receive(READ_SIZE)
    except anyio.EndOfStream:
        return b""


def reset_on_close(*, stream: SocketStream) -> None:
    """Let the close of a connection reset it, so that the peer loses what is unread."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
