"""Requests that endpoints may still run although this router has given them up.

A caller that leaves, or an answer that comes too late, ends a request here at once.
Many endpoints work on, and only then have a free slot. At brittle endpoints such a
request counts as in flight for as long as requests of its service have lately taken.
"""

from __future__ import annotations

import heapq
from collections import defaultdict, deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import DeadlineExceeded, EndpointSilent
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.brittle import BrittleEndpoints
    from dotterelpaddle.forwarding.loads import InFlightRequest, LoadTracker
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import EndpointId, ServiceName

log = get_logger(name=__name__)

SAMPLES_PER_SERVICE = 32
"""Latest answers of a service whose times are known."""

DEFAULT_SECONDS = 1.0
"""Time that a request takes as long as none of its service has been answered."""

MAX_HOLD_SECONDS = 5.0
"""Longest time for which an abandoned request counts."""


class AbandonedRequests:
    """Counts abandoned requests until their endpoints have probably ended them.

    Args:
        loads: Requests in flight.
        brittle: Endpoints that end if they reject too many requests.
        clock: Monotonic clock.
    """

    def __init__(
        self, *, loads: LoadTracker, brittle: BrittleEndpoints, clock: Clock
    ) -> None:
        self._loads = loads
        self._brittle = brittle
        self._clock = clock
        self._seconds: dict[ServiceName, deque[float]] = defaultdict(
            lambda: deque(maxlen=SAMPLES_PER_SERVICE)
        )
        self._held: list[tuple[float, EndpointId]] = []
        self._changed = anyio.Event()

    @contextmanager
    def watch(
        self, *, entry: EndpointEntry, in_flight: InFlightRequest
    ) -> Iterator[None]:
        """Watch a request while the context lasts, and hold its count if abandoned.

        Args:
            entry: Its endpoint.
            in_flight: The request.
        """
        if not self._brittle.is_brittle(entry=entry):
            yield
            return
        sent_at = self._clock()
        try:
            yield
        except (DeadlineExceeded, EndpointSilent, anyio.get_cancelled_exc_class()):
            self._hold(entry=entry, in_flight=in_flight, sent_at=sent_at)
            raise
        self._seconds[entry.service].append(self._clock() - sent_at)

    async def run(self) -> None:
        """End counts when they are due, until cancelled."""
        while True:
            self._changed = anyio.Event()
            self._release_due()
            wait = self._held[0][0] - self._clock() if self._held else None
            with anyio.move_on_after(wait):
                await self._changed.wait()

    def _hold(
        self, *, entry: EndpointEntry, in_flight: InFlightRequest, sent_at: float
    ) -> None:
        now = self._clock()
        longest = max(self._seconds[entry.service], default=DEFAULT_SECONDS)
        ends_at = min(sent_at + longest, now + MAX_HOLD_SECONDS)
        if ends_at <= now:
            return
        in_flight.keep_counted()
        heapq.heappush(self._held, (ends_at, entry.endpoint))
        self._changed.set()
        log.info(
            "request_held",
            endpoint=entry.endpoint,
            service=entry.service,
            seconds=round(ends_at - now, 3),
        )

    def _release_due(self) -> None:
        while self._held and self._held[0][0] <= self._clock():
            _, endpoint = heapq.heappop(self._held)
            self._loads.release(endpoint=endpoint)
