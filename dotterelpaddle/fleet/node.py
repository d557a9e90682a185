"""Runs the context manager of a server until it is stopped or killed.

A node runs as a task of the calling event loop, or in a thread with an event
loop of its own, which can be paused without stopping the others.
"""

from __future__ import annotations

import threading
from contextlib import ExitStack
from enum import Enum
from typing import TYPE_CHECKING, Any, Generic, TypeVar

import anyio
import anyio.to_thread
from anyio.from_thread import start_blocking_portal

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future
    from contextlib import AbstractAsyncContextManager

    from anyio.abc import TaskGroup, TaskStatus
    from anyio.from_thread import BlockingPortal

T = TypeVar("T")

PAUSE_LIMIT = 60.0
"""Seconds after which a paused node goes on by itself."""

log = get_logger(name=__name__)


class NodeState(Enum):
    """Whether a node runs."""

    STOPPED = "stopped"
    RUNNING = "running"
    PAUSED = "paused"


class _Run(Generic[T]):
    """One run of a node's context manager, inside the loop that runs it."""

    def __init__(self, *, open_server: Callable[[], Any]) -> None:
        self._open_server = open_server
        self._scope = anyio.CancelScope()
        self._stopping = anyio.Event()

    def stop(self) -> None:
        self._stopping.set()

    def kill(self) -> None:
        self._scope.cancel()

    async def serve(self, *, task_status: TaskStatus[T]) -> None:
        with self._scope:
            async with self._open_server() as server:
                task_status.started(server)
                await self._stopping.wait()


class _Node(Generic[T]):
    """What both kinds of node have in common."""

    def __init__(
        self, *, name: str, open_server: Callable[[], AbstractAsyncContextManager[T]]
    ) -> None:
        self._name = name
        self._open_server = open_server
        self._run: _Run[T] | None = None
        self._server: T | None = None

    @property
    def name(self) -> str:
        """The node's name."""
        return self._name

    @property
    def server(self) -> T:
        """What the server's context manager yielded on the last start."""
        if self._server is None:
            raise RuntimeError(f"'{self._name}' has never been started")
        return self._server


class TaskNode(_Node[T]):
    """A node that runs as a task of the calling event loop.

    Args:
        name: Its name.
        open_server: Makes the server's context manager, once for each start.
        tasks: Where the node's task runs.
    """

    def __init__(
        self,
        *,
        name: str,
        open_server: Callable[[], AbstractAsyncContextManager[T]],
        tasks: TaskGroup,
    ) -> None:
        super().__init__(name=name, open_server=open_server)
        self._tasks = tasks
        self._ended = anyio.Event()

    @property
    def state(self) -> NodeState:
        """Whether the node runs."""
        return NodeState.RUNNING if self._run else NodeState.STOPPED

    async def start(self) -> T:
        """Start the server and wait until it is up."""
        run: _Run[T] = _Run(open_server=self._open_server)
        ended = anyio.Event()
        self._ended = ended

        async def _serve(
            *, task_status: TaskStatus[T] = anyio.TASK_STATUS_IGNORED
        ) -> None:
            try:
                await run.serve(task_status=task_status)
            finally:
                self._run = None
                ended.set()

        self._server = await self._tasks.start(_serve)
        self._run = run
        return self.server

    async def stop(self) -> None:
        """Shut the server down gracefully and wait for its end."""
        if self._run:
            self._run.stop()
            await self._ended.wait()

    async def kill(self) -> None:
        """End the server at once, cutting what it does."""
        if self._run:
            self._run.kill()
            await self._ended.wait()

    async def pause(self) -> None:
        """Refuse, because other nodes share the event loop."""
        raise RuntimeError(f"'{self._name}' shares its event loop; run it in a thread")

    async def resume(self) -> None:
        """Do nothing, because the node can't be paused."""


class ThreadNode(_Node[T]):
    """A node that runs in a thread with an event loop of its own.

    Args:
        name: Its name.
        open_server: Makes the server's context manager, once for each start.
    """

    def __init__(
        self, *, name: str, open_server: Callable[[], AbstractAsyncContextManager[T]]
    ) -> None:
        super().__init__(name=name, open_server=open_server)
        self._thread = ExitStack()
        self._portal: BlockingPortal | None = None
        self._future: Future[Any] | None = None
        self._gate: threading.Event | None = None

    @property
    def state(self) -> NodeState:
        """Whether the node runs."""
        if self._gate:
            return NodeState.PAUSED
        return NodeState.RUNNING if self._run else NodeState.STOPPED

    async def start(self) -> T:
        """Start the thread and the server and wait until it is up."""
        self._server = await anyio.to_thread.run_sync(self._start)
        return self.server

    async def stop(self) -> None:
        """Shut the server down gracefully and wait for the thread's end."""
        await self._end(how=_Run.stop)

    async def kill(self) -> None:
        """End the server at once, cutting what it does."""
        await self._end(how=_Run.kill)

    async def pause(self) -> None:
        """Block the event loop, so that the node neither acts nor answers."""
        if not self._portal or self._gate:
            return
        gate = threading.Event()
        reached = threading.Event()

        def _block() -> None:
            reached.set()
            gate.wait(timeout=PAUSE_LIMIT)

        self._portal.start_task_soon(_block)
        self._gate = gate
        await anyio.to_thread.run_sync(reached.wait)

    async def resume(self) -> None:
        """Let the event loop go on."""
        if self._gate:
            self._gate.set()
            self._gate = None

    def _start(self) -> T:
        self._portal = self._thread.enter_context(start_blocking_portal())
        run: _Run[T] = self._portal.call(self._make_run)

        async def _serve(
            *, task_status: TaskStatus[T] = anyio.TASK_STATUS_IGNORED
        ) -> None:
            await run.serve(task_status=task_status)

        self._future, server = self._portal.start_task(_serve)
        self._run = run
        return server

    def _make_run(self) -> _Run[T]:
        return _Run(open_server=self._open_server)

    async def _end(self, *, how: Callable[[_Run[T]], None]) -> None:
        await self.resume()
        if not self._run:
            return
        run, self._run = self._run, None
        await anyio.to_thread.run_sync(self._finish, run, how)

    def _finish(self, run: _Run[T], how: Callable[[_Run[T]], None]) -> None:
        assert self._portal
        assert self._future
        self._portal.call(how, run)
        try:
            self._future.result()
        finally:
            self._portal = None
            self._thread.close()


Node = TaskNode[T] | ThreadNode[T]
"""A server that can be started, stopped and killed, however it runs."""
