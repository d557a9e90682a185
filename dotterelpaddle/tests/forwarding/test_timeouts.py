"""How long attempts wait."""

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


def _first(book: TimeoutEstimator, route: ForwardRoute, missing: int = 0) -> float:
    patience = book.attempt_timeouts(
        route=route,
        time_left=5.0,
        connect_timeout=0.1,
        may_retry=True,
        missing_tokens=missing,
    )
    return patience.first_byte


@pytest.mark.parametrize("route", [STREAM, WHOLE])
def test_wait_leaves_time_for_another_attempt(route: ForwardRoute) -> None:
    book = TimeoutEstimator()
    for _ in range(50):
        book.record_answer_start(route=route, seconds=0.05)

    assert 0.05 < _first(book, route) < route.latency_objective


def test_waits_follow_the_objective() -> None:
    slow, quick = _route(RequestKind.STREAM, 2.0), _route(RequestKind.STREAM, 0.2)

    assert _first(TimeoutEstimator(), slow) == pytest.approx(
        10 * _first(TimeoutEstimator(), quick)
    )


def test_wait_grows_with_what_is_to_be_read() -> None:
    book = TimeoutEstimator()

    longer = _first(book, STREAM, missing=20_000) - _first(book, STREAM)

    assert longer == pytest.approx(20_000 * PREFILL_SECONDS_PER_TOKEN)


def test_giving_up_makes_more_patient_until_an_answer_comes() -> None:
    book = TimeoutEstimator()
    book.record_answer_start(route=WHOLE, seconds=0.05)
    before = _first(book, WHOLE)
    book.record_timeout(route=WHOLE)
    after = _first(book, WHOLE)
    book.record_answer_start(route=WHOLE, seconds=0.05)

    assert after > before
    assert _first(book, WHOLE) <= before


def test_what_can_not_be_repeated_waits_to_its_deadline() -> None:
    patience = TimeoutEstimator().attempt_timeouts(
        route=STREAM,
        time_left=5.0,
        connect_timeout=0.1,
        may_retry=False,
        missing_tokens=0,
    )

    assert patience.first_byte == 5.0
    assert patience.gap == 5.0
    assert patience.connect < 1.0
