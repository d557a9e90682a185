"""Distinguishes endpoints that are slow for all requests from lost requests.

If a router retries an unanswered request at another endpoint, the request may run
twice. If all endpoints are slow, such retries add load and make them slower.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId

MAX_SILENCE_SECONDS = 0.15
"""Seconds since the last bytes from an endpoint for which it counts as alive. An
endpoint that decodes several streams sends bytes every 20 to 60 ms. The limit delays
a retry after an endpoint crashed or was cut off by no more than this."""

MIN_OVERTAKING_ANSWERS = 3
"""Answers to later requests that must have begun before a request counts as lost.
Requests with shorter prompts or higher priority may overtake by one or two. An endpoint
that loses some requests continues to answer the others."""

MAX_REMEMBERED_ANSWERS = 8
"""Number of answers per endpoint for which the send times are kept."""


class _Liveness:
    """Last bytes and answers of one endpoint."""

    def __init__(self) -> None:
        self.last_bytes_at = float("-inf")
        self.answered_sent_at: deque[float] = deque(maxlen=MAX_REMEMBERED_ANSWERS)


class EndpointLiveness:
    """Tracks the liveness of endpoints from all requests of this router.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._endpoints: dict[EndpointId, _Liveness] = {}

    def record_bytes(self, *, endpoint: EndpointId) -> None:
        """Record that an endpoint sent bytes."""
        self._of(endpoint).last_bytes_at = self._clock()

    def record_answer_start(self, *, endpoint: EndpointId, sent_at: float) -> None:
        """Record that the answer to a request that was sent at `sent_at` began."""
        liveness = self._of(endpoint)
        liveness.last_bytes_at = self._clock()
        liveness.answered_sent_at.append(sent_at)

    def is_slow(self, *, endpoint: EndpointId, sent_at: float) -> bool:
        """Return whether a request is unanswered because its endpoint is slow.

        Args:
            endpoint: The endpoint.
            sent_at: Send time of the request.
        """
        liveness = self._endpoints.get(endpoint)
        if (
            liveness is None
            or self._clock() - liveness.last_bytes_at > MAX_SILENCE_SECONDS
        ):
            return False
        return (
            sum(each > sent_at for each in liveness.answered_sent_at)
            < MIN_OVERTAKING_ANSWERS
        )

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Remove all endpoints except the given ones."""
        for endpoint in self._endpoints.keys() - endpoints:
            del self._endpoints[endpoint]

    def _of(self, endpoint: EndpointId) -> _Liveness:
        liveness = self._endpoints.get(endpoint)
        if liveness is None:
            liveness = self._endpoints[endpoint] = _Liveness()
        return liveness
