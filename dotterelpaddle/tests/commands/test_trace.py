"""The story of a request, from lines of several routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
import pytest

from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.trace import trace_command
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.log_reader import find_trace, read_lines

if TYPE_CHECKING:
    from pathlib import Path


def _line(event: str, *, at: float, process: str = "one", **fields: Any) -> str:
    document = {
        "task_uuid": process,
        "task_level": [1],
        "timestamp": at,
        "message_type": event,
        "logger_name": "x",
        "level": "INFO",
        **fields,
    }
    return orjson.dumps(document).decode() + "\n"


LOG = [
    _line("router_started", at=1.0, router="router-1"),
    _line("placed", at=10.0, request_id="q1", endpoint="a"),
    "  10.2 some-host " + _line("endpoint_ejected", at=10.2, endpoint="a", cause="cut"),
    _line("endpoint_ejected", at=10.2, endpoint="b"),
    _line("attempt_failed", at=10.2, request_id="q1", endpoint="a"),
    _line("placed", at=10.2, request_id="q2", endpoint="b"),
    _line("peer_lost", at=10.1, router="router-2"),
    _line("peer_lost", at=10.1, process="other", router="router-1"),
    _line("platform_failing", at=5.0, what="endpoints"),
    "no line of a log\n",
    '{"half": \n',
    '{"not": "a log line"}\n',
    _line("request_ended", at=10.3, request_id="q1", endpoint="a", status=502),
]


def test_story_holds_the_request_and_what_may_explain_it() -> None:
    story = find_trace(lines=read_lines(source=reversed(LOG)), request_id="q1")

    assert story is not None
    assert sorted(line.event for line in story.lines) == [
        "attempt_failed",
        "endpoint_ejected",
        "peer_lost",
        "placed",
        "request_ended",
    ]
    assert [line.written_at for line in story.lines] == sorted(
        line.written_at for line in story.lines
    )
    assert story.routers == {"one": "router-1"}


def test_request_that_nobody_logged_has_no_story() -> None:
    assert find_trace(lines=read_lines(source=LOG), request_id="q9") is None


def test_command_marks_the_lines_of_the_request(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "router.log"
    file.write_text("".join(LOG))

    code = trace_command("q1", file)

    told = capsys.readouterr().out.splitlines()
    assert code == ExitCode.OK
    assert len(told) == 5
    assert [line[0] for line in told].count("*") == 3
    assert told[-1].endswith("router-1 request_ended endpoint=a status=502")


def test_command_says_that_no_line_is_about_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "router.log"
    file.write_text("".join(LOG))

    assert trace_command("q9", file) == ExitCode.FAILED
    assert "q9" in capsys.readouterr().err


def test_file_that_is_not_there_is_named(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="missing.log"):
        trace_command("q1", tmp_path / "missing.log")
