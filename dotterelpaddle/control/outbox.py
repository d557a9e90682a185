"""Messages that wait a moment so that several share a datagram."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.control.envelope import ENVELOPE_OVERHEAD
from dotterelpaddle.control.interface import TrafficClass

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.control.envelope import Item

MAX_DATAGRAM = 1_200
"""Most bytes of a datagram's payload, so that no link on the way splits it."""

TAG_SIZE = 8
"""Bytes of a datagram's authentication tag."""

MAX_ITEMS_SIZE = MAX_DATAGRAM - TAG_SIZE - ENVELOPE_OVERHEAD
"""Most bytes of the messages in a datagram."""

MAX_WAITING = 1_024
"""Datagrams that may wait to be sent."""

DELAYS = {
    TrafficClass.MEMBERSHIP: 0.005,
    TrafficClass.CONFIGURATION: 0.005,
    TrafficClass.PERMIT: 0.0,
    TrafficClass.LOAD: 0.020,
}
"""Seconds that a message waits for others.

A permit waits only until the event loop's current turn is over.
"""


@dataclass(kw_only=True, slots=True)
class Parcel:
    """The messages of one datagram.

    Attributes:
        peer: Where it goes.
        due: When it has to leave, seconds on the monotonic clock.
        items: The messages, each with its class.
        size: Most bytes that the messages take.
        charged: Bytes taken from the budget for it.
    """

    peer: Address
    due: float
    items: list[tuple[Item, TrafficClass]] = field(default_factory=list)
    size: int = 0
    charged: int = 0


class Outbox:
    """Collects messages into datagrams."""

    def __init__(self) -> None:
        self._open: dict[Address, Parcel] = {}
        self._full: deque[Parcel] = deque()

    @property
    def is_full(self) -> bool:
        """Whether as many datagrams wait as may."""
        return len(self._open) + len(self._full) >= MAX_WAITING

    def opens_datagram(self, *, peer: Address, item: Item) -> bool:
        """Tell whether a message would not fit in a datagram that waits."""
        parcel = self._open.get(peer)
        return parcel is None or parcel.size + item.size > MAX_ITEMS_SIZE

    def put(
        self,
        *,
        peer: Address,
        item: Item,
        traffic: TrafficClass,
        charged: int,
        now: float,
    ) -> None:
        """Add a message."""
        due = now + DELAYS[traffic]
        if self.opens_datagram(peer=peer, item=item):
            self._close(peer=peer)
            self._open[peer] = Parcel(peer=peer, due=due)
        parcel = self._open[peer]
        parcel.items.append((item, traffic))
        parcel.size += item.size
        parcel.charged += charged
        parcel.due = min(parcel.due, due)

    def next_due(self) -> float | None:
        """Tell when the next datagram has to leave, None if there is none."""
        if self._full:
            return self._full[0].due
        return min((parcel.due for parcel in self._open.values()), default=None)

    def take_due(self, *, now: float) -> list[Parcel]:
        """Take the datagrams that have to leave."""
        parcels = list(self._full)
        self._full.clear()
        due = [peer for peer, parcel in self._open.items() if parcel.due <= now]
        parcels.extend(self._open.pop(peer) for peer in due)
        return parcels

    def _close(self, *, peer: Address) -> None:
        parcel = self._open.pop(peer, None)
        if parcel is None:
            return
        parcel.due = 0.0
        self._full.append(parcel)
