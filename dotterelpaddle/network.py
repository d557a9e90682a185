"""Outgoing TCP connections for httpcore that obey the process's links.

A cut link loses packets: connecting hangs until its timeout, and an open
connection goes silent without an error until the link is healed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import anyio
import httpcore

from dotterelpaddle.address import Address
from dotterelpaddle.transport import TcpBackend

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Iterable

    from dotterelpaddle.links import Links

LINK_POLL_SECONDS = 0.02
"""Seconds between looks at a link that is cut."""


class LinkedStream(httpcore.AsyncNetworkStream):
    """A TCP connection whose packets vanish while its link is cut.

    Args:
        stream: The connection itself.
        peer: The other end.
        links: The process's links.
    """

    def __init__(
        self, *, stream: httpcore.AsyncNetworkStream, peer: Address, links: Links
    ) -> None:
        self._stream = stream
        self._peer = peer
        self._links = links
        self._blocked = b""
        self._bytes_written = 0
        self._bytes_received = 0
        self._read_timeout: float | None = None
        self._read_extension: Callable[[], float] | None = None

    @property
    def read_extension(self) -> Callable[[], float] | None:
        """Tells how many more seconds a read waits whose time is up, 0 for none."""
        return self._read_extension

    @read_extension.setter
    def read_extension(self, more_time: Callable[[], float] | None) -> None:
        self._read_extension = more_time

    @property
    def read_timeout(self) -> float | None:
        """Seconds that a read waits where httpcore gives no timeout."""
        return self._read_timeout

    @read_timeout.setter
    def read_timeout(self, seconds: float | None) -> None:
        self._read_timeout = seconds

    @property
    def bytes_written(self) -> int:
        """Bytes that were given to the connection so far."""
        return self._bytes_written

    @property
    def bytes_received(self) -> int:
        """Bytes that came from the other end so far."""
        return self._bytes_received

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes that were written have not left yet."""
        return bool(self._blocked or self._stream.get_extra_info("unsent"))

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes, empty at the end."""
        if timeout is None:
            timeout = self._read_timeout
        if self._blocked:
            await self._send_blocked(timeout=timeout)
        data = await self._read_with_extensions(max_bytes, timeout)
        if self._links.has_faults:
            await self._wait_for_link(timeout=timeout, error=httpcore.ReadTimeout)
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
        """Write all bytes; while the link is cut they wait for it unseen."""
        self._bytes_written += len(buffer)
        if self._links.has_faults and not self._links.is_open(peer=self._peer):
            self._blocked += buffer
            return
        held, self._blocked = self._blocked, b""
        await self._stream.write(held + buffer, timeout)

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
        """Look up what httpcore asks of a connection."""
        return self._stream.get_extra_info(info)

    async def _send_blocked(self, *, timeout: float | None) -> None:
        await self._wait_for_link(timeout=timeout, error=httpcore.ReadTimeout)
        held, self._blocked = self._blocked, b""
        await self._stream.write(held, timeout)

    async def _wait_for_link(
        self, *, timeout: float | None, error: type[httpcore.TimeoutException]
    ) -> None:
        await wait_for_link(
            links=self._links, peer=self._peer, timeout=timeout, error=error
        )


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
            httpcore.ConnectError: If the other end refuses.
            httpcore.ConnectTimeout: If no answer came in time.
        """
        peer = Address(host=host, port=port)
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
        """Wait, for httpcore's own retries."""
        await anyio.sleep(seconds)


async def wait_for_link(
    *,
    links: Links,
    peer: Address,
    timeout: float | None,
    error: type[httpcore.TimeoutException],
) -> None:
    """Return once packets to a peer pass.

    Raises:
        httpcore.TimeoutException: Of the given type, after the timeout.
    """
    if links.is_open(peer=peer):
        return
    patience = math.inf if timeout is None else timeout
    with anyio.move_on_after(patience):
        while not links.is_open(peer=peer):
            await anyio.sleep(LINK_POLL_SECONDS)
        return
    raise error(f"no packets pass to {peer}")
