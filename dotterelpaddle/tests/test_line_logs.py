"""Lines of a router on a small host: bounded, and never waited for."""

from __future__ import annotations

import os
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import orjson

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

    import pytest

log = get_logger(name=__name__)

PIPE_BYTES = 1 << 20
"""Bytes that no pipe holds unread."""


class PipeSink:
    """A sink at one end of a pipe, and a clock that tests turn."""

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
def _world() -> Iterator[PipeSink]:
    world = PipeSink()
    with log_to_sink(level=Level.INFO, sink=world.sink):
        yield world


def test_line_has_the_form_of_eliot() -> None:
    with _world() as world:
        log.info("placed", endpoint="engine-1")

    (line,) = world.read()
    assert line["message_type"] == "placed"
    assert line["endpoint"] == "engine-1"
    assert line["logger_name"] == __name__
    assert line["level"] == "INFO"
    assert line["task_level"] == [1]
    assert {"task_uuid", "timestamp"} <= line.keys()


def test_reader_that_stands_still_makes_nobody_wait() -> None:
    text = "x" * 1000
    with _world() as world:
        # Nobody reads: a write that waited would never return.
        for number in range(PIPE_BYTES // len(text)):
            log.info("placed", keep=True, number=number, text=text)
        os.set_blocking(world.reader, False)

    seen = os.read(world.reader, PIPE_BYTES)
    assert 0 < len(seen) < PIPE_BYTES


def test_storm_of_one_event_leaves_the_others_readable() -> None:
    with _world() as world:
        for number in range(3 * int(EVENT_BURST_LINES)):
            log.info("placed", number=number)
        log.info("platform_regained")

    lines = world.read()
    told = [line["message_type"] for line in lines]
    assert told.count("placed") == EVENT_BURST_LINES
    assert told[-2:] == [LINES_DROPPED_EVENT, "platform_regained"]
    assert lines[-2]["events"] == {"placed": 2 * EVENT_BURST_LINES}


def test_allowance_of_an_event_comes_back() -> None:
    with _world() as world:
        for _ in range(2 * int(EVENT_BURST_LINES)):
            log.info("placed")
        world.now = 1.0
        for _ in range(2 * int(EVENT_LINES_PER_SECOND)):
            log.info("placed")

    told = [line["message_type"] for line in world.read()]
    assert told.count("placed") == EVENT_BURST_LINES + EVENT_LINES_PER_SECOND


def test_line_that_must_be_kept_is_left_out_at_no_rate() -> None:
    with _world() as world:
        for _ in range(3 * int(EVENT_BURST_LINES)):
            log.info("request_ended", keep=True)

    assert len(world.read()) == 3 * EVENT_BURST_LINES


def test_lines_that_wait_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(line_logs, "MAX_QUEUED_BYTES", 1000)
    world = PipeSink()
    for _ in range(100):
        world.sink.write(event="placed", fields={}, keep=True)
    with world.sink.opened():
        pass
    with world.sink.opened():
        world.sink.write(event="placed", fields={}, keep=True)

    lines = world.read()
    assert 0 < len(lines) < 20
    (left_out,) = [
        line for line in lines if line["message_type"] == LINES_DROPPED_EVENT
    ]
    assert left_out["events"]["placed"] > 80


def test_reader_that_is_gone_ends_nothing() -> None:
    world = PipeSink()
    os.close(world.reader)
    with world.sink.opened():
        world.sink.write(event="placed", fields={}, keep=True)
    world.sink.write(event="placed", fields={}, keep=True)
    os.close(world.writer)
