"""A bounded pool of HTTP/1.1 connections to one endpoint."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.endpoint.http_connection import HttpConnection
from dotterelpaddle.exceptions import EndpointUnreachable
from dotterelpaddle.transport import NoLocalResources

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.network import LinkedStream, StreamBackend


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolLimits:
    """Bounds of one endpoint's connections.

    Attributes:
        max_open: Connections at a time.
        max_idle: Idle connections kept for reuse.
        max_age: Seconds after which a connection is not used again.
        max_idle_age: Seconds after which an idle connection is not used again.
    """

    max_open: int = 256
    max_idle: int = 32
    max_age: float = 300.0
    max_idle_age: float = 20.0


class Connection:
    """One open connection.

    Args:
        stream: The TCP connection.
        opened_at: When it was opened, seconds on the monotonic clock.
    """

    def __init__(self, *, stream: LinkedStream, opened_at: float) -> None:
        self._stream = stream
        self._http = HttpConnection(stream=stream)
        self._opened_at = opened_at
        self.idle_since = opened_at
        self.reused = False

    @property
    def stream(self) -> LinkedStream:
        """The TCP connection."""
        return self._stream

    @property
    def http(self) -> HttpConnection:
        """The protocol on it."""
        return self._http

    @property
    def opened_at(self) -> float:
        """When it was opened, seconds on the monotonic clock."""
        return self._opened_at

    async def aclose(self) -> None:
        """Close it at once."""
        with anyio.CancelScope(shield=True):
            await self._http.aclose()


class ConnectionPool:
    """Opens, keeps and closes the connections to one endpoint.

    Args:
        address: The endpoint's address.
        backend: Opens TCP connections.
        limits: Bounds.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        address: Address,
        backend: StreamBackend,
        limits: PoolLimits,
        clock: Clock,
    ) -> None:
        self._address = address
        self._backend = backend
        self._limits = limits
        self._clock = clock
        self._slots = anyio.Semaphore(limits.max_open, fast_acquire=True)
        self._idle: deque[Connection] = deque()
        self._busy = 0
        self._closed = False

    @property
    def idle(self) -> int:
        """Connections kept for reuse."""
        return len(self._idle)

    @property
    def busy(self) -> int:
        """Connections in use."""
        return self._busy

    async def acquire(self, *, fresh: bool, timeout: float) -> Connection:
        """Take an idle connection or open one.

        Args:
            fresh: Whether only a new connection will do.
            timeout: Seconds until a connection must stand.

        Raises:
            EndpointUnreachable: If none could be had.
        """
        connection = None if fresh else await self._reuse()
        if connection is not None:
            self._busy += 1
            return connection
        with anyio.move_on_after(timeout):
            await self._slots.acquire()
            try:
                connection = await self._open(timeout=timeout)
            except BaseException:
                self._slots.release()
                raise
            self._busy += 1
            return connection
        raise EndpointUnreachable(
            "no connection could be had in time",
            timed_out=True,
            peer=str(self._address),
        )

    async def probe(self, *, timeout: float) -> bool:
        """Tell whether a new connection can be had; it is closed again.

        It takes no slot: silent connections that hold them all are no reason to
        take the endpoint for dead.

        Args:
            timeout: Seconds in which it must stand.
        """
        with anyio.move_on_after(timeout):
            try:
                connection = await self._open(timeout=timeout)
            except EndpointUnreachable:
                return False
            await connection.aclose()
            return True
        return False

    async def release(self, *, connection: Connection) -> None:
        """Give a connection back; it is kept if its last exchange was whole."""
        self._slots.release()
        self._busy -= 1
        now = self._clock()
        if self._closed or not connection.http.is_idle():
            await connection.aclose()
            return
        connection.idle_since = now
        connection.reused = True
        connection.stream.read_timeout = None
        self._idle.append(connection)
        await self.discard_oldest(keep=self._limits.max_idle)

    async def discard_idle(self) -> None:
        """Close all idle connections, because they may have gone silent."""
        await self.discard_oldest(keep=0)

    async def discard_oldest(self, *, keep: int) -> None:
        """Close the oldest idle connections until at most some are left.

        Args:
            keep: Maximum number of idle connections to keep.
        """
        while len(self._idle) > keep:
            await self._idle.popleft().aclose()

    async def discard_expired(self) -> None:
        """Close idle connections that are too old to be used again."""
        now = self._clock()
        usable = deque(each for each in self._idle if self._is_usable(each, now))
        expired = [each for each in self._idle if each not in usable]
        self._idle = usable
        for connection in expired:
            await connection.aclose()

    async def aclose(self) -> None:
        """Close idle connections; those in use close when given back."""
        self._closed = True
        await self.discard_idle()

    async def _reuse(self) -> Connection | None:
        """Take an idle connection that is still good, if a slot is free."""
        now = self._clock()
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection, now):
                try:
                    self._slots.acquire_nowait()
                except anyio.WouldBlock:
                    self._idle.append(connection)
                    return None
                return connection
            await connection.aclose()
        return None

    def _is_usable(self, connection: Connection, now: float) -> bool:
        if now - connection.opened_at > self._limits.max_age:
            return False
        if now - connection.idle_since > self._limits.max_idle_age:
            return False
        return not connection.http.has_expired()

    async def _open(self, *, timeout: float) -> Connection:
        try:
            stream = await self._backend.connect_tcp(
                self._address.host, self._address.port, timeout
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise EndpointUnreachable(
                f"no connection: {error or type(error).__name__}",
                timed_out=isinstance(error, httpcore.ConnectTimeout),
                is_local=isinstance(error, NoLocalResources),
                peer=str(self._address),
            ) from error
        return Connection(stream=stream, opened_at=self._clock())
