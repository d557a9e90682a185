"""Sends a second attempt when the first is unusually late, and takes the winner.

Nearly all requests are answered before a hedge is due. So the first attempt
runs in its request's own task, and one task for all requests looks for those
that are late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Generic, TypeVar

import anyio

from dotterelpaddle.exceptions import RequestError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from dotterelpaddle.clock import Clock

log = get_logger(name=__name__)

T = TypeVar("T")

TICK = 0.025
"""Seconds between two looks for late requests."""

END_WAIT = 1.0
"""Seconds for a cancelled attempt to end, which takes some milliseconds."""


class _Race(Generic[T]):
    """A request whose first attempt runs and whose second may follow.

    Args:
        send: Sends an attempt.
        due: When the second is sent, seconds on the monotonic clock.
        allowed: Asked then whether it may be sent.
    """

    def __init__(
        self,
        *,
        send: Callable[[], Awaitable[T]],
        due: float,
        allowed: Callable[[], bool],
    ) -> None:
        self._send = send
        self._due = due
        self._allowed = allowed
        self._results: list[T] = []
        self._first = anyio.CancelScope()
        self._second: anyio.CancelScope | None = None
        self._second_ended = anyio.Event()

    def is_due(self, *, now: float) -> bool:
        return now >= self._due

    async def run(self) -> T:
        """Run the first attempt and return the winner's result."""
        failure: RequestError | None = None
        try:
            with self._first:
                return await self._send()
        except RequestError as error:
            failure = error
            if self._second is not None:
                await self._second_ended.wait()
        finally:
            if self._second is not None:
                await self._end_second(scope=self._second)
        if self._results:
            return self._results[0]
        assert failure is not None
        raise failure

    def start_second(self, *, tasks: TaskGroup) -> None:
        """Send the second attempt, if that is allowed."""
        if self._allowed():
            self._second = anyio.CancelScope()
            tasks.start_soon(self._run_second, self._second)

    async def _end_second(self, *, scope: anyio.CancelScope) -> None:
        """Cancel the second attempt and wait until it can send nothing more.

        What the caller is told must not be overtaken by it.
        """
        scope.cancel()
        with anyio.move_on_after(END_WAIT, shield=True):
            await self._second_ended.wait()

    async def _run_second(self, scope: anyio.CancelScope) -> None:
        try:
            with scope:
                self._results.append(await self._send())
                self._first.cancel()
        except RequestError:
            # The first attempt goes on, and its end is what the caller is told.
            return
        except Exception as error:
            # One request's fault must not end the task that serves them all.
            log.error("hedge_crashed", cause=repr(error))
        finally:
            self._second_ended.set()


class Hedger:
    """Hedges requests; `run` must run as a task.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._pending: dict[int, _Race[Any]] = {}
        self._wake = anyio.Event()
        self._names = 0

    async def send(
        self,
        *,
        send: Callable[[], Awaitable[T]],
        delay: float,
        allowed: Callable[[], bool],
    ) -> T:
        """Send once, and once more if no answer came within a delay.

        The loser is cancelled, which cancels it at its endpoint.

        Args:
            send: Sends an attempt; a second call must choose another endpoint.
            delay: Seconds to wait before the second attempt.
            allowed: Asked then whether a second attempt may be sent.

        Raises:
            RequestError: The first attempt's failure, if there is no result.
        """
        race = _Race(send=send, due=self._clock() + delay, allowed=allowed)
        self._names += 1
        name = self._names
        self._pending[name] = race
        self._wake.set()
        try:
            return await race.run()
        finally:
            self._pending.pop(name, None)

    async def run(self) -> None:
        """Look for late requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._pending:
                    self._wake = anyio.Event()
                    await self._wake.wait()
                await anyio.sleep(TICK)
                self._start_due(tasks=tasks)

    def _start_due(self, *, tasks: TaskGroup) -> None:
        now = self._clock()
        due = [name for name, race in self._pending.items() if race.is_due(now=now)]
        for name in due:
            self._pending.pop(name).start_second(tasks=tasks)
