"""When refused callers are asked to come back.

The pattern: a failure domain with routers and callers, and without an endpoint of the
service, is cut off for some seconds. Its callers try once more at most, and reach the
same routers until the balancer has asked those twice, a second apart.
"""

from __future__ import annotations

import pytest

from dotterelpaddle.forwarding.retry_after import (
    BALANCER_REROUTE_SECONDS,
    DEFAULT_RETRY_AFTER_SECONDS,
    MAX_TIME_LEFT_SHARE,
    retry_after_seconds,
)


def _served_after_return(*, budget: float, sent: float) -> bool:
    """Tell whether a caller that isolated routers refused is served on return."""
    wait = retry_after_seconds(
        wait=DEFAULT_RETRY_AFTER_SECONDS, time_left=budget, unready_seconds=sent
    )
    return (
        sent + wait >= BALANCER_REROUTE_SECONDS and wait <= MAX_TIME_LEFT_SHARE * budget
    )


@pytest.mark.parametrize(
    ("budget", "served_from"), [(12.0, 0.0), (4.0, 0.9), (3.0, 1.2)]
)
def test_callers_with_time_come_back_when_they_are_moved(
    budget: float, served_from: float
) -> None:
    sent = [step / 10 for step in range(22)]

    served = [each for each in sent if _served_after_return(budget=budget, sent=each)]

    assert served == [each for each in sent if each >= served_from]


def test_caller_with_little_time_is_not_kept_from_trying() -> None:
    assert retry_after_seconds(wait=0.3, time_left=0.6, unready_seconds=0.1) == 0.3


def test_caller_of_a_router_in_reach_of_all_is_told_what_the_error_says() -> None:
    assert retry_after_seconds(wait=0.5, time_left=12.0, unready_seconds=None) == 0.5
    assert (
        retry_after_seconds(wait=None, time_left=12.0, unready_seconds=None)
        == DEFAULT_RETRY_AFTER_SECONDS
    )


def test_long_isolated_router_asks_for_no_more_than_the_usual_wait() -> None:
    assert retry_after_seconds(wait=0.3, time_left=12.0, unready_seconds=5.0) == 0.3
