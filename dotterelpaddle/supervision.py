"""Keeps the tasks of a process running that last as long as it.

An error that nobody expects, in one round of one task, must not end the requests of all
callers. It is logged and counted, and the task starts again.
"""

from __future__ import annotations

import traceback
from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Mapping

    from dotterelpaddle.clock import Clock

log = get_logger(name=__name__)

MIN_RESTART_SECONDS = 0.1
"""Seconds from the first error of a task to its restart."""

MAX_RESTART_SECONDS = 5.0
"""Seconds from an error of a task that fails again and again to its restart."""

SETTLED_SECONDS = 30.0
"""Seconds after which a task that has not failed counts as working again."""

MAX_LOGGED_FRAMES = 3
"""Innermost frames of an error in the log."""


class TaskSupervisor:
    """Restarts tasks that an unexpected error has ended.

    Args:
        on_failure: Counts an error, given the task's name.
        clock: Monotonic clock.
    """

    def __init__(self, *, on_failure: Callable[[str], None], clock: Clock) -> None:
        self._on_failure = on_failure
        self._clock = clock
        self._failures: Counter[str] = Counter()

    @property
    def failures(self) -> Mapping[str, int]:
        """Unexpected errors so far, by task."""
        return self._failures

    async def keep_running(self, task: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns or is cancelled; restart it after errors.

        Args:
            task: Name of the task, for logs and metrics.
            run: Runs the task; it must be able to run again after an error.
        """
        delay = MIN_RESTART_SECONDS
        while True:
            started_at = self._clock()
            with self.contained(task=task):
                await run()
                return
            if self._clock() - started_at >= SETTLED_SECONDS:
                delay = MIN_RESTART_SECONDS
            await anyio.sleep(delay)
            delay = min(2 * delay, MAX_RESTART_SECONDS)

    @contextmanager
    def contained(self, *, task: str) -> Iterator[None]:
        """Log and count an unexpected error of one step of a task, and go on after it.

        Args:
            task: Name of the task, for logs and metrics.
        """
        try:
            yield
        except Exception as error:
            self._failures[task] += 1
            self._on_failure(task)
            for each in _leaves(error):
                log.error(
                    "task_failed", task=task, error=repr(each), frames=_frames(each)
                )


def _leaves(error: BaseException) -> list[BaseException]:
    """Return the errors of a group, or the error itself."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for each in error.exceptions for leaf in _leaves(each)]


def _frames(error: BaseException) -> list[str]:
    """Return the innermost frames that an error has passed."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]
    return [f"{each.name} ({each.filename}:{each.lineno})" for each in frames]
