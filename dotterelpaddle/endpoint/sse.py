"""Server-sent events as model engines write them."""

from __future__ import annotations

from dotterelpaddle.exceptions import AnswerBroken

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event that has not ended; the largest known ones take a few KB."""

END_OF_EVENT = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"
ERROR_EVENT = b"event: error"
EVENT_ID_LINE = b"\nid:"
LINE_ENDS = b"\r\n"

MAX_ID_FIELDS = 8
"""Id fields that are looked at for one that is not empty."""


class EventBuffer:
    """Cuts a stream of bytes after whole events.

    Blank lines alone are no event: they stay until one follows, and count as part of
    it. However small the events of a chunk are, it costs time in proportion to its
    bytes, as it is not split.

    Args:
        peer: Who writes the stream, for errors.
    """

    def __init__(self, *, peer: str) -> None:
        self._peer = peer
        self._parts: list[bytes] = []
        self._size = 0
        self._has_line = False

    @property
    def size(self) -> int:
        """Number of bytes of an event that has not ended yet."""
        return self._size

    @property
    def in_event(self) -> bool:
        """Whether an event has begun that has not ended yet."""
        return self._has_line

    @property
    def rest(self) -> bytes:
        """What has come since the last whole event."""
        return b"".join(self._parts)

    def feed(self, *, chunk: bytes) -> bytes:
        """Add bytes and return the events that are whole, as they came; else nothing.

        Each byte is looked at a few times, however long an event is.

        Raises:
            AnswerBroken: If an event has no end for too long.
        """
        if not chunk:
            return b""
        last = self._parts[-1][-1:] if self._parts else b""
        self._parts.append(chunk)
        self._size += len(chunk)
        self._has_line = self._has_line or _has_line(text=chunk)
        ends = END_OF_EVENT in chunk or last + chunk[:1] == END_OF_EVENT
        events = self._cut() if ends and self._has_line else b""
        if self._size > MAX_EVENT_BYTES:
            raise AnswerBroken(
                f"an event exceeds {MAX_EVENT_BYTES} bytes", peer=self._peer
            )
        return events

    def _cut(self) -> bytes:
        """Cut off the whole events and keep the rest."""
        text = self.rest
        cut = text.rfind(END_OF_EVENT) + len(END_OF_EVENT)
        events, rest = text[:cut], text[cut:]
        if not _has_line(text=events):
            events, rest = b"", text
        self._parts = [rest] if rest else []
        self._size = len(rest)
        self._has_line = _has_line(text=rest)
        return events


def _has_line(*, text: bytes) -> bool:
    return bool(text.strip(LINE_ENDS))


def last_event_id(*, events: bytes) -> str:
    """Return the id of the last event that has one, empty if none has."""
    text = b"\n" + events
    end = len(text)
    for _ in range(MAX_ID_FIELDS):
        end = text.rfind(EVENT_ID_LINE, 0, end)
        if end < 0:
            break
        start = end + len(EVENT_ID_LINE)
        event_id = text[start : text.find(b"\n", start)].strip()
        if event_id:
            return event_id.decode("latin-1")
    return ""


def data_of(*, event: bytes) -> bytes | None:
    """Return the data of an event, None for comments and other events."""
    if event.startswith(DATA):
        return event[len(DATA) :]
    return None
