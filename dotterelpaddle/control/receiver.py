"""Incoming datagrams: links, tag, envelope, replay guard, handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.address import Address
from dotterelpaddle.control import envelope as codec
from dotterelpaddle.control.envelope import Envelope, Item, Kind
from dotterelpaddle.control.outbox import MAX_DATAGRAM
from dotterelpaddle.control.replay import ReplayGuard
from dotterelpaddle.control.traffic import IP_UDP_HEADERS, Drop
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import TaskGroup, UDPSocket

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.authentication import Authenticator
    from dotterelpaddle.control.calls import PendingCalls
    from dotterelpaddle.control.handlers import Handlers
    from dotterelpaddle.control.registry import Registry
    from dotterelpaddle.control.sender import DatagramSender
    from dotterelpaddle.control.traffic import Traffic
    from dotterelpaddle.links import Links

log = get_logger(name=__name__)

MAX_CALLS_SERVED = 2_048
"""Calls that are answered at once; further ones are dropped."""


class DatagramReceiver:
    """Takes in datagrams; what fails a check is counted and dropped.

    Args:
        socket: The UDP socket.
        authenticator: Checks datagrams' tags.
        registry: Finds message types.
        handlers: Runs handlers.
        calls: Calls that wait for replies.
        sender: Sends replies.
        links: The process's links.
        traffic: Counts.
        clock: Monotonic clock.
        tasks: Where handlers of calls run.
    """

    def __init__(
        self,
        *,
        socket: UDPSocket,
        authenticator: Authenticator,
        registry: Registry,
        handlers: Handlers,
        calls: PendingCalls,
        sender: DatagramSender,
        links: Links,
        traffic: Traffic,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        self._socket = socket
        self._authenticator = authenticator
        self._registry = registry
        self._handlers = handlers
        self._calls = calls
        self._sender = sender
        self._links = links
        self._traffic = traffic
        self._clock = clock
        self._tasks = tasks
        self._guard = ReplayGuard()
        self._calls_served = 0

    async def run(self) -> None:
        """Pass on what arrives, until cancelled."""
        async for content, (host, port) in self._socket:
            self._receive(content=content, peer=Address(host=host, port=port))

    def _receive(self, *, content: bytes, peer: Address) -> None:
        self._traffic.count_datagram_received()
        if self._links.has_faults and not self._links.is_open(peer=peer):
            return
        envelope = self._open(content=content, peer=peer)
        if envelope is None:
            return
        shared = len(content) + IP_UDP_HEADERS
        shared -= sum(item.size for item in envelope.items)
        for item in envelope.items:
            self._count(item=item, shared=shared)
            self._dispatch(item=item, peer=peer)
            shared = 0

    def _open(self, *, content: bytes, peer: Address) -> Envelope | None:
        """Check a datagram; None if it is dropped."""
        opened = self._authenticator.open(sealed=content)
        if opened is None or len(content) > MAX_DATAGRAM:
            self._traffic.drop(reason=Drop.FORGED)
            return None
        try:
            envelope = codec.decode(content=opened)
        except ControlError:
            self._traffic.drop(reason=Drop.MALFORMED)
            return None
        if not self._guard.is_new(
            peer=peer,
            session=envelope.session,
            sequence=envelope.sequence,
            now=self._clock(),
        ):
            self._traffic.drop(reason=Drop.REPLAYED)
            return None
        return envelope

    def _count(self, *, item: Item, shared: int) -> None:
        message_type = self._registry.find(code=item.code)
        if message_type is not None:
            self._traffic.count_received(
                traffic=message_type.traffic, size=item.size + shared
            )

    def _dispatch(self, *, item: Item, peer: Address) -> None:
        match item.kind:
            case Kind.MESSAGE:
                self._handlers.deliver(item=item, peer=peer)
            case Kind.CALL:
                self._start_answer(item=item, peer=peer)
            case Kind.REPLY | Kind.FAILURE:
                if not self._calls.complete(peer=peer, reply=item):
                    self._traffic.drop(reason=Drop.LATE_REPLY)

    def _start_answer(self, *, item: Item, peer: Address) -> None:
        if self._calls_served >= MAX_CALLS_SERVED:
            self._traffic.drop(reason=Drop.OVERLOADED)
            return
        self._calls_served += 1
        self._tasks.start_soon(self._answer, item, peer)

    async def _answer(self, item: Item, peer: Address) -> None:
        try:
            reply = await self._handlers.answer(item=item, peer=peer)
            traffic = self._registry.traffic_of(item=reply)
            self._sender.queue(peer=peer, item=reply, traffic=traffic)
        except ControlError as error:
            log.warning("control_reply", peer=str(peer), error=str(error))
        finally:
            self._calls_served -= 1
