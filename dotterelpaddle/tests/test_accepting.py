"""Connections are accepted again after the process had no descriptors left."""

from __future__ import annotations

import errno
import os
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from dotterelpaddle.accepting import accepting

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

pytestmark = pytest.mark.anyio

FAILURES = 3


async def _echo(stream: SocketStream) -> None:
    async with stream:
        async for data in stream:
            await stream.send(data)


@asynccontextmanager
async def _serve_echo() -> AsyncIterator[int]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, accepting(listener=listener, handler=_echo):
        yield listener.extra(SocketAttribute.local_port)


async def _connect(port: int) -> SocketStream:
    return await anyio.connect_tcp("127.0.0.1", port)


def _fail_to_accept(monkeypatch: pytest.MonkeyPatch, failures: list[OSError]) -> None:
    """Let the process have no descriptor the next few times."""
    from anyio._backends import _asyncio

    accept = _asyncio.TCPSocketListener.accept

    async def _accept(self: Any) -> Any:
        if len(failures) < FAILURES:
            failures.append(OSError(errno.EMFILE, os.strerror(errno.EMFILE)))
            raise failures[-1]
        return await accept(self)

    monkeypatch.setattr(_asyncio.TCPSocketListener, "accept", _accept)


# Guards against a process that ends, with all requests in it, as another router
# connects while callers hold all its descriptors.
async def test_connections_are_served_after_accept_has_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failures: list[OSError] = []
    _fail_to_accept(monkeypatch, failures)
    with anyio.fail_after(10.0):
        async with _serve_echo() as port, await _connect(port) as stream:
            await stream.send(b"a")
            assert await stream.receive() == b"a"

    assert len(failures) == FAILURES


async def test_open_connection_goes_on_while_accept_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failures: list[OSError] = []
    with anyio.fail_after(10.0):
        async with _serve_echo() as port, await _connect(port) as stream:
            await stream.send(b"a")
            assert await stream.receive() == b"a"
            _fail_to_accept(monkeypatch, failures)
            async with await _connect(port) as other, await _connect(port):
                await other.send(b"b")
                while len(failures) < FAILURES:
                    await stream.send(b"c")
                    assert await stream.receive() == b"c"
                assert await other.receive() == b"b"
