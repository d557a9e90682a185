"""Tests the timeouts of attempts."""

from __future__ import annotations

import pytest

from dotterelpaddle.forwarding.model import ForwardRoute, RequestKind
from dotterelpaddle.forwarding.timeouts import (
    PREFILL_SECONDS_PER_TOKEN,
    TimeoutEstimator,
)


def _route(kind: RequestKind, objective: float) -> ForwardRoute:
    return ForwardRoute(
        name="r",
        host="a.example",
        prefix="/a/",
        kind=kind,
        services=(),
        timeout=10.0,
        latency_objective=objective,
        max_attempts=2,
        resumable=True,
        gap_objective=0.3,
    )


STREAM = _route(RequestKind.STREAM, 0.8)
WHOLE = _route(RequestKind.IDEMPOTENT, 0.3)


def _first_byte_timeout(
    estimator: TimeoutEstimator, route: ForwardRoute, missing_tokens: int = 0
) -> float:
    timeouts = estimator.attempt_timeouts(
        route=route,
        time_left=5.0,
        connect_timeout=0.1,
        may_retry=True,
        missing_tokens=missing_tokens,
    )
    return timeouts.first_byte


@pytest.mark.parametrize("route", [STREAM, WHOLE])
def test_timeout_leaves_time_for_another_attempt(route: ForwardRoute) -> None:
    estimator = TimeoutEstimator()
    for _ in range(50):
        estimator.record_answer_start(route=route, seconds=0.05)

    assert 0.05 < _first_byte_timeout(estimator, route) < route.latency_objective


def test_timeouts_are_proportional_to_the_objective() -> None:
    slow, quick = _route(RequestKind.STREAM, 2.0), _route(RequestKind.STREAM, 0.2)

    assert _first_byte_timeout(TimeoutEstimator(), slow) == pytest.approx(
        10 * _first_byte_timeout(TimeoutEstimator(), quick)
    )


def test_timeout_grows_with_the_tokens_to_prefill() -> None:
    estimator = TimeoutEstimator()

    longer = _first_byte_timeout(
        estimator, STREAM, missing_tokens=20_000
    ) - _first_byte_timeout(estimator, STREAM)

    assert longer == pytest.approx(20_000 * PREFILL_SECONDS_PER_TOKEN)


def test_timeout_grows_after_a_timeout_until_an_answer_starts() -> None:
    estimator = TimeoutEstimator()
    estimator.record_answer_start(route=WHOLE, seconds=0.05)
    before = _first_byte_timeout(estimator, WHOLE)
    estimator.record_timeout(route=WHOLE)
    after = _first_byte_timeout(estimator, WHOLE)
    estimator.record_answer_start(route=WHOLE, seconds=0.05)

    assert after > before
    assert _first_byte_timeout(estimator, WHOLE) <= before


def test_request_that_can_not_be_retried_waits_until_its_deadline() -> None:
    timeouts = TimeoutEstimator().attempt_timeouts(
        route=STREAM,
        time_left=5.0,
        connect_timeout=0.1,
        may_retry=False,
        missing_tokens=0,
    )

    assert timeouts.first_byte == 5.0
    assert timeouts.gap == 5.0
    assert timeouts.connect < 1.0
