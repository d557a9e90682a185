"""Endpoints that asked this router to leave them alone for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)

MAX_BACKOFF_SECONDS = 300.0
"""Seconds for which an endpoint is left alone at most, whatever it asks for: an absurd
time would take it out of service for good."""


class EndpointBackoffs:
    """Remembers until when endpoints want nothing from this router.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[EndpointId, float] = {}

    def record(self, *, endpoint: EndpointId, seconds: float) -> None:
        """Note that an endpoint asks for quiet from now on."""
        bounded = min(seconds, MAX_BACKOFF_SECONDS)
        until = self._clock() + bounded
        self._until[endpoint] = max(until, self._until.get(endpoint, until))
        log.info(
            "endpoint_quiet", endpoint=endpoint, seconds=bounded, asked_for=seconds
        )

    def is_backing_off(self, *, endpoint: EndpointId) -> bool:
        """Tell whether an endpoint wants nothing now."""
        until = self._until.get(endpoint)
        return until is not None and until > self._clock()

    def shortest_wait(self, *, entries: Iterable[EndpointEntry]) -> float | None:
        """Seconds until the first of some endpoints may be asked, None if all may."""
        now = self._clock()
        untils = [self._until.get(entry.endpoint, 0.0) for entry in entries]
        return min((until - now for until in untils if until > now), default=None)

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Forget all endpoints but some."""
        for endpoint in self._until.keys() - endpoints:
            del self._until[endpoint]
