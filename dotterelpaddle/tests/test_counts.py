"""Numbers that others state are kept within what a message can hold."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.counts import (
    MAX_COUNT,
    MAX_INTEGER,
    MAX_STATED_COUNT,
    MIN_INTEGER,
    bounded_count,
    decode_count,
    decode_integer,
    parse_count,
)


@given(st.integers(min_value=0, max_value=MAX_STATED_COUNT))
def test_stated_count_in_range_is_kept(count: int) -> None:
    assert parse_count(digits=str(count)) == count
    assert parse_count(digits=f"000{count}") == count


@pytest.mark.parametrize("digits", ["18446744073709551615", "9" * 400, "9" * 5000])
def test_greater_stated_count_is_the_greatest(digits: str) -> None:
    assert parse_count(digits=digits) == MAX_STATED_COUNT


@given(st.integers() | st.floats(allow_nan=False))
def test_any_number_has_a_count_that_can_be_written(value: float) -> None:
    count = bounded_count(value=value)

    assert 0 <= count <= MAX_COUNT
    assert orjson.loads(orjson.dumps(count)) == count


@given(st.integers())
def test_integer_is_decoded_only_if_it_can_be_written(value: int) -> None:
    if MIN_INTEGER <= value <= MAX_INTEGER:
        assert orjson.dumps(decode_integer(value)) == str(value).encode()
    else:
        with pytest.raises(ValueError, match="64 bits"):
            decode_integer(value)


@pytest.mark.parametrize("value", [float("inf"), float("nan"), "x", "9" * 5000, None])
def test_what_is_no_number_is_refused(value: object) -> None:
    for decode in (decode_count, decode_integer):
        with pytest.raises((OverflowError, TypeError, ValueError)):
            decode(value)
