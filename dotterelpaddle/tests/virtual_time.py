"""An event loop on a virtual clock.

The clock advances to the next timer as soon as no task can run. A simulated fleet
thus runs as fast as the processor allows, and in the same order each time.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class _VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Advances the virtual clock where a real selector would wait for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Advance the clock by the timeout; no test waits for a socket.

        Raises:
            RuntimeError: If no timer is set, so the tasks are deadlocked.
        """
        if timeout is None:
            raise RuntimeError("all tasks wait for each other")
        self.now += timeout
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that takes its time from the virtual clock."""

    def __init__(self) -> None:
        self._clock = _VirtualTimeSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return seconds on the virtual clock."""
        return self._clock.now


def run_in_virtual_time(main: Callable[[], Awaitable[Any]]) -> Any:
    """Run a coroutine function to completion in virtual time."""
    return anyio.run(main, backend_options={"loop_factory": _VirtualLoop})
