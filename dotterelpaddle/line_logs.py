"""Writes log lines with little memory and without blocking the caller.

The lines have the format of eliot, which itself would cost a router on a small host
1.8 MB. A thread writes them, because the reader of standard output may be slow or
stalled. Two limits apply: a rate limit per event, so that a flood of one event does
not crowd out the others, and a limit on the queue of all lines.
"""

from __future__ import annotations

import os
import secrets
import threading
import time
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.clock import Clock

EVENT_LINES_PER_SECOND = 100.0
"""Maximum sustained rate of one event: several times what requests cause on a busy
router, and less than a hundredth of a core to write."""

EVENT_BURST_LINES = 400.0
"""Maximum lines of one event in a burst."""

MAX_QUEUED_BYTES = 8 * 1024 * 1024
"""Maximum size of the queue while the reader stalls."""

BATCH_SECONDS = 0.1
"""Time for which the thread collects lines for one write, to save system calls. A
killed process loses at most the lines of this time."""

CLOSE_TIMEOUT_SECONDS = 0.5
"""Maximum wait for the last lines on close, since the reader may stall forever."""

DROP_REPORT_INTERVAL_SECONDS = 1.0
"""Minimum interval of lines that count dropped lines. Without it, a flood would add
one such line for each line that it writes."""

MAX_TEXT_CHARACTERS = 200
"""Characters of a field that is written as text because JSON can't hold it."""

LINES_DROPPED_EVENT = "lines_left_out"
"""Event that counts the dropped lines by event."""


@dataclass(kw_only=True, slots=True)
class _TokenBucket:
    """Rate limiter of one event: a token bucket with one token a line."""

    tokens: float
    updated_at: float


class LineSink:
    """Writes lines from a separate thread.

    Args:
        descriptor: File descriptor that receives the lines.
        clock: Monotonic clock.
    """

    def __init__(self, *, descriptor: int, clock: Clock = time.monotonic) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._process = secrets.token_hex(16)
        self._line_number = 0
        self._buckets: dict[str, _TokenBucket] = {}
        self._dropped: Counter[str] = Counter()
        self._drops_reported_at = float("-inf")
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._condition = threading.Condition()
        self._closing = False

    def write(self, *, event: str, fields: dict[str, Any], keep: bool) -> None:
        """Queue a line, or count it as dropped.

        Args:
            event: Name of the event.
            fields: Fields of the event.
            keep: Whether the line bypasses the rate limit.
        """
        if not keep and not self._take_token(event):
            self._dropped[event] += 1
            return
        self._report_dropped()
        if not self._enqueue(event, fields):
            self._dropped[event] += 1

    @contextmanager
    def opened(self) -> Iterator[None]:
        """Write lines while the context lasts."""
        self._closing = False
        thread = threading.Thread(target=self._run, name="log lines", daemon=True)
        thread.start()
        try:
            yield
        finally:
            with self._condition:
                self._closing = True
                self._condition.notify()
            thread.join(CLOSE_TIMEOUT_SECONDS)

    def _take_token(self, event: str) -> bool:
        """Take a token from the bucket of an event; False if the bucket is empty."""
        now = self._clock()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = _TokenBucket(tokens=EVENT_BURST_LINES, updated_at=now)
            self._buckets[event] = bucket
        refill = EVENT_LINES_PER_SECOND * (now - bucket.updated_at)
        bucket.tokens = min(EVENT_BURST_LINES, bucket.tokens + refill)
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _report_dropped(self) -> None:
        now = self._clock()
        if (
            not self._dropped
            or now - self._drops_reported_at < DROP_REPORT_INTERVAL_SECONDS
        ):
            return
        if self._enqueue(LINES_DROPPED_EVENT, {"events": self._dropped}):
            self._dropped = Counter()
            self._drops_reported_at = now

    def _enqueue(self, event: str, fields: dict[str, Any]) -> bool:
        """Queue a line; False if the queue is full."""
        self._line_number += 1
        line = _encode(
            {
                "task_uuid": self._process,
                "task_level": [self._line_number],
                "timestamp": time.time(),
                "message_type": event,
                **fields,
            }
        )
        with self._condition:
            if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
                return False
            if not self._queue:
                self._condition.notify()
            self._queue.append(line)
            self._queued_bytes += len(line)
            return True

    def _run(self) -> None:
        while True:
            with self._condition:
                while not self._queue and not self._closing:
                    self._condition.wait()
                if not self._queue:
                    return
                closing = self._closing
            if not closing:
                time.sleep(BATCH_SECONDS)
            with self._condition:
                lines, self._queue = self._queue, []
                self._queued_bytes = 0
            if not self._drain(b"".join(lines)):
                return

    def _drain(self, content: bytes) -> bool:
        """Write all content; False if the reader has closed its end."""
        remaining = memoryview(content)
        while remaining:
            try:
                remaining = remaining[os.write(self._descriptor, remaining) :]
            except BlockingIOError:
                time.sleep(BATCH_SECONDS)
            except OSError:
                # The reader has closed its end, so there is nowhere to log the error.
                return False
        return True


def _encode(fields: dict[str, Any]) -> bytes:
    """Encode a line; a field that JSON can't hold is written as text."""
    try:
        return _dump(fields)
    except TypeError:
        return _dump({name: _encodable(value) for name, value in fields.items()})


def _dump(fields: dict[str, Any]) -> bytes:
    return orjson.dumps(
        fields,
        default=str,
        option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS,
    )


def _encodable(value: Any) -> Any:
    """Return a value if JSON can hold it, else its beginning as ASCII text."""
    try:
        _dump({"value": value})
    except TypeError as error:
        try:
            return ascii(value)[:MAX_TEXT_CHARACTERS]
        except Exception:
            # The text of an integer has a limit, and `repr` of others may fail, too.
            return f"{type(value).__name__} that can't be written: {error}"
    return value
