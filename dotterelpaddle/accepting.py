"""Accepts connections until cancelled, without losing one that arrives meanwhile."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from anyio.abc import SocketStream, TaskGroup
    from anyio.streams.stapled import MultiListener

log = get_logger(name=__name__)

RETRY_SECONDS = 0.1
"""Seconds after which connections are accepted again when that has failed."""


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

    A process that has no descriptors left for a while can't accept connections. They
    wait then; the connections that are served go on.

    Args:
        listener: Listener that accepts the connections; it stays open.
        handler: Serves one connection; the context cancels it on exit.
    """
    accept_scope = anyio.CancelScope(shield=True)

    async def _accept() -> None:
        with accept_scope:
            async with anyio.create_task_group() as handlers:
                while True:
                    await _serve(listener=listener, handler=handler, tasks=handlers)
                    await anyio.sleep(RETRY_SECONDS)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_accept)
        try:
            yield
        finally:
            _remove_from_loop(listener=listener)
            accept_scope.cancel()


async def _serve(
    *,
    listener: MultiListener[SocketStream],
    handler: Callable[[SocketStream], Awaitable[None]],
    tasks: TaskGroup,
) -> None:
    """Accept connections until that fails, as while the process has no descriptors."""
    try:
        await listener.serve(handler, tasks)
    except* OSError as group:
        log.warning("accept_failed", cause=str(group.exceptions[0]))


def _remove_from_loop(*, listener: MultiListener[SocketStream]) -> None:
    loop = asyncio.get_running_loop()
    for each in listener.listeners:
        loop.remove_reader(each.extra(SocketAttribute.raw_socket).fileno())
