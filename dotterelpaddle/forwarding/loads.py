"""Requests in flight at each endpoint, over all routers."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId, RouterId

FRESH_TIME = 1.5
"""Seconds that another router's counts are believed without news.

Routers tell them a few times a second; a router silent for longer has ended or
is cut off, and its requests end soon.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Told:
    """Another router's word on its requests in flight."""

    counts: Mapping[EndpointId, int]
    at: float


class LoadBook:
    """Counts of requests in flight.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._own: Counter[EndpointId] = Counter()
        self._told: dict[RouterId, _Told] = {}

    @property
    def own(self) -> Mapping[EndpointId, int]:
        """This router's requests in flight, by endpoint."""
        return self._own

    @contextmanager
    def hold(self, *, endpoint: EndpointId) -> Iterator[None]:
        """Count a request at an endpoint while the context lasts."""
        self._own[endpoint] += 1
        try:
            yield
        finally:
            self._own[endpoint] -= 1
            if not self._own[endpoint]:
                del self._own[endpoint]

    def hear(self, *, router: RouterId, counts: Mapping[EndpointId, int]) -> None:
        """Take in another router's counts."""
        self._told[router] = _Told(counts=counts, at=self._clock())

    def loads(self) -> Counter[EndpointId]:
        """Requests in flight by endpoint, as far as this router knows."""
        oldest = self._clock() - FRESH_TIME
        loads = Counter(self._own)
        for told in self._told.values():
            if told.at >= oldest:
                loads.update(told.counts)
        return loads
