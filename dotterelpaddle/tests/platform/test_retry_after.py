"""Tests of decoding the Retry-After header."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.platform.names import Header
from dotterelpaddle.platform.retry_after import decode_retry_after

NOON = b"Thu, 03 Dec 2026 12:00:00 GMT"
NOON_SECONDS = 1796299200.0
LATER = b"Thu, 03 Dec 2026 12:00:07 GMT"


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        (b"4", 4.0),
        (b" 0.75 ", 0.75),
        (b"0", 0.0),
        (b"-3", 0.0),
        (b"inf", math.inf),
        (b"", None),
        (b"soon", None),
        (b"nan", None),
    ],
)
def test_seconds_may_have_a_fraction(text: bytes, seconds: float | None) -> None:
    assert decode_retry_after(headers={Header.RETRY_AFTER: text}) == seconds


def test_date_counts_from_that_of_the_answer() -> None:
    headers = {Header.RETRY_AFTER: LATER, b"date": NOON}

    assert decode_retry_after(headers=headers, now=0.0) == 7.0


def test_date_counts_from_now_where_the_answer_has_none() -> None:
    headers = {Header.RETRY_AFTER: LATER}

    assert decode_retry_after(headers=headers, now=NOON_SECONDS) == 7.0


def test_answer_without_the_header_asks_for_nothing() -> None:
    assert decode_retry_after(headers={}) is None


@given(st.binary(max_size=40))
def test_random_bytes_are_no_error(noise: bytes) -> None:
    seconds = decode_retry_after(headers={Header.RETRY_AFTER: noise})

    assert seconds is None or seconds >= 0.0
