"""What services ask of the channel between routers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.address import Address

M = TypeVar("M")


class TrafficClass(IntEnum):
    """Priority of control traffic; lower values are sent first."""

    MEMBERSHIP = 0
    CONFIGURATION = 1
    PERMIT = 2
    LOAD = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class MessageType:
    """How one message type travels.

    Attributes:
        code: Number on the wire, unique over all message types.
        message: The data class.
        traffic: Its class of control traffic.
        encode: Turns a message into bytes.
        decode: Turns bytes back into a message.
    """

    code: int
    message: type[Any]
    traffic: TrafficClass
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


class Channel(Protocol):
    """The way to other routers: datagrams for small messages, TCP for bulk."""

    @property
    def address(self) -> Address:
        """Where other routers reach this one."""

    def register(self, *, message_type: MessageType) -> None:
        """Make a message type known."""

    def subscribe(
        self, *, message: type[M], handler: Callable[[M, Address], None]
    ) -> None:
        """Call a function for each message of a type, with the sender."""

    def serve(
        self, *, message: type[M], handler: Callable[[M, Address], Awaitable[Any]]
    ) -> None:
        """Answer calls of a type; the handler returns the reply message."""

    def send(self, *, peer: Address, message: Any) -> bool:
        """Queue a message for the next datagram to a peer, without waiting.

        Returns:
            False if the byte budget does not allow it; nothing is sent then.
        """

    async def call(self, *, peer: Address, message: Any, timeout: float) -> Any:
        """Send a message as a datagram and wait for its reply.

        Raises:
            ControlError: If the budget is spent or no reply came in time.
        """

    async def fetch(self, *, peer: Address, message: Any, timeout: float) -> Any:
        """Send a message over TCP and wait for its reply, of any size.

        Raises:
            ControlError: If the peer is unreachable or no reply came in time.
        """

    def bulk_delay(self, *, size: int) -> float:
        """Tell how many seconds a transfer over TCP would wait for the budget.

        A server that can't answer in good time may so answer less.
        """
