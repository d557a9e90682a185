"""Points in time on the clock of the platform's store, and their age.

Routers confirm to each other how fresh their data is. An age would lose the time that a
report spends on links and in queues, once for each router that passes it on. A point in
time on the store's clock stays the same, however often it is passed on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from dotterelpaddle.counts import decode_integer
from dotterelpaddle.ids import StoreEra
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.clock import Clock

log = get_logger(name=__name__)

MAX_CLOCK_DRIFT = 1e-4
"""Maximum difference between the rates of two hosts' clocks."""

MAX_CLOCK_SECONDS = 1e12
"""Latest time that a store's clock shows, with milliseconds that a message can hold."""

TOLERANCE_SECONDS = 0.05
"""Difference from the estimate that rounding and short delays of a clock explain."""


@dataclass(frozen=True, order=True, kw_only=True, slots=True)
class StoreTime:
    """A point in time on the store's clock.

    Any point of a later era is later, as the clock may start anew with an era.

    Attributes:
        era: Number of the store's returns from a copy.
        seconds: Seconds on the store's clock.
    """

    era: StoreEra
    seconds: float

    @classmethod
    def stated(cls, *, era: Any, seconds: Any) -> StoreTime:
        """Return a point in time that a row or another process states.

        Raises:
            OverflowError, TypeError: If a value is no number.
            ValueError: If it is none, or one that no store's clock shows.
        """
        time = cls(era=StoreEra(decode_integer(era)), seconds=float(seconds))
        if not abs(time.seconds) <= MAX_CLOCK_SECONDS:
            raise ValueError(f"{time.seconds!r} is no time of a store's clock")
        return time


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reading:
    """An answer of the store: its time, and a point in time on this host's clock."""

    time: StoreTime
    at: float


class StoreClock:
    """Estimates the latest and earliest time that the store's clock may show.

    An answer was made between its request and its arrival. So the store's clock shows
    at most the time of the answer plus the time since the request, and at least the
    time of the answer plus the time since its arrival.

    Args:
        clock: Monotonic clock of this host, which may stop while it is suspended.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._requested: _Reading | None = None
        self._received: _Reading | None = None

    def record_answer(self, *, time: StoreTime, requested_at: float) -> None:
        """Record an answer of the store.

        Args:
            time: Time of the answer on the store's clock.
            requested_at: Time of the request on this host's clock.
        """
        self._check(time=time)
        reading = _Reading(time=time, at=requested_at)
        if self._is_better(reading):
            self._requested = reading
        self._received = _Reading(time=time, at=self._clock())

    def earliest_time(self) -> StoreTime | None:
        """Return the earliest time that the store's clock may show, None if unknown."""
        known = self._received
        if known is None:
            return None
        elapsed = self._clock() - known.at
        return StoreTime(
            era=known.time.era,
            seconds=known.time.seconds + elapsed * (1 - MAX_CLOCK_DRIFT),
        )

    def age(self, *, of: StoreTime | None) -> float:
        """Return the most seconds that may have passed since a point in time.

        Infinite if this router can't tell: without an answer of the store, for an
        unknown time, or for one of another era.
        """
        if of is None:
            return float("inf")
        self._check(time=of)
        known = self._requested
        if known is None or known.time.era != of.era:
            return float("inf")
        return max(0.0, self._latest_seconds(known) - of.seconds)

    def _check(self, *, time: StoreTime) -> None:
        """Drop the estimate if a time on the store's clock is later than it allows.

        The clock of this host has stopped meanwhile, for example. The router relies on
        no confirmation until the store has answered again.
        """
        known = self._requested
        if known is None or known.time.era != time.era:
            return
        ahead = time.seconds - self._latest_seconds(known)
        if ahead > TOLERANCE_SECONDS:
            log.warning("store_clock_ahead", seconds=round(ahead, 3))
            self._requested = None

    def _is_better(self, reading: _Reading) -> bool:
        """Return whether a reading is of a later era or gives a lower estimate."""
        known = self._requested
        if known is None:
            return True
        if reading.time.era != known.time.era:
            return reading.time.era > known.time.era
        return self._latest_seconds(reading) <= self._latest_seconds(known)

    def _latest_seconds(self, reading: _Reading) -> float:
        elapsed = self._clock() - reading.at
        return reading.time.seconds + elapsed * (1 + MAX_CLOCK_DRIFT)


def latest_time(times: Iterable[StoreTime | None]) -> StoreTime | None:
    """Return the latest of some points in time, None without any."""
    return max((time for time in times if time is not None), default=None)
