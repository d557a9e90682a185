"""How long the requests of each route take, from their arrival to the whole answer."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import ForwardRoute

REMEMBERED_REQUESTS = 32
"""Requests of each route whose durations are kept."""

MIN_REQUESTS = 4
"""Requests of a route below which nothing is said of it."""

FAST_SHARE = 0.9
"""Share of the requests that take no longer than what is expected."""


class RouteDurations:
    """Remembers how long the last requests of each route took."""

    def __init__(self) -> None:
        self._durations: dict[tuple[str, str], deque[float]] = {}

    def record(self, *, route: ForwardRoute, seconds: float) -> None:
        """Record that a request took so long, or at least so long if it was ended."""
        durations = self._durations.setdefault(
            (route.host, route.prefix), deque(maxlen=REMEMBERED_REQUESTS)
        )
        durations.append(seconds)

    def expected(self, *, route: ForwardRoute) -> float:
        """Return the seconds within which a request will end, 0 if not known.

        Most requests did; all of them, where a request must not run twice.
        """
        durations = self._durations.get((route.host, route.prefix), ())
        if len(durations) < MIN_REQUESTS:
            return 0.0
        if not route.retryable:
            return max(durations)
        return sorted(durations)[int(FAST_SHARE * (len(durations) - 1))]
