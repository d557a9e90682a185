"""Structured logs: one JSON object a line, as eliot writes them."""

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
"""Event of the messages that libraries write by Python's own logging."""


class Level(IntEnum):
    """How much a line matters."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class Sink(Protocol):
    """Where lines go."""

    def write(self, *, event: str, fields: dict[str, Any], keep: bool) -> None:
        """Write a line; one that must be kept is left out at no rate."""

    def opened(self) -> AbstractContextManager[None]:
        """Let lines be written while the context lasts."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Target:
    """Where lines go now.

    Attributes:
        level: The lowest level that is written.
        sink: Writes them, None to write nowhere.
        opened: Closes the sink.
    """

    level: Level
    sink: Sink | None = None
    opened: ExitStack = field(default_factory=ExitStack)


class _Output:
    """The target of the whole process."""

    def __init__(self) -> None:
        self._target = _Target(level=Level.WARNING)
        self._libraries = _LibraryHandler(level=Level.WARNING)

    @property
    def level(self) -> Level:
        """The lowest level that is written."""
        return self._target.level

    def write(self, *, event: str, fields: dict[str, Any], keep: bool = False) -> None:
        """Write a line, if lines go anywhere."""
        if self._target.sink is not None:
            self._target.sink.write(event=event, fields=fields, keep=keep)

    def replace(self, *, target: _Target) -> _Target:
        """Write to another target.

        Returns:
            The earlier one.
        """
        earlier = self._target
        earlier.opened.close()
        logging.getLogger().removeHandler(self._libraries)
        if target.sink is not None:
            target.opened.enter_context(target.sink.opened())
            logging.getLogger().addHandler(self._libraries)
        self._target = target
        return earlier


class _LibraryHandler(logging.Handler):
    """Writes the messages of libraries, which use Python's own logging."""

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
        """Write what only a developer needs."""
        self._write(event, Level.DEBUG, fields)

    def info(self, event: str, *, keep: bool = False, **fields: Any) -> None:
        """Write what an operator may want to follow, such as a decision.

        Args:
            event: What it tells.
            keep: Whether no storm of such lines may leave this one out.
            fields: What decided it.
        """
        self._write(event, Level.INFO, fields, keep=keep)

    def warning(self, event: str, **fields: Any) -> None:
        """Write what an operator should look at."""
        self._write(event, Level.WARNING, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write what needs an operator."""
        self._write(event, Level.ERROR, fields)

    def enabled(self, *, level: Level) -> bool:
        """Tell whether a level is written, before fields that cost time are made."""
        return level >= _output.level

    def _write(
        self, event: str, level: Level, fields: dict[str, Any], *, keep: bool = False
    ) -> None:
        if not self.enabled(level=level):
            return
        named = {"logger_name": self._name, "level": level.name, **fields}
        _output.write(event=event, fields=named, keep=keep)


def get_logger(*, name: str) -> Logger:
    """Make the logger of a module."""
    return Logger(name=name)


def write_logs(*, level: Level, stream: IO[str] | None = None) -> None:
    """Send log lines of a level and above to a stream, standard error by default.

    A process has one such stream; a later call replaces the earlier one.
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
    earlier = _output.replace(target=_Target(level=level, sink=sink))
    try:
        yield
    finally:
        _output.replace(target=earlier)


def _eliot_sink(*, stream: IO[str]) -> Sink:
    # Routers on small hosts write lines without it, and have no room for it.
    from dotterelpaddle.eliot_logs import EliotSink

    return EliotSink(stream=stream)
