"""Tells the story of one request from log lines."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.log_reader import find_trace, read_lines

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.log_reader import LogLine, RequestTrace


def trace_command(request: str, *files: Path) -> int:
    """Tell what the logs of routers say of one request.

    Prints its own lines, and those of the same routers and the same seconds that may
    explain it: its endpoints, the platform, other routers, the configuration. Exit
    codes: 0 done; 1 no line is about the request; 2 wrong use.

    Args:
        request: Id of the request.
        files: Log files of any routers; standard input if none is named.
    """
    story = find_trace(lines=read_lines(source=_texts(files)), request_id=request)
    if story is None:
        print(f"no line is about request '{request}'", file=sys.stderr)
        return ExitCode.FAILED
    for line in story.lines:
        print(_told(line=line, request=request, story=story))
    return ExitCode.OK


def _texts(files: tuple[Path, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        try:
            with path.open() as file:
                yield from file
        except OSError as error:
            raise SettingsError(f"log file '{path}': {error.strerror}") from error


def _told(*, line: LogLine, request: str, story: RequestTrace) -> str:
    mark = "*" if line.request_id == request else " "
    since = line.written_at - story.lines[0].written_at
    router = story.routers.get(line.process, line.process[:8])
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "request_id" and value not in ("", None)
    )
    return f"{mark} {since:8.3f} {router} {line.event} {fields}"
