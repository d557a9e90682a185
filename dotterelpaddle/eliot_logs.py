"""Writes log lines with eliot, for programs on hosts with enough memory for it."""

from __future__ import annotations

from contextlib import contextmanager
from typing import IO, TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from collections.abc import Iterator


class EliotSink:
    """Writes each line immediately with eliot.

    Args:
        stream: Text stream that receives the lines.
    """

    def __init__(self, *, stream: IO[str]) -> None:
        self._destination = eliot.FileDestination(file=stream)

    def write(self, *, event: str, fields: dict[str, Any], keep: bool) -> None:
        """Write one line; this sink drops none, so it ignores `keep`."""
        eliot.log_message(message_type=event, **fields)

    @contextmanager
    def opened(self) -> Iterator[None]:
        """Accept lines while the context lasts."""
        eliot.add_destinations(self._destination)
        try:
            yield
        finally:
            eliot.remove_destination(self._destination)
