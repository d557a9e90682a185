"""Requests in flight at each endpoint, over all routers."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.ids import EndpointId


class InFlightRequest:
    """A request that is counted at an endpoint.

    Args:
        queued_tokens: Tokens that wait to be read, by endpoint.
        endpoint: The endpoint.
        work_tokens: Time until it can answer, in tokens read.
    """

    def __init__(
        self,
        *,
        queued_tokens: Counter[EndpointId],
        endpoint: EndpointId,
        work_tokens: int,
    ) -> None:
        self._queued_tokens = queued_tokens
        self._endpoint = endpoint
        self._work_tokens = work_tokens
        _add(queued_tokens, endpoint, work_tokens)

    def answer_started(self) -> None:
        """Note that the answer has begun, and so that the prompt was read."""
        work, self._work_tokens = self._work_tokens, 0
        _add(self._queued_tokens, self._endpoint, -work)


class LoadTracker:
    """Counts of requests in flight.

    Args:
        shares: What other routers told.
    """

    def __init__(self, *, shares: TotalsTracker) -> None:
        self._shares = shares
        self._own: Counter[EndpointId] = Counter()
        self._changed: Callable[[EndpointId, int], None] | None = None
        self._own_queued_tokens: Counter[EndpointId] = Counter()

    @property
    def own(self) -> Mapping[EndpointId, int]:
        """This router's requests in flight, by endpoint."""
        return self._own

    @property
    def own_queued_tokens(self) -> Mapping[EndpointId, int]:
        """Tokens that this router's requests wait to have read, by endpoint."""
        return self._own_queued_tokens

    @property
    def routers(self) -> int:
        """Routers whose requests are counted, this one included."""
        return self._shares.router_count

    def on_change(self, observer: Callable[[EndpointId, int], None]) -> None:
        """Let somebody be told of each request that begins (1) or ends (-1)."""
        self._changed = observer

    @contextmanager
    def track(
        self, *, endpoint: EndpointId, work_tokens: int = 0
    ) -> Iterator[InFlightRequest]:
        """Count a request at an endpoint while the context lasts.

        Args:
            endpoint: The endpoint.
            work_tokens: Time until it can answer, in tokens read.
        """
        self._change(endpoint, 1)
        held = InFlightRequest(
            queued_tokens=self._own_queued_tokens,
            endpoint=endpoint,
            work_tokens=work_tokens,
        )
        try:
            yield held
        finally:
            held.answer_started()
            self._change(endpoint, -1)

    def _change(self, endpoint: EndpointId, count: int) -> None:
        _add(self._own, endpoint, count)
        if self._changed is not None:
            self._changed(endpoint, count)

    def loads(self) -> Counter[EndpointId]:
        """Requests in flight by endpoint, as far as this router knows."""
        loads = Counter(self._own)
        for share in self._shares.current():
            loads.update(share.loads)
        return loads

    def queued_tokens(self) -> Counter[EndpointId]:
        """Tokens that wait to be read by endpoint, as far as this router knows."""
        reading = Counter(self._own_queued_tokens)
        for share in self._shares.current():
            reading.update(share.queued_tokens)
        return reading


def _add(counts: Counter[EndpointId], endpoint: EndpointId, count: int) -> None:
    """Add to a count; what is back at zero is dropped, so that nobody tells it."""
    counts[endpoint] += count
    if not counts[endpoint]:
        del counts[endpoint]
