"""When this process ends the requests that are still in progress."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator


class ShutdownDeadline:
    """A deadline of all requests of this process, infinitely far until it stops."""

    def __init__(self) -> None:
        self._at = math.inf
        self._set_at = math.inf
        self._scopes: set[anyio.CancelScope] = set()

    @property
    def seconds_left(self) -> float:
        """Seconds until requests are ended, infinite unless the process stops."""
        return self._at - anyio.current_time() if self._at < math.inf else math.inf

    @property
    def seconds_since(self) -> float:
        """Seconds since the process began to stop."""
        return max(0.0, anyio.current_time() - self._set_at)

    def set(self, *, seconds: float) -> None:
        """Let all requests end within a number of seconds from now."""
        self._set_at = anyio.current_time()
        self._at = self._set_at + seconds
        for scope in self._scopes:
            scope.deadline = self._at

    @contextmanager
    def limit(self) -> Iterator[anyio.CancelScope]:
        """Cancel the block at the deadline, also if that is set meanwhile."""
        with anyio.CancelScope(deadline=self._at) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)
