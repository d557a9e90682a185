"""`LineSink` bounds its lines and never blocks the caller."""

from __future__ import annotations

import os
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import orjson
import pytest

from dotterelpaddle import line_logs
from dotterelpaddle.line_logs import (
    EVENT_BURST_LINES,
    EVENT_LINES_PER_SECOND,
    LINES_DROPPED_EVENT,
    LineSink,
)
from dotterelpaddle.logs import Level, get_logger, log_to_sink

if TYPE_CHECKING:
    from collections.abc import Iterator

log = get_logger(name=__name__)

PIPE_BYTES = 1 << 20
"""More bytes than a pipe buffers."""


class PipeSink:
    """A sink that writes to a pipe, with a clock that tests set."""

    def __init__(self) -> None:
        self.now = 0.0
        self.reader, self.writer = os.pipe()
        self.sink = LineSink(descriptor=self.writer, clock=lambda: self.now)

    def read(self) -> list[dict[str, Any]]:
        """Close the writing end and read all lines."""
        os.close(self.writer)
        with os.fdopen(self.reader, "rb") as pipe:
            return [orjson.loads(line) for line in pipe]


@contextmanager
def _pipe_sink() -> Iterator[PipeSink]:
    pipe = PipeSink()
    with log_to_sink(level=Level.INFO, sink=pipe.sink):
        yield pipe


def test_line_has_the_format_of_eliot() -> None:
    with _pipe_sink() as pipe:
        log.info("placed", endpoint="engine-1")

    (line,) = pipe.read()
    assert line["message_type"] == "placed"
    assert line["endpoint"] == "engine-1"
    assert line["logger_name"] == __name__
    assert line["level"] == "INFO"
    assert line["task_level"] == [1]
    assert {"task_uuid", "timestamp"} <= line.keys()


def test_stalled_reader_blocks_no_caller() -> None:
    text = "x" * 1000
    with _pipe_sink() as pipe:
        # The test does not read, so a write that blocked would never return.
        for number in range(PIPE_BYTES // len(text)):
            log.info("placed", keep=True, number=number, text=text)
        os.set_blocking(pipe.reader, False)

    received = os.read(pipe.reader, PIPE_BYTES)
    assert 0 < len(received) < PIPE_BYTES


def test_flood_of_one_event_does_not_drop_the_others() -> None:
    with _pipe_sink() as pipe:
        for number in range(3 * int(EVENT_BURST_LINES)):
            log.info("placed", number=number)
        log.info("platform_regained")

    lines = pipe.read()
    events = [line["message_type"] for line in lines]
    assert events.count("placed") == EVENT_BURST_LINES
    assert events[-2:] == [LINES_DROPPED_EVENT, "platform_regained"]
    assert lines[-2]["events"] == {"placed": 2 * EVENT_BURST_LINES}


def test_rate_limit_of_an_event_refills() -> None:
    with _pipe_sink() as pipe:
        for _ in range(2 * int(EVENT_BURST_LINES)):
            log.info("placed")
        pipe.now = 1.0
        for _ in range(2 * int(EVENT_LINES_PER_SECOND)):
            log.info("placed")

    events = [line["message_type"] for line in pipe.read()]
    assert events.count("placed") == EVENT_BURST_LINES + EVENT_LINES_PER_SECOND


def test_kept_line_bypasses_the_rate_limit() -> None:
    with _pipe_sink() as pipe:
        for _ in range(3 * int(EVENT_BURST_LINES)):
            log.info("request_ended", keep=True)

    assert len(pipe.read()) == 3 * EVENT_BURST_LINES


def test_queue_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(line_logs, "MAX_QUEUED_BYTES", 1000)
    pipe = PipeSink()
    for _ in range(100):
        pipe.sink.write(event="placed", fields={}, keep=True)
    with pipe.sink.opened():
        pass
    with pipe.sink.opened():
        pipe.sink.write(event="placed", fields={}, keep=True)

    lines = pipe.read()
    assert 0 < len(lines) < 20
    (left_out,) = [
        line for line in lines if line["message_type"] == LINES_DROPPED_EVENT
    ]
    assert left_out["events"]["placed"] > 80


def test_closed_reader_raises_no_error() -> None:
    pipe = PipeSink()
    os.close(pipe.reader)
    with pipe.sink.opened():
        pipe.sink.write(event="placed", fields={}, keep=True)
    pipe.sink.write(event="placed", fields={}, keep=True)
    os.close(pipe.writer)


class _Unprintable:
    def __repr__(self) -> str:
        raise ValueError("no text")


# Guards against requests that fail because a line about them can't be written.
@pytest.mark.parametrize(
    ("value", "text"),
    [
        (2**64, "18446744073709551616"),
        (-(2**70), "-1180591620717411303424"),
        ("path \ud800", r"'path \ud800'"),
        ({"tokens": 2**64}, "{'tokens': 18446744073709551616}"),
        ([2**64, 1], "[18446744073709551616, 1]"),
        ({2**64: 1}, "{18446744073709551616: 1}"),
        (10**200, str(10**200)[:200]),
        (
            10**5000,
            "int that can't be written: Integer exceeds 64-bit range",
        ),
        (
            [_Unprintable()],
            "list that can't be written: Type is not JSON serializable: _Unprintable",
        ),
    ],
    ids=[
        "over 64 bits",
        "under 64 bits",
        "surrogate",
        "in a mapping",
        "in a list",
        "as a key",
        "long text",
        "integer without text",
        "object without text",
    ],
)
def test_field_that_json_cannot_hold_is_written_as_text(value: Any, text: str) -> None:
    with _pipe_sink() as pipe:
        log.info("attempt_begun", missing=value, endpoint="engine-1")

    (line,) = pipe.read()
    assert line["missing"] == text
    assert line["endpoint"] == "engine-1"
    assert line["message_type"] == "attempt_begun"
