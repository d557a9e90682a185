"""HTTP servers as tasks of the calling process, over uvicorn."""

from __future__ import annotations

import asyncio
import logging
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from dotterelpaddle.address import Address
from dotterelpaddle.listening import address_of, bind

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Iterator

SHUTDOWN_GRACE_SECONDS = 5.0
"""Seconds that open connections get when a server stops, unless told otherwise."""


class ReplyCut(Exception):
    """Raised by an application to cut a connection in the middle of an answer.

    The caller then sees that the answer is not whole.
    """


def _is_fault(record: logging.LogRecord) -> bool:
    """Tell whether a record is more than a cancelled request or a cut answer."""
    kind = record.exc_info[0] if record.exc_info else None
    return kind is None or not issubclass(kind, (asyncio.CancelledError, ReplyCut))


logging.getLogger("uvicorn.error").addFilter(_is_fault)


class _Server(uvicorn.Server):
    """A server that leaves signals to the command line, and sleeps until it stops.

    uvicorn looks ten times a second whether it should stop. A router runs three
    servers, so that this is a third of what it does while it has nothing to do.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stop_requested = anyio.Event()

    def stop(self) -> None:
        """Let it shut down."""
        self.should_exit = True
        self._stop_requested.set()

    async def main_loop(self) -> None:
        await self._stop_requested.wait()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


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

    A cancelled context resets the open connections at once.

    Args:
        app: The ASGI application.
        address: Where to listen, port 0 takes a free one; or a socket that listens
            already, which is closed at the end.
        grace: Seconds that open connections get at the end.
        protocol: Class of connections, uvicorn's own by default.
        additional_address: Where else to listen.

    Yields:
        The address in use.
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
    """Close what is still open after a cancelled shutdown."""
    for acceptor in getattr(server, "servers", ()):
        acceptor.close()
    for connection in tuple(server.server_state.connections):
        connection.transport.abort()
    for task in tuple(server.server_state.tasks):
        task.cancel()
