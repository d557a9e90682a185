"""Log lines that cost little memory and never make their writer wait.

The lines are those of eliot, which would cost a router on a small host 1.8 MB. They
are handed to a thread, because the reader of standard output may be slow or stand
still, and bounded twice: each event by a rate, so that a storm of one kind leaves
the others readable, and all together by a queue.
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
"""Lines a second of one event: several times what a router's requests cause on a busy
day, and under a hundredth of a core to write."""

EVENT_BURST_LINES = 400.0
"""Lines of one event that may come at once."""

MAX_QUEUED_BYTES = 8 * 1024 * 1024
"""Bytes of lines that wait for a reader that stands still."""

BATCH_SECONDS = 0.1
"""Seconds in which lines are gathered for one write, which saves calls to the
system; a process that is killed loses no more than the lines of this time."""

CLOSE_TIMEOUT_SECONDS = 0.5
"""Seconds that the last lines get at the end; a reader may stand still for ever."""

DROP_REPORT_INTERVAL_SECONDS = 1.0
"""Seconds between two lines on what was left out, which a storm would double."""

LINES_DROPPED_EVENT = "lines_left_out"
"""Event that tells how many lines of which events were left out."""


@dataclass(kw_only=True, slots=True)
class _TokenBucket:
    """Lines of one event that may be written now."""

    tokens: float
    updated_at: float


class LineSink:
    """Writes lines from a thread of its own.

    Args:
        descriptor: Where lines go, a file descriptor.
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
        """Queue a line, or count it as left out.

        Args:
            event: What it tells.
            fields: What decided it.
            keep: Whether it is written whatever the rate of its event.
        """
        if not keep and not self._take_token(event):
            self._dropped[event] += 1
            return
        self._report_dropped()
        if not self._enqueue(event, fields):
            self._dropped[event] += 1

    @contextmanager
    def opened(self) -> Iterator[None]:
        """Let lines be written while the context lasts."""
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
        """Take one line off the allowance of an event, if there is any."""
        now = self._clock()
        allowance = self._buckets.get(event)
        if allowance is None:
            allowance = _TokenBucket(tokens=EVENT_BURST_LINES, updated_at=now)
            self._buckets[event] = allowance
        earned = EVENT_LINES_PER_SECOND * (now - allowance.updated_at)
        allowance.tokens = min(EVENT_BURST_LINES, allowance.tokens + earned)
        allowance.updated_at = now
        if allowance.tokens < 1.0:
            return False
        allowance.tokens -= 1.0
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
        """Queue a line; False if too many wait already."""
        self._line_number += 1
        line = orjson.dumps(
            {
                "task_uuid": self._process,
                "task_level": [self._line_number],
                "timestamp": time.time(),
                "message_type": event,
                **fields,
            },
            default=str,
            option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS,
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
        """Write all of it; False if nobody will read it any more."""
        left = memoryview(content)
        while left:
            try:
                left = left[os.write(self._descriptor, left) :]
            except BlockingIOError:
                time.sleep(BATCH_SECONDS)
            except OSError:
                # The reader is gone. There is nowhere left to say so.
                return False
        return True
