"""TCP connections for httpcore, directly on asyncio transports.

anyio's socket stream pauses and resumes its transport around each read, and
enters a cancel scope for each timeout. At one read per token that is a third of
the cost of relaying. Here the transport keeps reading into a bounded buffer, and
a timer enforces the timeout of a read. The rest of the project uses anyio; these
connections are compatible with it, since each wait can be cancelled.
"""

from __future__ import annotations

import asyncio
import errno
import math
from typing import TYPE_CHECKING, Any

import anyio
import httpcore

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

MAX_BUFFERED_BYTES = 256 * 1024
"""Size of the receive buffer above which the transport stops reading."""

LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Errors of a connect that come of this host, not of the peer."""

MAX_WRITE_BYTES = 64 * 1024
"""Bytes passed to the transport at a time, which copies what it can't send at once."""


class _Protocol(asyncio.Protocol):
    """Buffers received data and wakes the waiting reader or writer."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.failure: Exception | None = None
        self.closed = False
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._paused = False
        self._reader: asyncio.Future[None] | None = None
        self._deadline = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._writer: asyncio.Future[None] | None = None

    @property
    def has_data(self) -> bool:
        return bool(self._chunks)

    @property
    def can_write(self) -> bool:
        return self._writer is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        _resolve(self._reader)

    def eof_received(self) -> bool:
        self.closed = True
        _resolve(self._reader)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.failure = exc
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        _resolve(self._reader)
        _resolve(self._writer)

    def pause_writing(self) -> None:
        self._writer = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        _resolve(self._writer)
        self._writer = None

    def take_data(self) -> bytes:
        """Return and clear the buffered data."""
        chunks, self._chunks, self._buffered_bytes = self._chunks, [], 0
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    async def wait_for_data(self, *, timeout: float | None) -> None:
        loop = asyncio.get_running_loop()
        self._reader = reader = loop.create_future()
        if timeout is not None:
            self._deadline = loop.time() + timeout
            self._set_timer(loop)
        try:
            await reader
        finally:
            self._reader = None
            self._deadline = math.inf

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        """Ensure that the timer fires no later than the deadline.

        One timer serves many reads: the protocol sets it again after it fires, not
        for each chunk of an answer.
        """
        if self._timer is not None:
            if self._timer.when() <= self._deadline:
                return
            self._timer.cancel()
        self._timer = loop.call_at(self._deadline, self._check_deadline, loop)

    def _check_deadline(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        if self._reader is None or self._deadline == math.inf:
            return
        if loop.time() < self._deadline:
            self._set_timer(loop)
            return
        _expire(self._reader)

    async def wait_until_writable(self) -> None:
        while self._writer is not None and not self.closed:
            await asyncio.shield(self._writer)


class TcpStream(httpcore.AsyncNetworkStream):
    """One TCP connection.

    Args:
        protocol: Protocol of an established connection.
    """

    def __init__(self, *, protocol: _Protocol) -> None:
        self._protocol = protocol

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return buffered data, or wait for some; empty at the end of the stream."""
        protocol = self._protocol
        if not protocol.has_data and not protocol.closed:
            await protocol.wait_for_data(timeout=timeout)
        if protocol.has_data:
            return protocol.take_data()
        if protocol.failure is not None:
            raise httpcore.ReadError(str(protocol.failure))
        return b""

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes; wait while the peer reads slowly."""
        protocol = self._protocol
        if protocol.closed or protocol.transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        first, rest = buffer[:MAX_WRITE_BYTES], memoryview(buffer)[MAX_WRITE_BYTES:]
        protocol.transport.write(first)
        if protocol.can_write and not rest:
            return
        with anyio.move_on_after(timeout) as scope:
            await self._write_rest(rest)
        if scope.cancelled_caught:
            raise httpcore.WriteTimeout("the peer does not read")

    async def _write_rest(self, rest: memoryview) -> None:
        protocol = self._protocol
        await protocol.wait_until_writable()
        while rest and not protocol.closed and not protocol.transport.is_closing():
            protocol.transport.write(rest[:MAX_WRITE_BYTES])
            rest = rest[MAX_WRITE_BYTES:]
            await protocol.wait_until_writable()

    async def aclose(self) -> None:
        """Close immediately, and discard unsent data."""
        self._protocol.transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> TcpStream:
        """Start TLS on the connection."""
        protocol = self._protocol
        with anyio.move_on_after(timeout):
            transport = await asyncio.get_running_loop().start_tls(
                protocol.transport,
                protocol,
                ssl_context,
                server_hostname=server_hostname,
            )
            assert transport is not None
            protocol.transport = transport
            return self
        raise httpcore.ConnectTimeout("the TLS handshake did not end in time")

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection for httpcore."""
        protocol = self._protocol
        match info:
            case "is_readable":
                # An idle connection with something to read has been closed.
                return protocol.has_data or protocol.closed
            case "unsent":
                return protocol.transport.get_write_buffer_size()
            case "client_addr":
                return protocol.transport.get_extra_info("sockname")
            case "server_addr":
                return protocol.transport.get_extra_info("peername")
            case "ssl_object" | "socket":
                return protocol.transport.get_extra_info(info)
        return None


class NoLocalResources(httpcore.ConnectError):
    """This process can open no connection, which tells nothing of the peer."""


class TcpBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> TcpStream:
        """Open a connection.

        Raises:
            NoLocalResources: If the process has no descriptor or port left.
            httpcore.ConnectError: If the peer refuses the connection.
            httpcore.ConnectTimeout: If the peer does not answer in time.
        """
        loop = asyncio.get_running_loop()
        local = (local_address, 0) if local_address else None
        try:
            with anyio.move_on_after(timeout):
                _, protocol = await loop.create_connection(
                    _Protocol, host, port, local_addr=local
                )
                return TcpStream(protocol=protocol)
        except OSError as error:
            if error.errno in LOCAL_ERRORS:
                raise NoLocalResources(str(error)) from error
            raise httpcore.ConnectError(str(error)) from error
        raise httpcore.ConnectTimeout(f"{host}:{port} did not answer in time")

    async def sleep(self, seconds: float) -> None:
        """Sleep between httpcore's own retries."""
        await anyio.sleep(seconds)


def _resolve(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _expire(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_exception(httpcore.ReadTimeout("received no data in time"))
