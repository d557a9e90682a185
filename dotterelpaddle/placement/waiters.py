"""Callers' requests that wait for a verdict."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.placement.wishes import Queued

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.placement.wishes import Granted, Refused, Verdict, Wish


class Waiter:
    """One request that waits.

    Args:
        wish: What it asked for.

    Attributes:
        wish: As above.
        verdict: The final verdict, once known.
        queued: The last word that it waits, until taken.
    """

    def __init__(self, *, wish: Wish) -> None:
        self.wish = wish
        self.verdict: Granted | Refused | None = None
        self.queued: Queued | None = None
        self._event = anyio.Event()

    def answer(self, *, verdict: Verdict) -> None:
        """Pass on a verdict; a final one stays."""
        if self.verdict is not None:
            return
        if isinstance(verdict, Queued):
            self.queued = verdict
        else:
            self.verdict = verdict
        self._event.set()

    def take_queued(self) -> Queued | None:
        """The word that it waits, once."""
        queued = self.queued
        self.queued = None
        return queued

    async def wait(self, *, timeout: float) -> None:
        """Wait for any word, but not for long."""
        with anyio.move_on_after(max(timeout, 0.0)):
            await self._event.wait()
        self._event = anyio.Event()


class Waiters:
    """All requests of one shard that wait, by the number of their wish."""

    def __init__(self) -> None:
        self._waiters: dict[int, Waiter] = {}

    @contextmanager
    def open(self, *, wish: Wish) -> Iterator[Waiter]:
        """Wait for verdicts on a wish until the context ends."""
        waiter = Waiter(wish=wish)
        self._waiters[wish.number] = waiter
        try:
            yield waiter
        finally:
            del self._waiters[wish.number]

    def find(self, *, number: int) -> Waiter | None:
        """The request that made a wish, None if it has stopped waiting."""
        return self._waiters.get(number)
