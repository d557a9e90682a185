"""Tests of the datagrams about streams, and of records in reports."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.ids import RequestId, ServiceName, SoftwareVersion
from dotterelpaddle.owners.messages import decode as decode_owner_message
from dotterelpaddle.streams.messages import (
    DATAGRAM_PREFIX,
    StreamAnswer,
    StreamQuestion,
    decode_message,
    decode_records,
    encode_message,
    encode_records,
)
from dotterelpaddle.tests.streams.test_origins import OTHER, make_record

QUESTION = StreamQuestion(stream=RequestId("s"), service=ServiceName("chat"))
ANSWERS = [
    StreamAnswer(stream=RequestId("s")),
    StreamAnswer(stream=RequestId("s"), record=make_record()),
    StreamAnswer(
        stream=RequestId("s"),
        versions=frozenset({SoftwareVersion("v1"), SoftwareVersion("v2")}),
    ),
]


@pytest.mark.parametrize(
    "message",
    [QUESTION, *ANSWERS],
    ids=["question", "unknown", "with a record", "with versions"],
)
def test_message_round_trip(message: StreamQuestion | StreamAnswer) -> None:
    datagram = encode_message(message=message)

    assert datagram.startswith(DATAGRAM_PREFIX)
    assert decode_message(datagram=datagram) == message


def test_records_round_trip() -> None:
    records = (make_record("s"), make_record("t"), make_record("u", origin=OTHER))

    assert decode_records(fields=encode_records(records=records)) == records


@pytest.mark.parametrize(
    "datagram",
    [
        b'["stream_',
        b'["stream_question"]',
        b'["stream_question", 1, "chat"]',
        b'["stream_answer", "s", [1], null]',
        b'["stream_answer", "s", [["chat", "v1", [["s", "soon"]]]], null]',
        b'["stream_answer", "s", [], 7]',
        b'["stream_offer", "s"]',
    ],
)
def test_malformed_datagram_is_refused(datagram: bytes) -> None:
    with pytest.raises(ControlError):
        decode_message(datagram=datagram)


@given(datagram=st.binary(max_size=60))
def test_random_bytes_are_no_message(datagram: bytes) -> None:
    with pytest.raises(ControlError):
        decode_message(datagram=DATAGRAM_PREFIX + datagram)


# Guards against an earlier release that ends by a datagram which it does not know.
def test_earlier_release_drops_a_question() -> None:
    with pytest.raises(ControlError):
        decode_owner_message(datagram=encode_message(message=QUESTION))
