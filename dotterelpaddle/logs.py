"""Structured logs: one JSON object per line, in the format of eliot."""

from __future__ import annotations

import logging
import sys
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from enum import IntEnum
from typing import IO, TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator
    from contextlib import AbstractContextManager


LIBRARY_EVENT = "library_message"
"""Event of the messages that libraries write through Python's `logging`."""


class Level(IntEnum):
    """Severity of a line."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class Sink(Protocol):
    """A destination of log lines."""

    def write(self, *, event: str, fields: dict[str, Any], keep: bool) -> None:
        """Write a line; the sink must not drop one that has `keep` set."""

    def opened(self) -> AbstractContextManager[None]:
        """Accept lines while the context lasts."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Target:
    """The current destination and its level.

    Attributes:
        level: The lowest level that the process writes.
        sink: Destination of the lines, None to discard them.
        opened: Exit stack that closes the sink.
    """

    level: Level
    sink: Sink | None = None
    opened: ExitStack = field(default_factory=ExitStack)


class _Output:
    """Holds the target of the whole process."""

    def __init__(self) -> None:
        self._target = _Target(level=Level.WARNING)
        self._libraries = _LibraryHandler(level=Level.WARNING)

    @property
    def level(self) -> Level:
        """The lowest level that the process writes."""
        return self._target.level

    def write(self, *, event: str, fields: dict[str, Any], keep: bool = False) -> None:
        """Write a line to the sink, if there is one."""
        if self._target.sink is not None:
            self._target.sink.write(event=event, fields=fields, keep=keep)

    def replace(self, *, target: _Target) -> _Target:
        """Switch to another target.

        Returns:
            The previous target.
        """
        previous = self._target
        previous.opened.close()
        logging.getLogger().removeHandler(self._libraries)
        if target.sink is not None:
            target.opened.enter_context(target.sink.opened())
            logging.getLogger().addHandler(self._libraries)
        self._target = target
        return previous


class _LibraryHandler(logging.Handler):
    """Writes messages of libraries that use Python's `logging`."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one message."""
        if record.levelno < _output.level:
            return
        fields = {
            "logger_name": record.name,
            "level": record.levelname,
            "text": self.format(record),
        }
        _output.write(event=LIBRARY_EVENT, fields=fields)


_output = _Output()


class Logger:
    """Writes the events of one module.

    Args:
        name: Name of the module.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event that only developers need."""
        self._write(event, Level.DEBUG, fields)

    def info(self, event: str, *, keep: bool = False, **fields: Any) -> None:
        """Log an event that an operator may want to follow, such as a decision.

        Args:
            event: Name of the event.
            keep: Whether the line bypasses the rate limit of its event.
            fields: Fields of the event.
        """
        self._write(event, Level.INFO, fields, keep=keep)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator should examine."""
        self._write(event, Level.WARNING, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that an operator must act on."""
        self._write(event, Level.ERROR, fields)

    def enabled(self, *, level: Level) -> bool:
        """Return whether a level is active, to skip fields that are costly to build."""
        return level >= _output.level

    def _write(
        self, event: str, level: Level, fields: dict[str, Any], *, keep: bool = False
    ) -> None:
        if not self.enabled(level=level):
            return
        all_fields = {"logger_name": self._name, "level": level.name, **fields}
        _output.write(event=event, fields=all_fields, keep=keep)


def get_logger(*, name: str) -> Logger:
    """Return a logger for a module."""
    return Logger(name=name)


def write_logs(*, level: Level, stream: IO[str] | None = None) -> None:
    """Send log lines of a level and above to a stream, standard error by default.

    A process has one such stream; a later call replaces it.
    """
    _output.replace(
        target=_Target(level=level, sink=_eliot_sink(stream=stream or sys.stderr))
    )


@contextmanager
def redirect_logs(*, level: Level, stream: IO[str]) -> Iterator[None]:
    """Send log lines to a stream while the context lasts."""
    with log_to_sink(level=level, sink=_eliot_sink(stream=stream)):
        yield


@contextmanager
def log_to_sink(*, level: Level, sink: Sink) -> Iterator[None]:
    """Send log lines to a sink while the context lasts."""
    previous = _output.replace(target=_Target(level=level, sink=sink))
    try:
        yield
    finally:
        _output.replace(target=previous)


def _eliot_sink(*, stream: IO[str]) -> Sink:
    # Routers on small hosts don't use eliot, and lack the memory to import it.
    from dotterelpaddle.eliot_logs import EliotSink

    return EliotSink(stream=stream)
