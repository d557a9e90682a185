"""Determines when callers of refused requests should return.

Meets the overload after which callers return together and are refused again. Each is
told a time of its own at which there is capacity, and is recognized when it returns
then.
"""

from __future__ import annotations

from collections import defaultdict
from math import inf
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    import random

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import Fingerprint

RETURN_SHARE = 0.5
"""Part of the capacity at which refused callers return; the rest is for first
attempts."""

WAITED_SHARE = 1.0 / 3.0
"""Part of their remaining time that callers wait at most before they return."""

SPREAD_START = 0.5
"""Where the random times of callers begin that find no regular time within that part,
as a fraction of it. Later times are better, as the schedule is full until then."""

REMEMBERED_SECONDS = 2.0
"""Time after the promised one during which a request is recognized."""

EARLY_TOLERANCE_SECONDS = 0.02
"""A request that comes so much earlier is on time: the time it is told is rounded, and
callers' timers are."""

MAX_PROMISES = 4096
"""Promises remembered in total. At 1,000 refusals per second that each name a time 2 s
ahead at most, these are all of them."""

MAX_PROMISES_PER_FINGERPRINT = 32
"""Promises remembered for one fingerprint. Different callers may send the same request
and are told different times, but one that always returns early must not fill the
schedule."""


class ReturnSchedule:
    """Retry times of one shard of a service.

    Args:
        clock: Monotonic clock.
        generator: Source of the random times.
    """

    def __init__(self, *, clock: Clock, generator: random.Random) -> None:
        self._clock = clock
        self._generator = generator
        self._last_return = -inf
        self._promises: SortedList = SortedList()
        self._by_fingerprint: dict[Fingerprint, SortedList] = defaultdict(SortedList)

    def __len__(self) -> int:
        """Return the number of promises remembered."""
        return len(self._promises)

    def promise(
        self,
        *,
        fingerprint: Fingerprint,
        backlog: int,
        capacity: float | None,
        time_left: float,
    ) -> float:
        """Choose when the caller of a refused request may return.

        Args:
            fingerprint: The request.
            backlog: Requests that wait for a slot.
            capacity: Requests per second of the service, None if unknown.
            time_left: Seconds until the request's deadline.

        Returns:
            Seconds until then.
        """
        now = self._clock()
        self._expire(now=now)
        latest = max(time_left, 0.0) * WAITED_SHARE
        kept = self._by_fingerprint.get(fingerprint, ())
        full = len(kept) >= MAX_PROMISES_PER_FINGERPRINT
        if capacity is not None and capacity > 0.0 and not full:
            drained_at = now + backlog / capacity
            following = self._last_return + 1.0 / (RETURN_SHARE * capacity)
            returns_at = max(drained_at, following)
            if returns_at <= now + latest:
                self._last_return = returns_at
                self._remember(fingerprint=fingerprint, returns_at=returns_at)
                return returns_at - now
        # No capacity is kept for these callers. If they went before first attempts,
        # few first attempts would be served in time during an overload.
        return latest * self._generator.uniform(SPREAD_START, 1.0)

    def claim(self, *, fingerprint: Fingerprint) -> bool:
        """Tell whether a request returns when it was told to, once per promise.

        The promise to one that comes early is kept until its time.
        """
        now = self._clock()
        self._expire(now=now)
        kept = self._by_fingerprint.get(fingerprint)
        if not kept or kept[0] > now + EARLY_TOLERANCE_SECONDS:
            return False
        self._forget(fingerprint=fingerprint, returns_at=kept[0])
        return True

    def _remember(self, *, fingerprint: Fingerprint, returns_at: float) -> None:
        self._promises.add((returns_at, fingerprint))
        self._by_fingerprint[fingerprint].add(returns_at)
        if len(self._promises) > MAX_PROMISES:
            self._forget_first()

    def _expire(self, *, now: float) -> None:
        while self._promises and self._promises[0][0] + REMEMBERED_SECONDS < now:
            self._forget_first()

    def _forget_first(self) -> None:
        returns_at, fingerprint = self._promises[0]
        self._forget(fingerprint=fingerprint, returns_at=returns_at)

    def _forget(self, *, fingerprint: Fingerprint, returns_at: float) -> None:
        self._promises.remove((returns_at, fingerprint))
        kept = self._by_fingerprint[fingerprint]
        kept.remove(returns_at)
        if not kept:
            del self._by_fingerprint[fingerprint]
