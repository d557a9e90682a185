"""An event loop in which waiting takes no time.

The clock jumps to the next timer as soon as nothing is left to do, so that seconds of
a fleet's life pass as fast as its work can be done, and in the same order each time.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Advances a clock where others would wait for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Let the clock jump; nothing of a test waits for a socket.

        Raises:
            RuntimeError: If no timer is set either.
        """
        if timeout is None:
            raise RuntimeError("all tasks wait for each other")
        self.now += timeout
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a clock of its own."""

    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Seconds on the loop's clock."""
        return self._clock.now


def run_in_virtual_time(main: Callable[[], Awaitable[Any]]) -> Any:
    """Run a coroutine function until it returns, without ever waiting."""
    return anyio.run(main, backend_options={"loop_factory": _VirtualLoop})
