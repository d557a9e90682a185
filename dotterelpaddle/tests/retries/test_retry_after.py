"""Tests the retry times that routers give to refused callers.

Guards against lost requests when a network partition of some seconds cuts off a failure
domain that has routers and callers, but no endpoint of the service. Its callers retry
at most once, and reach the same routers until two readiness checks of the balancer, a
second apart, have failed.
"""

from __future__ import annotations

import pytest

from dotterelpaddle.retries.retry_after import (
    BALANCER_REROUTE_SECONDS,
    DEFAULT_RETRY_AFTER_SECONDS,
    MAX_TIME_LEFT_SHARE,
    retry_after_seconds,
)


def _served_on_retry(*, budget: float, sent_at: float) -> bool:
    """Return whether a caller that isolated routers refused is served on its retry."""
    wait = retry_after_seconds(
        wait=DEFAULT_RETRY_AFTER_SECONDS, time_left=budget, unready_seconds=sent_at
    )
    return (
        sent_at + wait >= BALANCER_REROUTE_SECONDS
        and wait <= MAX_TIME_LEFT_SHARE * budget
    )


@pytest.mark.parametrize(
    ("budget", "served_from"), [(12.0, 0.0), (4.0, 0.9), (3.0, 1.2)]
)
def test_callers_with_enough_time_retry_after_rerouting(
    budget: float, served_from: float
) -> None:
    sent_at = [step / 10 for step in range(22)]

    served = [each for each in sent_at if _served_on_retry(budget=budget, sent_at=each)]

    assert served == [each for each in sent_at if each >= served_from]


def test_caller_with_little_time_may_still_retry() -> None:
    assert retry_after_seconds(wait=0.3, time_left=0.6, unready_seconds=0.1) == 0.3


def test_ready_router_names_the_time_of_the_error() -> None:
    assert retry_after_seconds(wait=0.5, time_left=12.0, unready_seconds=None) == 0.5
    assert (
        retry_after_seconds(wait=None, time_left=12.0, unready_seconds=None)
        == DEFAULT_RETRY_AFTER_SECONDS
    )


def test_long_isolated_router_names_the_usual_wait() -> None:
    assert retry_after_seconds(wait=0.3, time_left=12.0, unready_seconds=5.0) == 0.3
