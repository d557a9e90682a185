"""Reads log lines of several routers, and finds those that concern one request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

CONTEXT_BEFORE_SECONDS = 3.0
"""Time before a request whose other lines from its routers may explain it."""

CONTEXT_AFTER_SECONDS = 1.0
"""Time after a request: routers detect some of its failures a little later."""

COMMON_FIELDS = frozenset(
    {"task_uuid", "task_level", "timestamp", "message_type", "logger_name", "level"}
)
"""Fields that any event may have; the others are specific to the event."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
        written_at: Time of writing, seconds since 1970 on the host's clock.
        process: Identifier of the process that wrote it.
        event: Name of the event.
        fields: Fields of the event, without the common ones.
    """

    written_at: float
    process: str
    event: str
    fields: Mapping[str, Any]

    @property
    def request_id(self) -> str:
        """Identifier of the request that the line concerns, empty for none."""
        return str(self.fields.get("request_id", ""))


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestTrace:
    """The log lines that concern a request.

    Attributes:
        lines: The request's own lines and their context, in order of time.
        routers: Router names by process, where the logs include the process's start.
    """

    lines: tuple[LogLine, ...]
    routers: Mapping[str, str]


def read_lines(*, source: Iterable[str]) -> list[LogLine]:
    """Parse log lines, and skip text that is no log line.

    The function ignores any prefix, such as a log collector's time or host name.
    """
    lines = (_parse(text) for text in source)
    return [line for line in lines if line is not None]


def find_trace(*, lines: Iterable[LogLine], request_id: str) -> RequestTrace | None:
    """Find the lines that concern a request, None if there are none.

    Besides the request's own lines the trace has their context: lines of the same
    processes, from about the same time, on the request's endpoints or on no request
    and no endpoint, such as the platform, other routers or the configuration.
    """
    by_time = sorted(lines, key=lambda line: line.written_at)
    own = [line for line in by_time if line.request_id == request_id]
    if not own:
        return None
    processes = {line.process for line in own}
    endpoints = {line.fields.get("endpoint") for line in own} - {None, ""}
    begin, end = (
        own[0].written_at - CONTEXT_BEFORE_SECONDS,
        own[-1].written_at + CONTEXT_AFTER_SECONDS,
    )
    context = [
        line
        for line in by_time
        if line.process in processes
        and begin <= line.written_at <= end
        and not line.request_id
        and line.fields.get("endpoint") in endpoints | {None, ""}
    ]
    return RequestTrace(
        lines=tuple(sorted([*own, *context], key=lambda line: line.written_at)),
        routers={
            line.process: str(line.fields["router"])
            for line in by_time
            if line.event == "router_started" and "router" in line.fields
        },
    )


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(text[start:])
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or "message_type" not in fields:
        return None
    return LogLine(
        written_at=float(fields.get("timestamp", 0.0)),
        process=str(fields.get("task_uuid", "")),
        event=str(fields["message_type"]),
        fields={
            name: value for name, value in fields.items() if name not in COMMON_FIELDS
        },
    )
