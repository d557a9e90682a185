"""Forwards connections of other routers to endpoints that they can't reach themselves.

A router that is cut off from endpoints sends an HTTP CONNECT request (RFC 9110, section
9.3.6) that names the address of an endpoint. The server connects and copies bytes both
ways. The other router keeps all decisions about its requests; the server knows none of
them. It never forwards a connection through a third router.
"""

from __future__ import annotations

from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING

import anyio
import h11
import httpcore

from dotterelpaddle.accepting import accepting
from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import NotAccepting
from dotterelpaddle.logs import get_logger
from dotterelpaddle.memory.held_bytes import REQUEST_BYTES
from dotterelpaddle.memory.kinds import HeldKind
from dotterelpaddle.transport import NoLocalResources

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

    from anyio.abc import SocketStream

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.memory.held_bytes import HeldBytes
    from dotterelpaddle.network import LinkedBackend, LinkedStream

log = get_logger(name=__name__)

HEAD_TIMEOUT_SECONDS = 1.0
"""Seconds within which the whole CONNECT request must arrive."""

CONNECT_TIMEOUT_SECONDS = 0.1
"""Timeout of the connection to the endpoint; the other router waits a little longer."""

MAX_TUNNELS = 256
"""Open tunnels at a time; each takes two of the file descriptors of the process."""

MAX_CHUNK_BYTES = 65536

TUNNEL_BYTES = 2 * REQUEST_BYTES
"""What an open tunnel takes besides the bytes that it copies: two tasks, and two
connections with their buffers."""

CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    httpcore.NetworkError,
)
"""Errors of a tunnel whose ends may close or reset it at any moment."""

STATUS_ESTABLISHED = 200
STATUS_UNKNOWN_ENDPOINT = 403
STATUS_REFUSED = 502
STATUS_BUSY = 503
STATUS_TIMED_OUT = 504


class TunnelServer:
    """Serves CONNECT requests of other routers.

    Args:
        view: The endpoints in force; only their addresses are served.
        reachability: Endpoints that this router can't reach either.
        backend: Opens connections to endpoints.
        held: Accounts for what the process holds, and bounds it.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        reachability: Reachability,
        backend: LinkedBackend,
        held: HeldBytes,
        clock: Clock,
    ) -> None:
        self._view = view
        self._reachability = reachability
        self._backend = backend
        self._held = held
        self._clock = clock
        self._drain_until = float("-inf")
        self._open = 0
        self._closed = anyio.Event()
        self._address: Address | None = None

    @property
    def address(self) -> Address | None:
        """Address on which the server listens, None while it does not."""
        return self._address

    @asynccontextmanager
    async def serve(self, *, address: Address) -> AsyncIterator[None]:
        """Listen until the context ends."""
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port
        )
        async with listener, accepting(listener=listener, handler=self.handle):
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            with self.announced(address=Address(host=address.host, port=port)):
                yield
                await self._drain()

    @contextmanager
    def announced(self, *, address: Address) -> Iterator[None]:
        """Let reports tell the address until the context ends."""
        self._address = address
        try:
            yield
        finally:
            self._address = None

    def stop_within(self, *, seconds: float) -> None:
        """Set the time that open tunnels have when the context of `serve` ends."""
        self._drain_until = self._clock() + seconds

    async def _drain(self) -> None:
        """Wait until other routers have closed their tunnels."""
        with anyio.move_on_after(self._drain_until - self._clock()):
            while self._open:
                self._closed = anyio.Event()
                await self._closed.wait()

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection of another router."""
        self._open += 1
        try:
            async with stream:
                with self._held.hold(kind=HeldKind.TUNNEL, size=TUNNEL_BYTES):
                    await self._serve_connection(stream)
        except CONNECTION_ERRORS as error:
            log.info("tunnel_broken", cause=repr(error))
        finally:
            self._open -= 1
            self._closed.set()

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        request = None
        with anyio.move_on_after(HEAD_TIMEOUT_SECONDS):
            request = await _read_request(connection, stream)
        if request is None:
            log.warning("tunnel_refused", cause="no CONNECT request in time")
            return
        target = request.target.decode("ascii", "replace")
        status, upstream = await self._connect(target)
        log.info("tunnel_opened", target=target, status=status, open=self._open)
        response = h11.Response(status_code=status, headers=[])
        await stream.send(connection.send(response) or b"")
        if upstream is None:
            return
        try:
            await self._copy_both_ways(stream, upstream)
        finally:
            await upstream.aclose()

    def _has_room(self) -> bool:
        """Return whether the process may hold what one more tunnel takes."""
        try:
            self._held.check_room(service=None, size=0)
        except NotAccepting:
            return False
        return True

    async def _connect(self, target: str) -> tuple[int, LinkedStream | None]:
        entry = next(
            (each for each in self._view.entries if str(each.address) == target), None
        )
        if entry is None:
            return STATUS_UNKNOWN_ENDPOINT, None
        if self._reachability.is_suspect(endpoint=entry.endpoint):
            return STATUS_TIMED_OUT, None
        if self._open > MAX_TUNNELS or not self._has_room():
            return STATUS_BUSY, None
        address = entry.address
        try:
            upstream = await self._backend.connect_tcp(
                address.host, address.port, CONNECT_TIMEOUT_SECONDS
            )
        except NoLocalResources:
            return STATUS_BUSY, None
        except httpcore.ConnectTimeout:
            self._reachability.suspect(entry=entry, timed_out=True)
            return STATUS_TIMED_OUT, None
        except httpcore.ConnectError:
            self._reachability.suspect(entry=entry, timed_out=False)
            return STATUS_REFUSED, None
        return STATUS_ESTABLISHED, upstream

    async def _copy_both_ways(
        self, stream: SocketStream, upstream: LinkedStream
    ) -> None:
        """Copy bytes until either end closes."""
        async with anyio.create_task_group() as tasks:

            async def _copy(
                read: Callable[[], Awaitable[bytes]],
                write: Callable[[bytes], Awaitable[None]],
            ) -> None:
                try:
                    while data := await read():
                        with self._held.hold(kind=HeldKind.TUNNEL, size=len(data)):
                            await write(data)
                except CONNECTION_ERRORS as error:
                    log.info("tunnel_broken", cause=repr(error))
                tasks.cancel_scope.cancel()

            async def _read_stream() -> bytes:
                try:
                    return await stream.receive(MAX_CHUNK_BYTES)
                except anyio.EndOfStream:
                    return b""

            async def _read_upstream() -> bytes:
                return await upstream.read(MAX_CHUNK_BYTES)

            tasks.start_soon(_copy, _read_stream, upstream.write)
            tasks.start_soon(_copy, _read_upstream, stream.send)


async def _read_request(
    connection: h11.Connection, stream: SocketStream
) -> h11.Request | None:
    """Read the head of a request; None if it is no valid CONNECT request."""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError as error:
            log.warning("tunnel_refused", cause=str(error))
            return None
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive())
            continue
        if isinstance(event, h11.Request) and event.method == b"CONNECT":
            return event
        return None
