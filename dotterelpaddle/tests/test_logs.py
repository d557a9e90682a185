from __future__ import annotations

import io
import logging

import orjson

from dotterelpaddle.logs import Level, get_logger, redirect_logs

log = get_logger(name=__name__)


LIBRARY = "some.library"


def _lines(stream: io.StringIO) -> list[dict[str, object]]:
    """Parse the lines of this module.

    eliot buffers what other tests log without a stream, and writes it to the
    first stream.
    """
    lines = (orjson.loads(line) for line in stream.getvalue().splitlines())
    return [line for line in lines if line["logger_name"] in (__name__, LIBRARY)]


def test_lines_below_the_level_are_dropped() -> None:
    stream = io.StringIO()
    with redirect_logs(level=Level.WARNING, stream=stream):
        log.info("small")
        log.warning("large", endpoint="engine-1")

    (line,) = _lines(stream)
    assert line["message_type"] == "large"
    assert line["endpoint"] == "engine-1"
    assert line["level"] == "WARNING"
    assert line["logger_name"] == __name__


def test_earlier_stream_is_restored_after_an_error() -> None:
    outer, inner = io.StringIO(), io.StringIO()
    with redirect_logs(level=Level.INFO, stream=outer):
        try:
            with redirect_logs(level=Level.ERROR, stream=inner):
                log.info("dropped")
                raise ValueError
        except ValueError:
            log.info("kept")

    assert [line["message_type"] for line in _lines(outer)] == ["kept"]
    assert _lines(inner) == []


def test_library_messages_go_to_the_same_log() -> None:
    stream = io.StringIO()
    library = logging.getLogger(LIBRARY)
    with redirect_logs(level=Level.ERROR, stream=stream):
        library.warning("not now")
        try:
            raise ValueError("the cause")
        except ValueError:
            library.exception("it failed")
    library.error("after the end")

    (line,) = _lines(stream)
    assert line["logger_name"] == LIBRARY
    assert str(line["text"]).startswith("it failed\nTraceback")
