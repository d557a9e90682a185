"""Lets requests wait shortly after a router's start until it knows what it needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock

STARTUP_WAIT_SECONDS = 0.4
"""Seconds after a router's start until which requests wait for configuration and
endpoints; the platform normally answers in 4 ms. The router refuses later requests at
once: during a network partition it may have no configuration for a long time."""


INTRODUCTION_WAIT_SECONDS = 0.15
"""Seconds after a router's start until which requests wait for another router's first
report, which arrives some milliseconds after the start if any router runs."""

RECALL_WAIT_SECONDS = 1.0
"""Seconds after a router's start until which requests wait for what the platform's
store keeps of endpoints. Without it they might end endpoints; hosts that all start at
once need tenths of a second."""


class Startup:
    """The time from a router's start until it can serve.

    Args:
        clock: Monotonic clock.
        max_wait: Seconds after the start until which requests wait.
    """

    def __init__(self, *, clock: Clock, max_wait: float = STARTUP_WAIT_SECONDS) -> None:
        self._clock = clock
        self._max_wait = max_wait
        self._started_at = clock()
        self._ended = anyio.Event()

    @property
    def age(self) -> float:
        """Seconds since the router's start."""
        return self._clock() - self._started_at

    @property
    def has_ended(self) -> bool:
        """Whether the router can serve."""
        return self._ended.is_set()

    def end(self) -> None:
        """Let waiting requests go on; the router can serve."""
        self._ended.set()

    async def wait(self) -> None:
        """Wait until the router can serve, at most until shortly after its start."""
        with anyio.move_on_after(self._max_wait - self.age):
            await self._ended.wait()
