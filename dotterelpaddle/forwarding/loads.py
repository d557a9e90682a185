"""Requests in flight at each endpoint, summed over all routers."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.ids import EndpointId


class InFlightRequest:
    """A request that counts towards the load of an endpoint.

    Args:
        queued_tokens: Counter of the tokens that wait for prefill, by endpoint.
        endpoint: The endpoint.
        work_tokens: Work until the answer starts, in tokens to prefill.
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
        self._is_kept = False
        _add(queued_tokens, endpoint, work_tokens)

    @property
    def is_kept(self) -> bool:
        """Whether it counts beyond its end, until it is released."""
        return self._is_kept

    def keep_counted(self) -> None:
        """Let it count beyond its end."""
        self._is_kept = True

    def answer_started(self) -> None:
        """Record that the answer has started, so the prompt is prefilled."""
        remaining, self._work_tokens = self._work_tokens, 0
        _add(self._queued_tokens, self._endpoint, -remaining)


class LoadTracker:
    """Tracks the requests in flight.

    Args:
        totals: Totals that other routers reported.
    """

    def __init__(self, *, totals: TotalsTracker) -> None:
        self._totals = totals
        self._own: Counter[EndpointId] = Counter()
        self._observers: list[Callable[[EndpointId, int], None]] = []
        self._own_queued_tokens: Counter[EndpointId] = Counter()

    @property
    def own(self) -> Mapping[EndpointId, int]:
        """This router's requests in flight, by endpoint."""
        return self._own

    @property
    def own_queued_tokens(self) -> Mapping[EndpointId, int]:
        """Tokens of this router's requests that wait for prefill, by endpoint."""
        return self._own_queued_tokens

    @property
    def router_count(self) -> int:
        """Number of routers whose requests count, this one included."""
        return self._totals.router_count

    def on_change(self, observer: Callable[[EndpointId, int], None]) -> None:
        """Add an observer called for each request that starts (1) or ends (-1)."""
        self._observers.append(observer)

    @contextmanager
    def track(
        self, *, endpoint: EndpointId, work_tokens: int = 0
    ) -> Iterator[InFlightRequest]:
        """Count a request at an endpoint while the context lasts.

        Args:
            endpoint: The endpoint.
            work_tokens: Work until the answer starts, in tokens to prefill.
        """
        self._change(endpoint, 1)
        request = InFlightRequest(
            queued_tokens=self._own_queued_tokens,
            endpoint=endpoint,
            work_tokens=work_tokens,
        )
        try:
            yield request
        finally:
            request.answer_started()
            if not request.is_kept:
                self._change(endpoint, -1)

    def release(self, *, endpoint: EndpointId) -> None:
        """End the count of a request that was kept beyond its end."""
        self._change(endpoint, -1)

    def _change(self, endpoint: EndpointId, count: int) -> None:
        _add(self._own, endpoint, count)
        for observer in self._observers:
            observer(endpoint, count)

    def loads(self) -> Counter[EndpointId]:
        """Requests in flight by endpoint, as far as this router knows."""
        loads = Counter(self._own)
        for total in self._totals.current():
            loads.update(total.loads)
        return loads

    def queued_tokens(self) -> Counter[EndpointId]:
        """Tokens that wait for prefill by endpoint, as far as this router knows."""
        tokens = Counter(self._own_queued_tokens)
        for total in self._totals.current():
            tokens.update(total.queued_tokens)
        return tokens


def _add(counts: Counter[EndpointId], endpoint: EndpointId, count: int) -> None:
    """Add to a count, and delete counts of zero so that reports omit them."""
    counts[endpoint] += count
    if not counts[endpoint]:
        del counts[endpoint]
