"""Endpoints that asked this router to send no requests for a while."""

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
"""Maximum backoff, whatever an endpoint asks for: an absurd time would take it out of
service for good."""


class EndpointBackoffs:
    """Tracks until when endpoints want no requests from this router.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[EndpointId, float] = {}

    def record(self, *, endpoint: EndpointId, seconds: float) -> None:
        """Record that an endpoint asks for a backoff from now on."""
        capped = min(seconds, MAX_BACKOFF_SECONDS)
        until = self._clock() + capped
        self._until[endpoint] = max(until, self._until.get(endpoint, until))
        log.info("endpoint_quiet", endpoint=endpoint, seconds=capped, asked_for=seconds)

    def is_backing_off(self, *, endpoint: EndpointId) -> bool:
        """Return whether an endpoint's backoff is in effect."""
        until = self._until.get(endpoint)
        return until is not None and until > self._clock()

    def shortest_wait(self, *, entries: Iterable[EndpointEntry]) -> float | None:
        """Seconds until the first backoff of these endpoints ends, None without any."""
        now = self._clock()
        untils = [self._until.get(entry.endpoint, 0.0) for entry in entries]
        return min((until - now for until in untils if until > now), default=None)

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Delete the backoffs of all endpoints except these."""
        for endpoint in self._until.keys() - endpoints:
            del self._until[endpoint]
