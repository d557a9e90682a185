"""Bounds how much of streams a process reads, so that none keeps it from other work.

An endpoint may write events much faster than a model makes them, and without end. A
stream reads as much as it likes within an allowance of its own; what streams read
beyond that, all streams of the process share. The others are not delayed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)

STREAM_BYTES_PER_SECOND = 256 * 1024.0
"""Bytes a second that each stream may read; the fastest models make some 100 KB."""

STREAM_BURST_BYTES = 512 * 1024.0
"""Bytes that a stream may read at once after a pause."""

SHARED_BYTES_PER_SECOND = 4 * 1024 * 1024.0
"""Bytes a second that all streams may read together beyond their own allowances."""

SHARED_BURST_BYTES = 1024 * 1024.0
"""Bytes that all streams may read together at once beyond their own allowances."""


class Allowance:
    """A number of bytes that grows with time, up to a maximum.

    Args:
        rate: Bytes by which it grows in a second.
        burst: Its maximum, and what it is at first.
        clock: Monotonic clock.
    """

    def __init__(self, *, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._left = burst
        self._counted_at = clock()

    def take(self, *, size: float) -> float:
        """Take up to a number of bytes; return those that are missing."""
        self._grow()
        taken = min(size, max(0.0, self._left))
        self._left -= taken
        return size - taken

    def borrow(self, *, size: float) -> float:
        """Take bytes, also those that are missing; return the seconds until it has."""
        self._grow()
        self._left -= size
        return max(0.0, -self._left / self._rate)

    def _grow(self) -> None:
        now = self._clock()
        grown = self._left + self._rate * (now - self._counted_at)
        self._left = min(self._burst, grown)
        self._counted_at = now


class StreamPacer:
    """Makes the paces of all streams of a process.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._shared = Allowance(
            rate=SHARED_BYTES_PER_SECOND, burst=SHARED_BURST_BYTES, clock=clock
        )

    def pace(self, *, endpoint: EndpointId) -> StreamPace:
        """Return the pace of one stream.

        Args:
            endpoint: Who writes it, for the log.
        """
        own = Allowance(
            rate=STREAM_BYTES_PER_SECOND, burst=STREAM_BURST_BYTES, clock=self._clock
        )
        return StreamPace(own=own, shared=self._shared, endpoint=endpoint)


class StreamPace:
    """Delays the reads of one stream once it has read more than its allowance.

    Args:
        own: Allowance of the stream.
        shared: Allowance of all streams beyond their own ones.
        endpoint: Who writes the stream, for the log.
    """

    def __init__(
        self, *, own: Allowance, shared: Allowance, endpoint: EndpointId
    ) -> None:
        self._own = own
        self._shared = shared
        self._endpoint = endpoint
        self._is_delayed = False

    def delay(self, *, size: int) -> float:
        """Return the seconds until the stream may be read on.

        Args:
            size: Bytes that were read of it.
        """
        beyond = self._own.take(size=size)
        if not beyond:
            return 0.0
        seconds = self._shared.borrow(size=beyond)
        if not seconds:
            return 0.0
        if not self._is_delayed:
            self._is_delayed = True
            log.info(
                "stream_delayed",
                endpoint=self._endpoint,
                seconds=round(seconds, 3),
                bytes_per_second=STREAM_BYTES_PER_SECOND,
            )
        return seconds
