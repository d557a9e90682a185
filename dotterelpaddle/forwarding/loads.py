"""Requests in flight at each endpoint, over all routers."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from dotterelpaddle.forwarding.shares import ShareBook
    from dotterelpaddle.ids import EndpointId


class LoadBook:
    """Counts of requests in flight.

    Args:
        shares: What other routers told.
    """

    def __init__(self, *, shares: ShareBook) -> None:
        self._shares = shares
        self._own: Counter[EndpointId] = Counter()

    @property
    def own(self) -> Mapping[EndpointId, int]:
        """This router's requests in flight, by endpoint."""
        return self._own

    @property
    def routers(self) -> int:
        """Routers whose requests are counted, this one included."""
        return self._shares.routers

    @contextmanager
    def hold(self, *, endpoint: EndpointId) -> Iterator[None]:
        """Count a request at an endpoint while the context lasts."""
        self._own[endpoint] += 1
        try:
            yield
        finally:
            self._own[endpoint] -= 1
            if not self._own[endpoint]:
                del self._own[endpoint]

    def loads(self) -> Counter[EndpointId]:
        """Requests in flight by endpoint, as far as this router knows."""
        loads = Counter(self._own)
        for share in self._shares.in_force():
            loads.update(share.loads)
        return loads
