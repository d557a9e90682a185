"""Estimates of the store's clock."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.forwarding.store_clock import (
    MAX_CLOCK_DRIFT,
    TOLERANCE_SECONDS,
    StoreClock,
    StoreTime,
    latest_time,
)
from dotterelpaddle.ids import StoreEra

UNKNOWN = float("inf")
DELAYS = st.floats(min_value=0.0, max_value=2.0)


def _time(seconds: float, *, era: int = 0) -> StoreTime:
    return StoreTime(era=StoreEra(era), seconds=seconds)


class Harness:
    """A store clock whose host's clock the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.store_clock = StoreClock(clock=lambda: self.now)


@given(st.lists(st.tuples(DELAYS, DELAYS, DELAYS), min_size=1), DELAYS)
def test_age_is_never_less_than_the_time_that_has_passed(
    answers: list[tuple[float, float, float]], pause: float
) -> None:
    harness, ahead = Harness(), 5000.0
    for there, back, wait in answers:
        requested_at = harness.now
        answered = _time(harness.now + there + ahead)
        harness.now += there + back
        harness.store_clock.record_answer(time=answered, requested_at=requested_at)
        harness.now += wait
    harness.now += pause
    confirmed = _time(harness.now + ahead - 1.0)

    assert harness.store_clock.age(of=confirmed) >= 1.0 - 1e-6


def test_age_is_exact_up_to_the_fastest_answer() -> None:
    harness = Harness()
    harness.store_clock.record_answer(time=_time(7.0), requested_at=99.996)
    harness.store_clock.record_answer(time=_time(7.0), requested_at=99.0)
    harness.now = 101.0

    age = harness.store_clock.age(of=_time(7.5))

    assert age == pytest.approx(0.504, abs=2 * MAX_CLOCK_DRIFT)


def test_nothing_has_an_age_before_the_first_answer() -> None:
    assert Harness().store_clock.age(of=_time(7.0)) == UNKNOWN


def test_unknown_time_has_no_age() -> None:
    harness = Harness()
    harness.store_clock.record_answer(time=_time(7.0), requested_at=harness.now)

    assert harness.store_clock.age(of=None) == UNKNOWN


# Guards against a host that was suspended and takes old data for fresh.
def test_time_later_than_possible_shows_that_the_own_clock_has_stopped() -> None:
    harness = Harness()
    harness.store_clock.record_answer(time=_time(7.0), requested_at=harness.now)
    ahead = _time(7.0 + 2 * TOLERANCE_SECONDS)

    assert harness.store_clock.age(of=ahead) == UNKNOWN
    assert harness.store_clock.age(of=_time(7.0)) == UNKNOWN


def test_answer_shows_that_the_own_clock_has_stopped() -> None:
    harness = Harness()
    harness.store_clock.record_answer(time=_time(7.0), requested_at=harness.now)
    harness.store_clock.record_answer(time=_time(11.0), requested_at=harness.now)

    assert harness.store_clock.age(of=_time(7.0)) == pytest.approx(4.0)


def test_times_of_two_eras_have_nothing_in_common() -> None:
    harness = Harness()
    harness.store_clock.record_answer(time=_time(7.0), requested_at=harness.now)
    later_era = harness.store_clock.age(of=_time(1.0, era=1))
    harness.store_clock.record_answer(time=_time(1.0, era=1), requested_at=harness.now)

    assert later_era == UNKNOWN
    assert harness.store_clock.age(of=_time(7.0)) == UNKNOWN
    assert harness.store_clock.age(of=_time(1.0, era=1)) == pytest.approx(0.0)


def test_earliest_time_counts_on_from_the_arrival_of_an_answer() -> None:
    harness = Harness()
    before = harness.store_clock.earliest_time()
    harness.store_clock.record_answer(time=_time(7.0), requested_at=99.0)
    harness.now = 101.0
    earliest = harness.store_clock.earliest_time()

    assert before is None
    assert earliest is not None
    assert earliest.seconds == pytest.approx(8.0, abs=2 * MAX_CLOCK_DRIFT)
    assert earliest < _time(8.0)


def test_latest_time_is_that_of_the_latest_era() -> None:
    times = (_time(7.0), None, _time(1.0, era=1))

    assert latest_time(times) == _time(1.0, era=1)
    assert latest_time((None,)) is None
