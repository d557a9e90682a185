"""Accepts connections until cancelled, without losing one that arrives meanwhile."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from anyio.abc import SocketStream
    from anyio.streams.stapled import MultiListener


@asynccontextmanager
async def accepting(
    *,
    listener: MultiListener[SocketStream],
    handler: Callable[[SocketStream], Awaitable[None]],
) -> AsyncIterator[None]:
    """Pass each connection to a handler while the context lasts.

    In Python 3.11 a connection that arrives while `accept` is being cancelled sets the
    result of a future that is already done. The loop reports that as an error, and the
    connection is lost. So the context shields `accept` from its own cancellation, and
    removes the sockets from the loop before it cancels `accept`.

    Args:
        listener: Listener that accepts the connections; it stays open.
        handler: Serves one connection; the context cancels it on exit.
    """
    accept_scope = anyio.CancelScope(shield=True)

    async def _accept() -> None:
        with accept_scope:
            await listener.serve(handler)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_accept)
        try:
            yield
        finally:
            _remove_from_loop(listener=listener)
            accept_scope.cancel()


def _remove_from_loop(*, listener: MultiListener[SocketStream]) -> None:
    loop = asyncio.get_running_loop()
    for each in listener.listeners:
        loop.remove_reader(each.extra(SocketAttribute.raw_socket).fileno())
