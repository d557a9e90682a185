"""Read timeouts of `TcpStream`, whose reads share one timer."""

from __future__ import annotations

import asyncio
import socket

import anyio
import anyio.abc
import httpcore
import pytest

from dotterelpaddle.tests.virtual_time import run_in_virtual_time
from dotterelpaddle.transport import TcpBackend, TcpStream, _Protocol


async def _read(stream: TcpStream, *, timeout: float) -> bytes:
    return await stream.read(100, timeout)


def _receive_later(protocol: _Protocol, data: bytes, *, seconds: float) -> None:
    asyncio.get_running_loop().call_later(seconds, protocol.data_received, data)


def test_earlier_timer_does_not_end_a_later_read() -> None:
    """Guards against a read that fails at the shorter deadline of an earlier read."""

    async def _run() -> None:
        protocol = _Protocol()
        stream = TcpStream(protocol=protocol)
        _receive_later(protocol, b"early", seconds=0.1)
        assert await _read(stream, timeout=0.2) == b"early"
        _receive_later(protocol, b"late", seconds=1.0)
        assert await _read(stream, timeout=5.0) == b"late"

    run_in_virtual_time(_run)


def test_read_times_out_at_its_own_shorter_deadline() -> None:
    """Guards against a read that waits until the longer deadline of an earlier read."""

    async def _run() -> None:
        protocol = _Protocol()
        stream = TcpStream(protocol=protocol)
        _receive_later(protocol, b"early", seconds=0.1)
        assert await _read(stream, timeout=5.0) == b"early"
        started_at = asyncio.get_running_loop().time()
        with pytest.raises(httpcore.ReadTimeout):
            await _read(stream, timeout=0.5)
        assert asyncio.get_running_loop().time() - started_at == pytest.approx(0.5)
        _receive_later(protocol, b"more", seconds=2.0)
        assert await _read(stream, timeout=5.0) == b"more"

    run_in_virtual_time(_run)


@pytest.mark.anyio
async def test_connections_set_no_timeouts_of_the_kernel() -> None:
    """Guards against TCP_USER_TIMEOUT, which also ends quiet connections on Linux."""
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        stream = await TcpBackend().connect_tcp("127.0.0.1", port, 5.0)
        connection = stream.get_extra_info("socket")
        options = [
            connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        ]
        await stream.aclose()

    assert options == [0, 0]
