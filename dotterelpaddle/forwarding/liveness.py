"""Tells endpoints that are slow for all from those that have lost one request.

A request that is given up on and sent to another endpoint runs twice. Where all
endpoints are slow, each of them then runs more, and all get slower.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId

MAX_SILENCE_SECONDS = 0.15
"""Seconds since the last bytes from an endpoint within which it counts as alive: one
that decodes several streams sends something every 20 to 60 ms. One that was cut off
or died is given up on this much later at most."""

MIN_OVERTAKING_ANSWERS = 3
"""Answers to later requests that must have begun before a request counts as lost.
Shorter prompts and more urgent requests overtake one or two; an endpoint that loses a
part of its requests goes on with the others."""

MAX_REMEMBERED_ANSWERS = 8
"""Answers of one endpoint whose requests' times are remembered."""


class _Liveness:
    """What was seen of one endpoint."""

    def __init__(self) -> None:
        self.last_bytes_at = float("-inf")
        self.answered_sent_at: deque[float] = deque(maxlen=MAX_REMEMBERED_ANSWERS)


class EndpointLiveness:
    """Signs of life of endpoints, from all requests of this router.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._endpoints: dict[EndpointId, _Liveness] = {}

    def record_bytes(self, *, endpoint: EndpointId) -> None:
        """Note that some bytes came from an endpoint."""
        self._of(endpoint).last_bytes_at = self._clock()

    def record_answer_start(self, *, endpoint: EndpointId, sent_at: float) -> None:
        """Note that the answer to a request that was sent at some time began."""
        signs = self._of(endpoint)
        signs.last_bytes_at = self._clock()
        signs.answered_sent_at.append(sent_at)

    def is_slow(self, *, endpoint: EndpointId, sent_at: float) -> bool:
        """Tell whether an unanswered request waits because the endpoint is slow.

        Args:
            endpoint: The endpoint.
            sent_at: When the request was sent.
        """
        signs = self._endpoints.get(endpoint)
        if signs is None or self._clock() - signs.last_bytes_at > MAX_SILENCE_SECONDS:
            return False
        return (
            sum(each > sent_at for each in signs.answered_sent_at)
            < MIN_OVERTAKING_ANSWERS
        )

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Forget all endpoints but some."""
        for endpoint in self._endpoints.keys() - endpoints:
            del self._endpoints[endpoint]

    def _of(self, endpoint: EndpointId) -> _Liveness:
        signs = self._endpoints.get(endpoint)
        if signs is None:
            signs = self._endpoints[endpoint] = _Liveness()
        return signs
