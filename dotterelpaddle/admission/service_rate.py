"""Measures how fast the slots of a service serve, from the requests in flight.

Meets the overload in which requests are accepted that can't be served in time: the
owner needs the rate of the service to refuse them at once. By Little's law the mean
time in service is the requests in flight over time, divided by the requests that
ended, so nothing has to be known of single requests.
"""

from __future__ import annotations

from math import exp, log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock

WINDOW_SECONDS = 2.0
"""Time constant with which observations lose weight. A slowdown of an endpoint lasts
0.6 s, and the window of a plain service holds 150 to 220 requests that ended."""

SPARSE_WINDOW_SECONDS = 60.0
"""The same while few requests end: with a few long requests in flight, the usual
window would hold none that ended. It also bounds how long a stall is remembered."""

MIN_ENDS = 5
"""Requests that must have ended before the time in service is stated, and that the
usual window has to hold."""

MIN_SERVICE_SECONDS = 0.001
"""Shortest mean time in service, which bounds the capacity when requests end as soon
as they are counted."""


class ServiceRate:
    """Mean time that requests of one service occupy a slot.

    Time without requests in flight neither counts nor makes observations older.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._updated_at = clock()
        self._in_flight = 0
        # Request-seconds in flight and requests ended, weighted by age.
        self._occupancy = 0.0
        self._ends = 0.0
        self._total_ends = 0

    def record(self, *, in_flight: int) -> None:
        """Note the number of requests in flight, on each change."""
        self._advance()
        self._in_flight = in_flight

    def record_end(self) -> None:
        """Note that a request has left its slot."""
        self._advance()
        self._ends += 1.0
        self._total_ends += 1

    def seconds_per_request(self) -> float | None:
        """Mean time in service in seconds, None while too few have ended.

        It grows while requests are in flight and none ends.
        """
        self._advance()
        if self._total_ends < MIN_ENDS:
            return None
        return max(self._occupancy / max(self._ends, 1.0), MIN_SERVICE_SECONDS)

    def capacity(self, *, slots: int) -> float | None:
        """Requests per second with all slots in use, None while too few have ended.

        Args:
            slots: Slots at endpoints that can take work.
        """
        seconds = self.seconds_per_request()
        return None if seconds is None else slots / seconds

    def _advance(self) -> None:
        now = self._clock()
        elapsed = now - self._updated_at
        self._updated_at = now
        if not self._in_flight or elapsed <= 0.0:
            return
        until_sparse = WINDOW_SECONDS * log(max(self._ends / MIN_ENDS, 1.0))
        usual = min(elapsed, until_sparse)
        self._decay(seconds=usual, window=WINDOW_SECONDS)
        self._decay(seconds=elapsed - usual, window=SPARSE_WINDOW_SECONDS)

    def _decay(self, *, seconds: float, window: float) -> None:
        kept = exp(-seconds / window)
        added = self._in_flight * window * (1.0 - kept)
        self._occupancy = self._occupancy * kept + added
        self._ends *= kept
