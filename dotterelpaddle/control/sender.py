"""Outgoing datagrams: byte budget, outbox, socket."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.control import envelope as codec
from dotterelpaddle.control.envelope import ENVELOPE_OVERHEAD, Envelope, Item
from dotterelpaddle.control.outbox import MAX_ITEMS_SIZE, TAG_SIZE, Outbox, Parcel
from dotterelpaddle.control.traffic import IP_UDP_HEADERS, Traffic
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import UDPSocket

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.authentication import Authenticator
    from dotterelpaddle.control.budget import Budget
    from dotterelpaddle.control.interface import TrafficClass
    from dotterelpaddle.links import Links

log = get_logger(name=__name__)

DATAGRAM_OVERHEAD = IP_UDP_HEADERS + TAG_SIZE + ENVELOPE_OVERHEAD
"""Most bytes of a datagram besides its messages."""


def new_session() -> int:
    """Make a session's number, which grows with the wall clock."""
    return time.time_ns() // 1_000_000


class DatagramSender:
    """Sends messages in shared datagrams.

    Args:
        socket: The UDP socket.
        authenticator: Makes datagrams' tags.
        budget: Byte budget of datagrams.
        links: The process's links.
        traffic: Counts.
        session: This opening of the channel.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        socket: UDPSocket,
        authenticator: Authenticator,
        budget: Budget,
        links: Links,
        traffic: Traffic,
        session: int,
        clock: Clock,
    ) -> None:
        self._socket = socket
        self._authenticator = authenticator
        self._budget = budget
        self._links = links
        self._traffic = traffic
        self._session = session
        self._clock = clock
        self._outbox = Outbox()
        self._sequence = 0
        self._queued = anyio.Event()

    def queue(self, *, peer: Address, item: Item, traffic: TrafficClass) -> bool:
        """Queue a message for the next datagram to a peer.

        Returns:
            False if the byte budget or a full outbox does not allow it.

        Raises:
            ControlError: If the message does not fit in a datagram.
        """
        size = item.size
        if size > MAX_ITEMS_SIZE:
            raise ControlError(
                f"a message of {size} bytes does not fit in a datagram; "
                "fetch it over TCP",
                peer=str(peer),
            )
        now = self._clock()
        if self._outbox.opens_datagram(peer=peer, item=item):
            size += DATAGRAM_OVERHEAD
        if self._outbox.is_full or not self._budget.take(
            traffic=traffic, size=size, now=now
        ):
            self._traffic.refuse(traffic=traffic)
            return False
        self._outbox.put(peer=peer, item=item, traffic=traffic, charged=size, now=now)
        self._queued.set()
        return True

    async def run(self) -> None:
        """Send queued datagrams when they are due, until cancelled."""
        while True:
            await self._wait_until_due()
            self._queued = anyio.Event()
            for parcel in self._outbox.take_due(now=self._clock()):
                await self._transmit(parcel=parcel)

    async def _wait_until_due(self) -> None:
        due = self._outbox.next_due()
        if due is None:
            await self._queued.wait()
            return
        delay = due - self._clock()
        if delay > 0:
            with anyio.move_on_after(delay):
                await self._queued.wait()

    async def _transmit(self, *, parcel: Parcel) -> None:
        self._sequence += 1
        content = codec.encode(
            envelope=Envelope(
                session=self._session,
                sequence=self._sequence,
                items=tuple(item for item, _ in parcel.items),
            )
        )
        datagram = self._authenticator.seal(content=content)
        self._account(parcel=parcel, size=len(datagram) + IP_UDP_HEADERS)
        if self._is_lost(peer=parcel.peer):
            return
        try:
            await self._socket.sendto(datagram, parcel.peer.host, parcel.peer.port)
        except OSError as error:
            log.debug("control_send", peer=str(parcel.peer), error=repr(error))

    def _is_lost(self, *, peer: Address) -> bool:
        if not self._links.has_faults:
            return False
        return not self._links.is_open(peer=peer) or self._links.should_drop_datagram()

    def _account(self, *, parcel: Parcel, size: int) -> None:
        """Count a datagram; its first message pays for what is shared."""
        self._budget.settle(size=parcel.charged - size)
        self._traffic.count_datagram_sent()
        shared = size - sum(item.size for item, _ in parcel.items)
        for item, traffic in parcel.items:
            self._traffic.count_sent(traffic=traffic, size=item.size + shared)
            shared = 0
