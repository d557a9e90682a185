"""Endpoints that have just started, or turned cold, and bear few requests a second.

What one of them gets is counted over all routers, whether they hear each other or not.
So each decision spends from a part of the allowance that is its own: the owner of the
endpoint from one, routers that choose alone from another, divided among them.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.placement.rendezvous import digest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.settings import ColdBounds
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, RouterId

log = get_logger(name=__name__)

WINDOW_SECONDS = 1.2
"""Seconds in which requests are counted together: the second that counts, and the time
by which two of them may come nearer to each other on their way."""

OWNER_SHARE = 1 / 3
"""Part of the allowance that an owner grants: while one follows another both may."""

OWNERLESS_SHARE = 2 / 3
"""Part that few routers divide among them where there are no owners."""

RANDOM_DRAW_SHARE = 1 / 3
"""Part that more routers than requests use where they know no owners: which of them
send one is drawn, and may be twice as many by chance, beside an owner as well."""

SETTLING_SECONDS = 2.0
"""Seconds after its start in which a router may know few of the others, and sends
nothing to cold endpoints by itself."""

_SCALE = 2.0**-64


class Decider(Enum):
    """Who decides for a request."""

    OWNER = "owner"
    NON_OWNER = "alone_beside_owners"
    OWNERLESS = "alone"


class ColdEndpoints:
    """Knows which endpoints are cold, and counts what this router sends there.

    Args:
        router: This router.
        bounds: What cold endpoints may get, None without a bound.
        view: The endpoints in force, and what their services say of cold ones.
        router_count: Tells how many routers there are.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        router: RouterId,
        bounds: ColdBounds | None,
        view: FleetView,
        router_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._router = router
        self._bounds = bounds
        self._view = view
        self._router_count = router_count
        self._clock = clock
        self._started_at = clock()
        self._until: dict[EndpointId, float] = {}
        self._last_until = float("-inf")
        self._sent: dict[EndpointId, deque[float]] = {}
        view.on_entry(self._note)

    @property
    def _any_cold(self) -> bool:
        """Whether any endpoint can be cold, which most of the time none is."""
        now = self._clock()
        longest = max(
            (each.duration for each in self._view.slow_starts.values()), default=0
        )
        back_at = self._view.evacuations.last_ended_at
        return now < max(self._last_until, back_at + longest)

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Forget all endpoints but some."""
        for endpoint in self._until.keys() - endpoints:
            del self._until[endpoint]
        for endpoint in self._sent.keys() - endpoints:
            del self._sent[endpoint]

    def is_cold(self, *, entry: EndpointEntry) -> bool:
        """Tell whether an endpoint is cold, as far as is known."""
        now = self._clock()
        if self._until.get(entry.endpoint, 0.0) > now:
            return True
        slow_start = self._view.slow_starts.get(entry.service)
        if slow_start is None:
            return False
        # Its entry says it a heartbeat later than work would come back.
        domain = entry.failure_domain
        back_at = self._view.evacuations.ended_at(failure_domain=domain)
        return now - back_at < slow_start.duration

    def with_capacity(
        self, *, entries: Sequence[EndpointEntry], decider: Decider
    ) -> Sequence[EndpointEntry]:
        """Leave out cold endpoints that have got their part."""
        if self._bounds is None or not self._any_cold:
            return entries
        return [
            entry
            for entry in entries
            if not self.is_cold(entry=entry) or self._has_room(entry, decider)
        ]

    def record_request(self, *, entry: EndpointEntry) -> None:
        """Count a request that is sent to an endpoint, or granted there."""
        if self._bounds is not None and self.is_cold(entry=entry):
            self._recent(entry.endpoint).append(self._clock())

    def _note(self, entry: EndpointEntry) -> None:
        """Take in what an entry says of its endpoint."""
        if self._bounds is None or not entry.cold_left:
            return
        until = self._clock() + entry.cold_left
        known = self._until.get(entry.endpoint, 0.0)
        if known <= self._clock():
            log.info("endpoint_cold", endpoint=entry.endpoint, seconds=entry.cold_left)
        self._until[entry.endpoint] = max(until, known)
        self._last_until = max(until, self._last_until)

    def _has_room(self, entry: EndpointEntry, decider: Decider) -> bool:
        return len(self._recent(entry.endpoint)) < self._part(entry, decider)

    def _recent(self, endpoint: EndpointId) -> deque[float]:
        sent = self._sent.setdefault(endpoint, deque())
        while sent and sent[0] <= self._clock() - WINDOW_SECONDS:
            sent.popleft()
        return sent

    def _part(self, entry: EndpointEntry, decider: Decider) -> int:
        """Requests in a second that this router may send or grant."""
        slow_start = self._view.slow_starts.get(entry.service)
        if self._bounds is None or slow_start is None:
            return 0
        bound = self._bounds.multiple * slow_start.rate + self._bounds.allowance
        match decider:
            case Decider.OWNER:
                return int(OWNER_SHARE * bound)
            case Decider.NON_OWNER:
                return 0
            case Decider.OWNERLESS:
                return self._own_part(entry, bound)

    def _own_part(self, entry: EndpointEntry, bound: float) -> int:
        """This router's part of what all of them may send where there are no owners."""
        if self._clock() - self._started_at < SETTLING_SECONDS:
            return 0
        routers = self._router_count()
        whole = int(OWNERLESS_SHARE * bound / routers)
        if whole:
            return whole
        draw = digest(text=f"{self._router}/{entry.endpoint}") * _SCALE
        return int(draw < RANDOM_DRAW_SHARE * bound / routers)
