"""Outgoing TCP connections for httpcore that simulate faults of the process's links.

A cut link drops packets: a new connection hangs until its timeout, and an open
connection stalls without an error until the link is restored.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Protocol

import anyio
import httpcore

from dotterelpaddle.address import Address
from dotterelpaddle.transport import TcpBackend

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Iterable

    from dotterelpaddle.links import Links

LINK_POLL_SECONDS = 0.02
"""Interval at which a connection checks whether a cut link is restored."""


class LinkedStream(httpcore.AsyncNetworkStream):
    """A TCP connection that transfers nothing while its link is cut.

    Args:
        stream: The underlying connection.
        peer: Address of the peer.
        links: The process's links.
    """

    def __init__(
        self, *, stream: httpcore.AsyncNetworkStream, peer: Address, links: Links
    ) -> None:
        self._stream = stream
        self._peer = peer
        self._links = links
        self._blocked = b""
        self._held = b""
        self._bytes_written = 0
        self._bytes_received = 0
        self._read_timeout: float | None = None
        self._read_extension: Callable[[], float] | None = None

    @property
    def read_extension(self) -> Callable[[], float] | None:
        """Callback for a read that times out: seconds to wait longer, 0 to fail."""
        return self._read_extension

    @read_extension.setter
    def read_extension(self, callback: Callable[[], float] | None) -> None:
        self._read_extension = callback

    @property
    def read_timeout(self) -> float | None:
        """Seconds that a read waits if httpcore passes no timeout."""
        return self._read_timeout

    @read_timeout.setter
    def read_timeout(self, seconds: float | None) -> None:
        self._read_timeout = seconds

    @property
    def bytes_written(self) -> int:
        """Bytes that the caller has written so far."""
        return self._bytes_written

    @property
    def bytes_received(self) -> int:
        """Bytes received from the peer so far."""
        return self._bytes_received

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether some written bytes have not been sent yet."""
        return bool(self._blocked or self._stream.get_extra_info("unsent"))

    @property
    def can_read(self) -> bool:
        """Whether a read returns at once."""
        if self._links.has_faults and not self._links.is_open(peer=self._peer):
            return False
        return bool(self._held or self._stream.get_extra_info("is_readable"))

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes; empty at the end of the stream.

        Raises:
            httpcore.ReadTimeout: If there is nothing in time; what comes later is
                there for the next read.
        """
        if timeout is None:
            timeout = self._read_timeout
        if self._blocked:
            await self._send_blocked(timeout=timeout)
        data = self._held or await self._read_with_extensions(max_bytes, timeout)
        if self._links.has_faults:
            self._held = data
            await self._wait_for_link(timeout=timeout, error=httpcore.ReadTimeout)
        self._held = b""
        self._bytes_received += len(data)
        return data

    async def _read_with_extensions(
        self, max_bytes: int, timeout: float | None
    ) -> bytes:
        while True:
            try:
                return await self._stream.read(max_bytes, timeout)
            except httpcore.ReadTimeout:
                timeout = (
                    0.0 if self._read_extension is None else self._read_extension()
                )
                if timeout <= 0.0:
                    raise

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes; while the link is cut, keep them without an error."""
        self._bytes_written += len(buffer)
        if self._links.has_faults and not self._links.is_open(peer=self._peer):
            self._blocked += buffer
            return
        blocked, self._blocked = self._blocked, b""
        await self._stream.write(blocked + buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS on the connection."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return LinkedStream(stream=stream, peer=self._peer, links=self._links)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection for httpcore."""
        return self._stream.get_extra_info(info)

    async def _send_blocked(self, *, timeout: float | None) -> None:
        await self._wait_for_link(timeout=timeout, error=httpcore.ReadTimeout)
        blocked, self._blocked = self._blocked, b""
        await self._stream.write(blocked, timeout)

    async def _wait_for_link(
        self, *, timeout: float | None, error: type[httpcore.TimeoutException]
    ) -> None:
        await wait_for_link(
            links=self._links, peer=self._peer, timeout=timeout, error=error
        )


class StreamBackend(Protocol):
    """Opens connections to endpoints, directly or through another router."""

    async def connect_tcp(
        self, host: str, port: int, timeout: float | None = None
    ) -> LinkedStream:
        """Open a connection."""


class LinkedBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections over the process's links.

    Args:
        links: The process's links.
    """

    def __init__(self, *, links: Links) -> None:
        self._links = links
        self._backend = TcpBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> LinkedStream:
        """Open a connection.

        Raises:
            httpcore.ConnectError: If the peer refuses the connection.
            httpcore.ConnectTimeout: If the peer does not answer in time.
        """
        peer = Address(host=host, port=port)
        if self._links.is_refused(peer=peer):
            raise httpcore.ConnectError(f"the link to {peer} refuses connections")
        await wait_for_link(
            links=self._links,
            peer=peer,
            timeout=timeout,
            error=httpcore.ConnectTimeout,
        )
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return LinkedStream(stream=stream, peer=peer, links=self._links)

    async def sleep(self, seconds: float) -> None:
        """Sleep between httpcore's own retries."""
        await anyio.sleep(seconds)


async def wait_for_link(
    *,
    links: Links,
    peer: Address,
    timeout: float | None,
    error: type[httpcore.TimeoutException],
) -> None:
    """Wait until packets to a peer pass.

    Raises:
        httpcore.TimeoutException: The given type, after the timeout.
    """
    if links.is_open(peer=peer):
        return
    wait_seconds = math.inf if timeout is None else timeout
    with anyio.move_on_after(wait_seconds):
        while not links.is_open(peer=peer):
            await anyio.sleep(LINK_POLL_SECONDS)
        return
    raise error(f"the link to {peer} is cut")
