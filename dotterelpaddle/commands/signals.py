"""Ends a server on signals: gracefully on the first, at once on the second."""

from __future__ import annotations

import signal
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import anyio

from dotterelpaddle.commands.errors import ExitCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

    from anyio.abc import TaskStatus

T = TypeVar("T")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@dataclass(kw_only=True)
class Stop:
    """A request to end.

    Attributes:
        requested: Set by the first signal.
    """

    requested: anyio.Event


@asynccontextmanager
async def stop_on_signals() -> AsyncIterator[Stop]:
    """Turn signals into a request to end; the second one cancels the context.

    After the second one the signals have their usual effect, so that a third
    ends the process whatever it does.

    Yields:
        The request, for the body to wait for.
    """
    stop = Stop(requested=anyio.Event())
    async with anyio.create_task_group() as tasks:
        await tasks.start(_watch, stop, tasks.cancel_scope)
        yield stop
        tasks.cancel_scope.cancel()


async def serve_until_stopped(
    *, server: AbstractAsyncContextManager[T], ready: Callable[[T], None]
) -> int:
    """Run a server until a signal ends it.

    Args:
        server: The server's context manager; leaving it shuts down gracefully.
        ready: Called once it runs, with what it yields.

    Returns:
        The exit code: OK after a graceful shutdown, else INTERRUPTED.
    """
    ended = False
    async with stop_on_signals() as stop:
        async with server as running:
            ready(running)
            await stop.requested.wait()
        ended = True
    return ExitCode.OK if ended else ExitCode.INTERRUPTED


async def _watch(
    stop: Stop,
    scope: anyio.CancelScope,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    with anyio.open_signal_receiver(*STOP_SIGNALS) as received:
        task_status.started()
        async for _ in received:
            if stop.requested.is_set():
                break
            stop.requested.set()
    scope.cancel()
