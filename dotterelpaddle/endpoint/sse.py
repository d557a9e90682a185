"""Server-sent events as model engines write them."""

from __future__ import annotations

from dotterelpaddle.exceptions import AnswerBroken

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event that has not ended; the largest known ones take a few KB."""

END_OF_EVENT = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"
ERROR_EVENT = b"event: error"


class EventBuffer:
    """Cuts a stream of bytes into whole events.

    Args:
        peer: Who writes the stream, for errors.
    """

    def __init__(self, *, peer: str) -> None:
        self._peer = peer
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def size(self) -> int:
        """Number of bytes of an event that has not ended yet."""
        return self._size

    def feed(self, *, chunk: bytes) -> list[bytes]:
        """Add bytes and return the events that are whole, blank lines cut off.

        Each byte is looked at once or twice, however long an event is.

        Raises:
            AnswerBroken: If an event has no end for too long.
        """
        if not chunk:
            return []
        last = self._parts[-1][-1:] if self._parts else b""
        self._parts.append(chunk)
        self._size += len(chunk)
        events: list[bytes] = []
        if END_OF_EVENT in last + chunk:
            events = b"".join(self._parts).split(END_OF_EVENT)
            rest = events.pop()
            self._parts, self._size = [rest], len(rest)
        if self._size > MAX_EVENT_BYTES:
            raise AnswerBroken(
                f"an event exceeds {MAX_EVENT_BYTES} bytes", peer=self._peer
            )
        return events


def data_of(*, event: bytes) -> bytes | None:
    """Return the data of an event, None for comments and other events."""
    if event.startswith(DATA):
        return event[len(DATA) :]
    return None
