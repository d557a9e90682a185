"""Keeping the bound while two routers believe that they own an endpoint.

For a few seconds after a change of owner some routers report to the old owner and
some to the new one. Each of the two then keeps the other part of the load
reserved, as it was last known, and hands out only the part of the room that falls
to the routers that report to it. So both together stay within the limit, whoever
is right.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.ids import EndpointId, RouterId

WINDOW = 2.0
"""Seconds after which all routers believe in the same owner."""


@dataclass(kw_only=True, slots=True)
class _Reservation:
    """Load that is reported elsewhere, and the limit while that lasts.

    Attributes:
        base: All load when it began.
        until: When it ends.
        gained: Whether this router is the new owner.
        load: Load reserved at the beginning.
        here: Routers that report here, if this router is the new owner.
        elsewhere: Routers that report elsewhere, if it is the old one.
    """

    base: int
    until: float
    gained: bool
    load: int = 0
    here: set[RouterId] = field(default_factory=set)
    elsewhere: set[RouterId] = field(default_factory=set)

    def share(self, *, routers: int) -> float:
        """The part of the room that falls to routers that report here."""
        if self.gained:
            return min(len(self.here) / max(routers, 1), 1.0)
        return max(1.0 - len(self.elsewhere) / max(routers, 1), 0.0)


class Reservations:
    """Reservations by endpoint.

    Attributes:
        routers: Routers that ask for the shard's endpoints.
    """

    def __init__(self) -> None:
        self.routers = 1
        self._by_endpoint: dict[EndpointId, _Reservation] = {}

    def gain(
        self,
        *,
        endpoint: EndpointId,
        load: int,
        base: int,
        now: float,
        here: Iterable[RouterId] = (),
    ) -> None:
        """Begin to own an endpoint, or to share it with another owner.

        Args:
            endpoint: The endpoint.
            load: Other routers' load there, as last known.
            base: All load there.
            now: Seconds on the monotonic clock.
            here: Routers that report here, whose load is not in the reserved one.
        """
        self._by_endpoint[endpoint] = _Reservation(
            base=base, until=now + WINDOW, gained=True, load=load, here=set(here)
        )

    def release(
        self,
        *,
        endpoint: EndpointId,
        router: RouterId,
        load: int,
        base: int,
        now: float,
    ) -> None:
        """Note that a router reports its load on an endpoint to another owner."""
        held = self._by_endpoint.setdefault(
            endpoint, _Reservation(base=base, until=now, gained=False)
        )
        held.until = now + WINDOW
        held.load += load
        held.here.discard(router)
        held.elsewhere.add(router)

    def doubt(
        self, *, endpoint: EndpointId, router: RouterId, base: int, now: float
    ) -> None:
        """Note that an endpoint's owner does not answer.

        Each router then decides alone, and takes its part of the room only.
        """
        held = self._by_endpoint.setdefault(
            endpoint, _Reservation(base=base, until=now, gained=True, here={router})
        )
        held.until = max(held.until, now + WINDOW)

    def report(self, *, endpoint: EndpointId, router: RouterId, load: int) -> None:
        """Note that a router reports here: its part is reserved no more."""
        held = self._by_endpoint.get(endpoint)
        if held is None or router in held.here:
            return
        held.here.add(router)
        held.elsewhere.discard(router)
        held.load = max(held.load - load, 0)

    def drop(self, *, endpoint: EndpointId) -> None:
        """Stop owning an endpoint."""
        self._by_endpoint.pop(endpoint, None)

    def expire(self, *, now: float) -> None:
        """Drop what is over."""
        for endpoint in list(self._by_endpoint):
            if self._by_endpoint[endpoint].until <= now:
                del self._by_endpoint[endpoint]

    def loads(self, *, now: float) -> Mapping[EndpointId, int]:
        """Reserved load by endpoint; it declines, as the requests in it end."""
        left = {
            endpoint: int(held.load * min((held.until - now) / WINDOW, 1.0))
            for endpoint, held in self._by_endpoint.items()
        }
        return {endpoint: load for endpoint, load in left.items() if load > 0}

    def cap(self, *, endpoint: EndpointId, limit: int, now: float) -> int:
        """The limit of an endpoint, lower while its owner is in doubt."""
        held = self._by_endpoint.get(endpoint)
        if held is None or held.until <= now or limit <= held.base:
            return limit
        share = held.share(routers=self.routers)
        return held.base + int((limit - held.base) * share)
