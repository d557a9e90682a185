"""Reads log lines of several routers, and finds those that tell one request's story."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

CONTEXT_BEFORE_SECONDS = 3.0
"""Seconds before a request in which its routers' other lines may explain it."""

CONTEXT_AFTER_SECONDS = 1.0
"""Seconds after it: some of what befell it is noticed a little later."""

COMMON_FIELDS = frozenset(
    {"task_uuid", "task_level", "timestamp", "message_type", "logger_name", "level"}
)
"""Fields that every line has; the others are what it tells."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One line.

    Attributes:
        written_at: When it was written, seconds since 1970 by its host's clock.
        process: The process that wrote it.
        event: What it tells.
        fields: What decided it.
    """

    written_at: float
    process: str
    event: str
    fields: Mapping[str, Any]

    @property
    def request_id(self) -> str:
        """The request that it is about, empty if about none."""
        return str(self.fields.get("request_id", ""))


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestTrace:
    """What the logs tell of a request.

    Attributes:
        lines: Its own lines, and those around it, in the order of time.
        routers: Names of the processes in these, where the logs hold their start.
    """

    lines: tuple[LogLine, ...]
    routers: Mapping[str, str]


def read_lines(*, source: Iterable[str]) -> list[LogLine]:
    """Read log lines; texts that are none are passed over.

    A collector may have put a time or a host's name before each line.
    """
    lines = (_parse(text) for text in source)
    return [line for line in lines if line is not None]


def find_trace(*, lines: Iterable[LogLine], request_id: str) -> RequestTrace | None:
    """Find what tells of a request, None if nothing does.

    Beside its own lines these are, of the same processes and about the same time, what
    they learnt of its endpoints, and what is about no request or endpoint: the
    platform, other routers, the configuration.
    """
    everything = sorted(lines, key=lambda line: line.written_at)
    own = [line for line in everything if line.request_id == request_id]
    if not own:
        return None
    processes = {line.process for line in own}
    endpoints = {line.fields.get("endpoint") for line in own} - {None, ""}
    begin, end = (
        own[0].written_at - CONTEXT_BEFORE_SECONDS,
        own[-1].written_at + CONTEXT_AFTER_SECONDS,
    )
    around = [
        line
        for line in everything
        if line.process in processes
        and begin <= line.written_at <= end
        and not line.request_id
        and line.fields.get("endpoint") in endpoints | {None, ""}
    ]
    return RequestTrace(
        lines=tuple(sorted([*own, *around], key=lambda line: line.written_at)),
        routers={
            line.process: str(line.fields["router"])
            for line in everything
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
