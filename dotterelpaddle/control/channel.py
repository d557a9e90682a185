"""The channel between routers: datagrams for small messages, TCP for bulk.

Outgoing messages pass the byte budget, wait a moment in the outbox, and leave
in datagrams. Incoming datagrams pass the links, the authenticator, the codec
and the replay guard before their messages reach handlers; whatever fails is
counted and dropped.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, TypeVar

import anyio

from dotterelpaddle.accepting import accepting
from dotterelpaddle.control.authentication import Authenticator
from dotterelpaddle.control.budget import BULK_SHARE, Budget, BulkBudget
from dotterelpaddle.control.bulk import (
    TAG_SIZE as FRAME_TAG_SIZE,
    BulkClient,
    BulkServer,
    FrameCodec,
)
from dotterelpaddle.control.calls import PendingCalls
from dotterelpaddle.control.envelope import Item, Kind
from dotterelpaddle.control.handlers import Handlers
from dotterelpaddle.control.outbox import TAG_SIZE
from dotterelpaddle.control.receiver import DatagramReceiver
from dotterelpaddle.control.registry import Registry
from dotterelpaddle.control.sender import DatagramSender, new_session
from dotterelpaddle.control.sockets import open_sockets
from dotterelpaddle.control.traffic import Traffic
from dotterelpaddle.control.transfers import Transfers
from dotterelpaddle.exceptions import BudgetSpent, ControlError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import MessageType, TrafficClass
    from dotterelpaddle.links import Links
    from dotterelpaddle.metrics import Metrics

M = TypeVar("M")

PUBLISH_INTERVAL = 1.0
"""Seconds between updates of the metrics."""


class DatagramChannel:
    """The way to other routers.

    Args:
        address: Where other routers reach this one.
        registry: Message types and handlers.
        sender: Sends datagrams.
        calls: Calls that wait for replies.
        transfers: Sends requests over TCP.
        traffic: Counts.
    """

    def __init__(
        self,
        *,
        address: Address,
        registry: Registry,
        sender: DatagramSender,
        calls: PendingCalls,
        transfers: Transfers,
        traffic: Traffic,
    ) -> None:
        self._address = address
        self._registry = registry
        self._sender = sender
        self._calls = calls
        self._transfers = transfers
        self._traffic = traffic

    @property
    def address(self) -> Address:
        """Where other routers reach this one."""
        return self._address

    @property
    def traffic(self) -> Traffic:
        """Counts of what was sent, received, refused and dropped."""
        return self._traffic

    @property
    def sent_bytes(self) -> Mapping[TrafficClass, int]:
        """Bytes sent by class, IP, UDP and TCP headers included."""
        return self._traffic.sent

    def register(self, *, message_type: MessageType) -> None:
        """Make a message type known."""
        self._registry.register(message_type=message_type)

    def subscribe(
        self, *, message: type[M], handler: Callable[[M, Address], None]
    ) -> None:
        """Call a function for each message of a type, with the sender."""
        self._registry.subscribe(message=message, handler=handler)

    def serve(
        self, *, message: type[M], handler: Callable[[M, Address], Awaitable[Any]]
    ) -> None:
        """Answer calls of a type; the handler returns the reply message."""
        self._registry.serve(message=message, handler=handler)

    def send(self, *, peer: Address, message: Any) -> bool:
        """Queue a message for the next datagram to a peer, without waiting.

        Returns:
            False if the byte budget does not allow it; nothing is sent then.

        Raises:
            ControlError: If the message does not fit in a datagram.
        """
        item = self._registry.pack(message=message, kind=Kind.MESSAGE)
        return self._queue(peer=peer, item=item)

    async def call(self, *, peer: Address, message: Any, timeout: float) -> Any:
        """Send a message as a datagram and wait for its reply.

        Raises:
            BudgetSpent: If the byte budget does not allow it.
            ControlError: If no reply came in time, or the peer failed.
        """
        with self._calls.open(peer=peer) as call:
            item = self._registry.pack(
                message=message, kind=Kind.CALL, call=call.number
            )
            if not self._queue(peer=peer, item=item):
                raise BudgetSpent(
                    f"the byte budget has no room for a {type(message).__name__}",
                    peer=str(peer),
                )
            reply = await call.wait(timeout=timeout)
        return self._read(reply=reply, peer=peer)

    async def fetch(self, *, peer: Address, message: Any, timeout: float) -> Any:
        """Send a message over TCP and wait for its reply, of any size.

        Raises:
            BudgetSpent: If the byte budget does not allow it in time.
            ControlError: If the peer is unreachable or no reply came in time.
        """
        item = self._registry.pack(message=message, kind=Kind.CALL)
        reply = await self._transfers.fetch(peer=peer, item=item, timeout=timeout)
        return self._read(reply=reply, peer=peer)

    def bulk_delay(self, *, size: int) -> float:
        """Tell how many seconds a transfer over TCP would wait for the budget."""
        return self._transfers.delay(size=size)

    async def publish_counts(self) -> None:
        """Update the metrics now and then, until cancelled."""
        while True:
            await anyio.sleep(PUBLISH_INTERVAL)
            self._traffic.publish()

    def _queue(self, *, peer: Address, item: Item) -> bool:
        traffic = self._registry.traffic_of(item=item)
        return self._sender.queue(peer=peer, item=item, traffic=traffic)

    def _read(self, *, reply: Item, peer: Address) -> Any:
        if reply.kind is Kind.FAILURE:
            reason = reply.body.decode(errors="replace")
            raise ControlError(f"the peer failed: {reason}", peer=str(peer))
        return self._registry.unpack(item=reply, peer=peer)


@asynccontextmanager
async def open_channel(
    *,
    address: Address,
    key: bytes,
    bytes_per_second: float,
    links: Links,
    metrics: Metrics,
    clock: Clock,
    accepted_keys: tuple[bytes, ...] = (),
) -> AsyncIterator[DatagramChannel]:
    """Open a channel until the context ends.

    Args:
        address: Where to listen, for UDP and TCP; port 0 takes a free one.
        key: The fleet's key, which authenticates all that is sent.
        bytes_per_second: Byte budget of all control traffic.
        links: The process's links.
        metrics: Where traffic is counted.
        clock: Monotonic clock.
        accepted_keys: Further keys that are accepted while keys are changed.

    Yields:
        The channel.

    Raises:
        OSError: If the address can't be had.
        SettingsError: If a key can't be used.
    """
    traffic = Traffic(metrics=metrics)
    registry = Registry()
    handlers = Handlers(registry=registry, traffic=traffic)
    calls = PendingCalls()
    session = new_session()
    tags = Authenticator(key=key, accepted=accepted_keys, tag_size=TAG_SIZE)
    frames = FrameCodec(
        authenticator=Authenticator(
            key=key, accepted=accepted_keys, tag_size=FRAME_TAG_SIZE
        )
    )
    async with (
        open_sockets(address=address) as sockets,
        anyio.create_task_group() as tasks,
    ):
        sender = DatagramSender(
            socket=sockets.datagrams,
            authenticator=tags,
            budget=Budget(
                bytes_per_second=bytes_per_second * (1 - BULK_SHARE), now=clock()
            ),
            links=links,
            traffic=traffic,
            session=session,
            clock=clock,
        )
        receiver = DatagramReceiver(
            socket=sockets.datagrams,
            authenticator=tags,
            registry=registry,
            handlers=handlers,
            calls=calls,
            sender=sender,
            links=links,
            traffic=traffic,
            clock=clock,
            tasks=tasks,
        )
        transfers = Transfers(
            address=sockets.address,
            session=session,
            client=BulkClient(frames=frames, links=links),
            budget=BulkBudget(
                bytes_per_second=bytes_per_second * BULK_SHARE, now=clock()
            ),
            registry=registry,
            handlers=handlers,
            links=links,
            traffic=traffic,
            clock=clock,
        )
        server = BulkServer(frames=frames, answer=transfers.answer, traffic=traffic)
        channel = DatagramChannel(
            address=sockets.address,
            registry=registry,
            sender=sender,
            calls=calls,
            transfers=transfers,
            traffic=traffic,
        )
        tasks.start_soon(receiver.run)
        tasks.start_soon(sender.run)
        tasks.start_soon(channel.publish_counts)
        async with accepting(listener=sockets.connections, handler=server.handle):
            yield channel
        traffic.publish()
        tasks.cancel_scope.cancel()
