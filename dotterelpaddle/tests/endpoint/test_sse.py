"""Tests of cutting streams into events."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.endpoint.sse import END_OF_EVENT, MAX_EVENT_BYTES, EventBuffer
from dotterelpaddle.exceptions import AnswerBroken

CHUNK = b"x" * 65536


@given(chunks=st.lists(st.text(alphabet="a\n", max_size=4).map(str.encode)))
def test_events_are_those_of_the_whole_however_it_is_cut(chunks: list[bytes]) -> None:
    buffer = EventBuffer(peer="engine")
    events = [event for chunk in chunks for event in buffer.feed(chunk=chunk)]
    *whole, rest = b"".join(chunks).split(END_OF_EVENT)

    assert events == whole
    assert buffer.size == len(rest)


# Guards against an event without end, each part of which costs time and memory in
# proportion to all that came before.
def test_event_without_end_is_given_up() -> None:
    buffer = EventBuffer(peer="engine")
    fed = 0
    with pytest.raises(AnswerBroken, match="event exceeds"):
        while fed <= 2 * MAX_EVENT_BYTES:
            fed += len(CHUNK)
            buffer.feed(chunk=CHUNK)

    assert fed <= MAX_EVENT_BYTES + len(CHUNK)
