"""In-memory connections between routers and endpoints, for tests in virtual time."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import anyio
import httpcore

from dotterelpaddle.transport import TcpBackend

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from anyio.abc import TaskGroup
    from anyio.streams.memory import (
        MemoryObjectReceiveStream,
        MemoryObjectSendStream,
    )

    from dotterelpaddle.address import Address

    Handler = Callable[[Any], Awaitable[None]]

MIN_WAIT_SECONDS = 1e-6
"""Minimum duration of a wait; a shorter one may not advance a virtual clock."""

CONNECT_SECONDS = 0.001
"""Time until a connection is established or refused."""


class _End:
    """One end of a connection."""

    def __init__(
        self,
        *,
        incoming: MemoryObjectReceiveStream[bytes],
        outgoing: MemoryObjectSendStream[bytes],
    ) -> None:
        self._incoming = incoming
        self._outgoing = outgoing


class ClientEnd(_End, httpcore.AsyncNetworkStream):
    """The router's end of a connection."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read received bytes; empty at the end of the stream."""
        if timeout is not None:
            timeout = max(timeout, MIN_WAIT_SECONDS)
        try:
            with anyio.fail_after(timeout):
                return await self._incoming.receive()
        except anyio.EndOfStream:
            return b""
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes at once."""
        if not buffer:
            return
        try:
            await self._outgoing.send(buffer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError from error

    async def aclose(self) -> None:
        """Close both directions."""
        await self._outgoing.aclose()
        await self._incoming.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return whether bytes or the end of the stream have arrived."""
        if info == "is_readable":
            statistics = self._incoming.statistics()
            return (
                statistics.current_buffer_used > 0 or statistics.open_send_streams == 0
            )
        return None


class ServerEnd(_End):
    """The endpoint's end of a connection, as `RunnerStandin` uses it."""

    async def __aenter__(self) -> ServerEnd:
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Read received bytes.

        Raises:
            anyio.EndOfStream: At the end of the stream.
        """
        return await self._incoming.receive()

    async def send(self, item: bytes) -> None:
        """Send all bytes at once."""
        try:
            await self._outgoing.send(item)
        except anyio.ClosedResourceError as error:
            raise anyio.BrokenResourceError from error

    def close(self) -> None:
        """Close both directions."""
        self._outgoing.close()
        self._incoming.close()


class MemoryNetwork:
    """Listening endpoints and the connections to them."""

    def __init__(self) -> None:
        self._handlers: dict[tuple[str, int], Handler] = {}
        self._open: dict[
            tuple[str, int], list[tuple[anyio.CancelScope, ServerEnd]]
        ] = {}
        self.tasks: TaskGroup

    def listen(self, *, address: Address, handler: Handler) -> None:
        """Serve connections to an address with a handler."""
        self._handlers[address.host, address.port] = handler

    def end(self, *, address: Address) -> None:
        """Close all connections to an address, and refuse new ones."""
        address_key = address.host, address.port
        self._handlers.pop(address_key, None)
        for scope, stream in self._open.pop(address_key, []):
            stream.close()
            scope.cancel()

    async def connect(self, host: str, port: int) -> ClientEnd:
        """Open a connection.

        Raises:
            httpcore.ConnectError: If no endpoint listens at the address.
        """
        await anyio.sleep(CONNECT_SECONDS)
        handler = self._handlers.get((host, port))
        if handler is None:
            raise httpcore.ConnectError("Connect call failed")
        to_server, from_client = anyio.create_memory_object_stream[bytes](float("inf"))
        to_client, from_server = anyio.create_memory_object_stream[bytes](float("inf"))
        server = ServerEnd(incoming=from_client, outgoing=to_client)
        scope = anyio.CancelScope()
        self._open.setdefault((host, port), []).append((scope, server))
        self.tasks.start_soon(self._serve, handler, server, scope)
        return ClientEnd(incoming=from_server, outgoing=to_server)

    async def _serve(
        self, handler: Handler, stream: ServerEnd, scope: anyio.CancelScope
    ) -> None:
        with scope:
            try:
                await handler(stream)
            except anyio.ClosedResourceError:
                return

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Route all connections of this process's routers over this network."""

        async def _connect(
            _: TcpBackend,
            host: str,
            port: int,
            *rest: object,
        ) -> ClientEnd:
            return await self.connect(host, port)

        with patch.object(TcpBackend, "connect_tcp", _connect):
            yield
