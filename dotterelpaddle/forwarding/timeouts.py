"""Timeouts of an attempt, after which the router tries another one.

The route's objectives set the range; within it the timeout for the start of an answer
follows the answers observed so far.
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
"""Timeout of a connection: TCP resends a lost first packet after a second, long after
another endpoint could have answered."""

LAST_CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout of a connection if no other endpoint is left: a busy host that needs longer
still serves, and a caller without an endpoint learns early enough to retry."""

ANSWER_START_BOUNDS = Bounds(floor=0.5, initial=1.3, cap=2.0)
"""Timeout for the start of a retryable non-streamed answer, as multiples of the route's
latency objective: half the objective is twice the mean duration of an answer and leaves
the other half for a second attempt."""

FIRST_EVENT_BOUNDS = Bounds(floor=0.875, initial=1.1, cap=2.5)
"""Timeout for a stream's first event, as multiples of the route's latency objective.
One in a hundred streams with a cached prompt waits three quarters of the objective
behind other prompts; shorter timeouts moved such streams, so that two endpoints
prefilled their prompts."""

GAP_RATIO = 2.7
"""Maximum gap between two events as a multiple of the route's gap objective: callers
close a stream at eight times the objective."""

MIN_GAP_SECONDS = 0.45
"""Seconds between two events that are always allowed: an engine needs them to prefill
a preempted stream again."""

DEFAULT_LATENCY_OBJECTIVE_SECONDS = 0.8
"""Default for routes that state no latency objective."""

DEFAULT_GAP_OBJECTIVE_SECONDS = 0.3
"""Default for routes that state no gap objective."""

PREFILL_SECONDS_PER_TOKEN = 1 / 40_000
"""Additional seconds for each prompt token that is not cached; an idle engine needs
half as long."""


class TimeoutEstimator:
    """Estimates the time until answers start, by route."""

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str, float], Estimate] = {}

    def attempt_timeouts(
        self,
        *,
        route: ForwardRoute,
        time_left: float,
        connect_timeout: float,
        may_retry: bool,
        missing_tokens: int,
    ) -> Patience:
        """Return the timeouts of the next attempt.

        A request that can't be retried gains nothing from an early timeout, so once
        it is sent only its own deadline ends it.
        """
        connect = min(connect_timeout, time_left)
        if not may_retry:
            return Patience(connect=connect, first_byte=time_left, gap=time_left)
        prefill = PREFILL_SECONDS_PER_TOKEN * missing_tokens
        answer_start = self._estimate(route).limit() + prefill
        max_answer_start = _bounds(route=route).cap + prefill
        return Patience(
            connect=connect,
            first_byte=min(answer_start, time_left),
            gap=min(_max_gap(route=route), time_left),
            slow_first_byte=min(max_answer_start, time_left),
        )

    def record_answer_start(self, *, route: ForwardRoute, seconds: float) -> None:
        """Record how long an answer took to start."""
        self._estimate(route).observe(seconds=seconds)

    def record_timeout(self, *, route: ForwardRoute) -> None:
        """Record that an attempt timed out before its answer started."""
        self._estimate(route).back_off()

    def _estimate(self, route: ForwardRoute) -> Estimate:
        key = (route.host, route.prefix, route.latency_objective)
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = self._estimates[key] = Estimate(bounds=_bounds(route=route))
        return estimate


def _bounds(*, route: ForwardRoute) -> Bounds:
    """Return the range of the timeout for an answer's start, in seconds."""
    objective = route.latency_objective or DEFAULT_LATENCY_OBJECTIVE_SECONDS
    ratios = (
        FIRST_EVENT_BOUNDS if route.kind is RequestKind.STREAM else ANSWER_START_BOUNDS
    )
    return Bounds(
        floor=ratios.floor * objective,
        initial=ratios.initial * objective,
        cap=ratios.cap * objective,
    )


def _max_gap(*, route: ForwardRoute) -> float:
    return max(
        MIN_GAP_SECONDS,
        GAP_RATIO * (route.gap_objective or DEFAULT_GAP_OBJECTIVE_SECONDS),
    )
