"""Runs uvicorn HTTP servers as tasks of the calling process."""

from __future__ import annotations

import asyncio
import logging
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from dotterelpaddle.address import Address
from dotterelpaddle.listening import address_of, bind
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Iterator

log = get_logger(name=__name__)

SHUTDOWN_GRACE_SECONDS = 5.0
"""Default time that open connections have to finish when a server stops."""

READ_TURNS = 2
"""Turns of the event loop after which it has read what had arrived before."""


class ReplyCut(Exception):
    """Raised by an application to abort a connection in the middle of an answer.

    The caller can then tell that the answer is incomplete.
    """


def _is_fault(record: logging.LogRecord) -> bool:
    """Return whether a record reports more than a cancelled or aborted request."""
    kind = record.exc_info[0] if record.exc_info else None
    return kind is None or not issubclass(kind, (asyncio.CancelledError, ReplyCut))


logging.getLogger("uvicorn.error").addFilter(_is_fault)


class _Server(uvicorn.Server):
    """A server that leaves signals to the command line, and waits until it stops.

    uvicorn polls ten times a second whether it should stop. A router runs three
    servers, so these polls would be a third of its work while it is idle.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stop_requested = anyio.Event()

    def stop(self) -> None:
        """Request the shutdown of the server."""
        self.should_exit = True
        self._stop_requested.set()

    async def main_loop(self) -> None:
        await self._stop_requested.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop, and answer what the kernel has received for this process until then.

        A process that got no processor for a while has callers' connections and
        requests waiting there. To close their sockets would reset them unread.
        """
        listeners = sockets or []
        accepted = [
            each for listener in listeners for each in _accept_waiting(listener)
        ]
        for acceptor in self.servers:
            acceptor.close()
        for connection in accepted:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._new_protocol, connection
            )
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        await super().shutdown(sockets)

    def _new_protocol(self) -> asyncio.Protocol:
        protocol: type[Any] = self.config.http_protocol_class
        return protocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def _accept_waiting(listener: socket.socket) -> Iterator[socket.socket]:
    """Accept the connections that wait at a listening socket."""
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            log.warning("waiting_connections_lost", cause=str(error))
            return
        yield connection


@asynccontextmanager
async def serve(
    *,
    app: Any,
    address: Address | socket.socket,
    grace: float = SHUTDOWN_GRACE_SECONDS,
    protocol: type[asyncio.Protocol] | None = None,
    additional_address: Address | None = None,
) -> AsyncIterator[Address]:
    """Serve an ASGI application until the context ends.

    If the context is cancelled, the server resets open connections immediately.

    Args:
        app: The ASGI application.
        address: Address to listen on, with port 0 for any free port; or a listening
            socket, which the server closes on exit.
        grace: Seconds that open connections have to finish on exit.
        protocol: Protocol class of connections, uvicorn's default if None.
        additional_address: Second address to listen on.

    Yields:
        The address that the server listens on.
    """
    listener = bind(address=address) if isinstance(address, Address) else address
    listeners = [
        listener,
        *([bind(address=additional_address)] if additional_address else []),
    ]
    settings = uvicorn.Config(
        app,
        loop="asyncio",
        http=protocol or "httptools",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_graceful_shutdown=max(1, round(grace)),
    )
    server = _Server(settings)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, listeners)
            try:
                yield address_of(listener=listener)
            finally:
                server.stop()
            # The task group waits here until the server has shut down.
    finally:
        _close(server=server)
        for each in listeners:
            each.close()


def _close(*, server: _Server) -> None:
    """Close what remains open after a cancelled shutdown."""
    for acceptor in getattr(server, "servers", ()):
        acceptor.close()
    for connection in tuple(server.server_state.connections):
        connection.transport.abort()
    for task in tuple(server.server_state.tasks):
        task.cancel()
