"""Transfers over TCP: byte budget, client and server side."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.control.bulk import TAG_SIZE, BulkClient
from dotterelpaddle.control.envelope import Envelope, Item
from dotterelpaddle.control.traffic import tcp_size
from dotterelpaddle.exceptions import BudgetSpent, ControlError

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.budget import BulkBudget
    from dotterelpaddle.control.handlers import Handlers
    from dotterelpaddle.control.registry import Registry
    from dotterelpaddle.control.traffic import Traffic
    from dotterelpaddle.links import Links

REPLY_PATIENCE = 20.0
"""Seconds that a reply waits for the byte budget at most."""


class Transfers:
    """Sends and answers requests over TCP.

    Args:
        address: This router's address, named in frames.
        session: This opening of the channel.
        client: Sends requests.
        budget: Byte budget of transfers.
        registry: Finds message types.
        handlers: Runs handlers.
        links: The process's links.
        traffic: Counts.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        address: Address,
        session: int,
        client: BulkClient,
        budget: BulkBudget,
        registry: Registry,
        handlers: Handlers,
        links: Links,
        traffic: Traffic,
        clock: Clock,
    ) -> None:
        self._address = address
        self._session = session
        self._client = client
        self._budget = budget
        self._registry = registry
        self._handlers = handlers
        self._links = links
        self._traffic = traffic
        self._clock = clock

    async def fetch(self, *, peer: Address, item: Item, timeout: float) -> Item:
        """Send a request and wait for its reply.

        Raises:
            BudgetSpent: If the byte budget does not allow it in time.
            ControlError: If the peer is unreachable or no reply came in time.
        """
        with anyio.move_on_after(timeout):
            await self._charge(item=item, limit=timeout)
            reply = await self._client.fetch(
                peer=peer, request=self._frame(item=item), timeout=timeout
            )
            received = _only(envelope=reply)
            self._count_received(item=received)
            return received
        raise ControlError(f"no reply over TCP within {timeout:.3f} s", peer=str(peer))

    async def answer(self, request: Envelope) -> Envelope:
        """Answer a request."""
        item = _only(envelope=request)
        peer = _sender(envelope=request)
        self._count_received(item=item)
        if not self._links.is_open(peer=peer):
            await anyio.sleep_forever()
        reply = await self._handlers.answer(item=item, peer=peer)
        await self._charge(item=reply, limit=REPLY_PATIENCE)
        return self._frame(item=reply)

    def delay(self, *, size: int) -> float:
        """Tell how many seconds a transfer would wait for the budget."""
        size = tcp_size(payload=size + TAG_SIZE)
        return self._budget.wait(size=size, now=self._clock())

    def _count_received(self, *, item: Item) -> None:
        size = tcp_size(payload=item.size + TAG_SIZE)
        traffic = self._registry.traffic_of(item=item)
        self._traffic.count_received(traffic=traffic, size=size)

    async def _charge(self, *, item: Item, limit: float) -> None:
        """Wait until the budget allows a transfer, and count it."""
        size = tcp_size(payload=item.size + TAG_SIZE)
        delay = self._budget.wait(size=size, now=self._clock())
        traffic = self._registry.traffic_of(item=item)
        if delay > limit:
            self._traffic.refuse(traffic=traffic)
            raise BudgetSpent(f"the byte budget has no room for {size} bytes")
        self._budget.take(size=size, now=self._clock())
        self._traffic.count_sent(traffic=traffic, size=size)
        if delay > 0:
            await anyio.sleep(delay)

    def _frame(self, *, item: Item) -> Envelope:
        return Envelope(
            session=self._session, sequence=0, items=(item,), sender=str(self._address)
        )


def _only(*, envelope: Envelope) -> Item:
    if len(envelope.items) == 1:
        return envelope.items[0]
    raise ControlError(f"a TCP frame holds {len(envelope.items)} messages, not one")


def _sender(*, envelope: Envelope) -> Address:
    try:
        return Address.parse(text=envelope.sender)
    except ValueError as error:
        raise ControlError("a TCP frame names no sender") from error
