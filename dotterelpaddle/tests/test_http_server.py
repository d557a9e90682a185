"""Tests of HTTP servers that stop."""

from __future__ import annotations

import socket
from typing import Any

import anyio
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.http_server import serve

pytestmark = pytest.mark.anyio

ANY_LOCAL_ADDRESS = Address(host="127.0.0.1", port=0)
REQUEST = b"GET / HTTP/1.1\r\nhost: here\r\n\r\n"
BODY = b"whole"
READ_SIZE = 65536


async def answer(scope: dict[str, Any], receive: Any, send: Any) -> None:
    """Answer a request (ASGI)."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": BODY})


def send_at_once(connection: socket.socket) -> None:
    """Send a request while the event loop stands still, as on a busy host."""
    connection.sendall(REQUEST)


async def read_to_end(connection: socket.socket) -> bytes:
    """Read until the server closes the connection."""
    return await anyio.to_thread.run_sync(_read_to_end, connection)


def _read_to_end(connection: socket.socket) -> bytes:
    received = b""
    while data := connection.recv(READ_SIZE):
        received += data
    return received


def _read_answer(connection: socket.socket) -> bytes:
    received = b""
    while BODY not in received:
        received += connection.recv(READ_SIZE)
    return received


# Guards against requests that get no answer, because a server that stops resets the
# connections that the kernel has taken and the process has not.
async def test_connection_that_waits_as_the_server_stops_is_served() -> None:
    async with serve(app=answer, address=ANY_LOCAL_ADDRESS) as address:
        connection = socket.create_connection((address.host, address.port))
        send_at_once(connection)

    with connection:
        received = await read_to_end(connection)
    assert received.startswith(b"HTTP/1.1 200")
    assert BODY in received


# Guards against the same on a connection that callers use again.
async def test_request_that_waits_on_a_used_connection_is_served() -> None:
    async with serve(app=answer, address=ANY_LOCAL_ADDRESS) as address:
        connection = socket.create_connection((address.host, address.port))
        send_at_once(connection)
        first = await anyio.to_thread.run_sync(_read_answer, connection)
        send_at_once(connection)

    with connection:
        received = await read_to_end(connection)
    assert first.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 200" in received
    assert BODY in received


async def test_idle_connection_is_closed_as_the_server_stops() -> None:
    async with serve(app=answer, address=ANY_LOCAL_ADDRESS) as address:
        connection = socket.create_connection((address.host, address.port))
        await anyio.sleep(0)

    with connection:
        assert await read_to_end(connection) == b""
