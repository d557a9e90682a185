"""Log lines by eliot, for programs on hosts that can afford its memory."""

from __future__ import annotations

from contextlib import contextmanager
from typing import IO, TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from collections.abc import Iterator


class EliotSink:
    """Writes each line at once by eliot.

    Args:
        stream: Where lines go.
    """

    def __init__(self, *, stream: IO[str]) -> None:
        self._destination = eliot.FileDestination(file=stream)

    def write(self, *, event: str, fields: dict[str, Any], keep: bool) -> None:
        """Write one line; none is left out, whether it must be kept or not."""
        eliot.log_message(message_type=event, **fields)

    @contextmanager
    def opened(self) -> Iterator[None]:
        """Let lines be written while the context lasts."""
        eliot.add_destinations(self._destination)
        try:
            yield
        finally:
            eliot.remove_destination(self._destination)
