"""Accepts connections until it is cancelled, without losing the last one."""

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
    """Hand each connection to a handler while the context lasts.

    In Python 3.11 a connection that comes in just when `accept` is cancelled sets the
    result of a future that has ended, which the loop reports as an error and which
    loses the connection. So whoever cancels the context does not cancel `accept`
    itself: the sockets are taken out of the loop first.

    Args:
        listener: Where connections come in; stays open.
        handler: Serves one connection; cancelled with the context.
    """
    accepts = anyio.CancelScope(shield=True)

    async def _accept() -> None:
        with accepts:
            await listener.serve(handler)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_accept)
        try:
            yield
        finally:
            _take_out_of_loop(listener=listener)
            accepts.cancel()


def _take_out_of_loop(*, listener: MultiListener[SocketStream]) -> None:
    loop = asyncio.get_running_loop()
    for each in listener.listeners:
        loop.remove_reader(each.extra(SocketAttribute.raw_socket).fileno())
