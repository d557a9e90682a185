"""How long an attempt waits for progress before another one is tried.

The scale is what callers expect of the route; within it the wait for an answer's
begin is learnt from the answers that came.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.dispatch.options import Bounds
from dotterelpaddle.dispatch.patience import Estimate
from dotterelpaddle.endpoint.patience import Patience
from dotterelpaddle.forwarding.model import RequestKind

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import ForwardRoute

CONNECT_TIMEOUT_SECONDS = 0.15
"""Seconds until a connection must stand: a lost first packet is sent again after
a second, by which time another endpoint has long been asked."""

LAST_CONNECT_TIMEOUT_SECONDS = 0.5
"""The same where no other endpoint is left to ask: a busy host that needs longer
still serves, and a caller whose time is up is told soon enough to come back."""

ANSWER_START_BOUNDS = Bounds(floor=0.5, initial=1.3, cap=2.0)
"""Wait for a whole answer that may be asked for again elsewhere, in times of the
route's latency objective: half of it is twice what an answer takes on average, and
leaves the other half for a second one."""

FIRST_EVENT_BOUNDS = Bounds(floor=0.875, initial=1.1, cap=2.5)
"""Wait for a stream's first event, in times of the route's latency objective. With
its prompt cached, one in a hundred waits three quarters of it behind the prompts of
others; shorter waits moved those, and their prompts were read twice."""

GAP_RATIO = 2.7
"""Longest gap between two events in times of the route's objective for it: callers
give up at eight."""

MIN_GAP_SECONDS = 0.45
"""Seconds between two events that are always allowed: a preempted stream is read
in again meanwhile."""

DEFAULT_LATENCY_OBJECTIVE_SECONDS = 0.8
"""Seconds that are assumed where a route states no latency objective."""

DEFAULT_GAP_OBJECTIVE_SECONDS = 0.3
"""Seconds between events that are assumed where a route states no objective."""

PREFILL_SECONDS_PER_TOKEN = 1 / 40_000
"""Seconds that are allowed for each prompt token that is not cached; an engine
alone needs half of it."""


class TimeoutEstimator:
    """What was learnt of the begin of answers, by route."""

    def __init__(self) -> None:
        self._begins: dict[tuple[str, str, float], Estimate] = {}

    def attempt_timeouts(
        self,
        *,
        route: ForwardRoute,
        time_left: float,
        connect_timeout: float,
        may_retry: bool,
        missing_tokens: int,
    ) -> Patience:
        """Return the deadlines of the next attempt.

        A request that can't be sent again gains nothing from giving up early,
        so once it is sent only its own deadline ends it.
        """
        connect = min(connect_timeout, time_left)
        if not may_retry:
            return Patience(connect=connect, first_byte=time_left, gap=time_left)
        reading = PREFILL_SECONDS_PER_TOKEN * missing_tokens
        begin = self._begin(route).limit() + reading
        longest = _bounds(route=route).cap + reading
        return Patience(
            connect=connect,
            first_byte=min(begin, time_left),
            gap=min(_longest_gap(route=route), time_left),
            slow_first_byte=min(longest, time_left),
        )

    def record_answer_start(self, *, route: ForwardRoute, seconds: float) -> None:
        """Take in how long an answer took to begin."""
        self._begin(route).observe(seconds=seconds)

    def record_timeout(self, *, route: ForwardRoute) -> None:
        """Take in that an endpoint was given up on before its answer began."""
        self._begin(route).back_off()

    def _begin(self, route: ForwardRoute) -> Estimate:
        key = (route.host, route.prefix, route.latency_objective)
        estimate = self._begins.get(key)
        if estimate is None:
            estimate = self._begins[key] = Estimate(bounds=_bounds(route=route))
        return estimate


def _bounds(*, route: ForwardRoute) -> Bounds:
    """Return the range of the wait for an answer's begin, in seconds."""
    objective = route.latency_objective or DEFAULT_LATENCY_OBJECTIVE_SECONDS
    ratios = (
        FIRST_EVENT_BOUNDS if route.kind is RequestKind.STREAM else ANSWER_START_BOUNDS
    )
    return Bounds(
        floor=ratios.floor * objective,
        initial=ratios.initial * objective,
        cap=ratios.cap * objective,
    )


def _longest_gap(*, route: ForwardRoute) -> float:
    return max(
        MIN_GAP_SECONDS,
        GAP_RATIO * (route.gap_objective or DEFAULT_GAP_OBJECTIVE_SECONDS),
    )
