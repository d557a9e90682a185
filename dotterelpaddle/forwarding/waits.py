"""How long an attempt waits for progress, learnt for each kind of request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.dispatch.options import Bounds
from dotterelpaddle.dispatch.patience import Estimate
from dotterelpaddle.endpoint.patience import Patience
from dotterelpaddle.forwarding.model import RequestKind

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import ForwardRoute

CONNECT_TIME = 0.15
"""Seconds until a connection must stand: a lost first packet is sent again after
a second, by which time another endpoint has long been asked."""

WHOLE_FIRST = Bounds(floor=0.15, initial=0.4, cap=0.6)
"""Wait for a whole answer that may be asked for again elsewhere, seconds.

The slowest of a hundred takes about five times the mean of 60 ms."""

EVENT_FIRST = Bounds(floor=0.7, initial=0.9, cap=2.0)
"""Wait for a stream's first event, seconds. Callers expect it within 0.8 s; one in
a hundred that has its whole prompt cached waits 0.6 s behind others' prompts."""

READING_TIME = 1 / 40_000
"""Seconds that are allowed for each prompt token that is not cached; an engine
alone needs half of it."""

EVENT_GAP = Bounds(floor=0.45, initial=1.0, cap=1.5)
"""Wait between two events, seconds. A step takes some 10 ms; callers call a
pause of 0.3 s late and give up after two seconds."""


class _Waits:
    """What was learnt of one kind of request."""

    def __init__(self, *, first: Bounds) -> None:
        self.first = Estimate(bounds=first)
        self.gap = Estimate(bounds=EVENT_GAP)


class WaitBook:
    """What was learnt of the progress of answers, by route."""

    def __init__(self) -> None:
        self._waits: dict[str, _Waits] = {}

    def patience(
        self,
        *,
        route: ForwardRoute,
        time_left: float,
        may_repeat: bool,
        missing_tokens: int,
    ) -> Patience:
        """Return the deadlines of the next attempt.

        A request that can't be sent again gains nothing from giving up early,
        so once it is sent only its own deadline ends it.
        """
        connect = min(CONNECT_TIME, time_left)
        if not may_repeat:
            return Patience(connect=connect, first_byte=time_left, gap=time_left)
        waits = self._of(route)
        first = waits.first.limit() + READING_TIME * missing_tokens
        return Patience(
            connect=connect,
            first_byte=min(first, time_left),
            gap=min(waits.gap.limit(), time_left),
        )

    def begun(self, *, route: ForwardRoute, seconds: float) -> None:
        """Take in how long an answer took to begin."""
        self._of(route).first.observe(seconds=seconds)

    def continued(self, *, route: ForwardRoute, seconds: float) -> None:
        """Take in the longest gap between two events of a stream."""
        self._of(route).gap.observe(seconds=seconds)

    def gave_up(self, *, route: ForwardRoute, begun: bool) -> None:
        """Take in that an endpoint was given up on, before or after it began."""
        waits = self._of(route)
        (waits.gap if begun else waits.first).back_off()

    def _of(self, route: ForwardRoute) -> _Waits:
        key = f"{route.host}{route.prefix}"
        waits = self._waits.get(key)
        if waits is None:
            streams = route.kind is RequestKind.STREAM
            waits = _Waits(first=EVENT_FIRST if streams else WHOLE_FIRST)
            self._waits[key] = waits
        return waits
