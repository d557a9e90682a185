"""The message types of a channel and their handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.control.envelope import Item, Kind
from dotterelpaddle.control.interface import TrafficClass
from dotterelpaddle.exceptions import ControlError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.control.interface import MessageType


class Registry:
    """Finds message types by code and by class, and handlers by type."""

    def __init__(self) -> None:
        self._by_code: dict[int, MessageType] = {}
        self._by_class: dict[type[Any], MessageType] = {}
        self._subscribers: dict[type[Any], list[Callable[[Any, Address], None]]] = {}
        self._servers: dict[type[Any], Callable[[Any, Address], Awaitable[Any]]] = {}

    def register(self, *, message_type: MessageType) -> None:
        """Make a message type known.

        Raises:
            ControlError: If its code or class is taken by another type.
        """
        known = self._by_code.get(message_type.code, message_type)
        if known.message is not message_type.message:
            raise ControlError(
                f"code {message_type.code} of {message_type.message.__name__} is "
                f"taken by {known.message.__name__}; choose another one"
            )
        self._by_code[message_type.code] = message_type
        self._by_class[message_type.message] = message_type

    def subscribe(
        self, *, message: type[Any], handler: Callable[[Any, Address], None]
    ) -> None:
        """Add a function to call for each message of a type."""
        self._subscribers.setdefault(message, []).append(handler)

    def serve(
        self, *, message: type[Any], handler: Callable[[Any, Address], Awaitable[Any]]
    ) -> None:
        """Set the function that answers calls of a type."""
        self._servers[message] = handler

    def type_of(self, *, message: Any) -> MessageType:
        """Find the type of a message.

        Raises:
            ControlError: If it was not registered.
        """
        found = self._by_class.get(type(message))
        if found is None:
            raise ControlError(
                f"{type(message).__name__} is not registered on this channel"
            )
        return found

    def find(self, *, code: int) -> MessageType | None:
        """Find a type by its number on the wire."""
        return self._by_code.get(code)

    def traffic_of(self, *, item: Item) -> TrafficClass:
        """Tell the class of an encoded message; the lowest if it is unknown."""
        message_type = self._by_code.get(item.code)
        return TrafficClass.LOAD if message_type is None else message_type.traffic

    def subscribers(
        self, *, message: type[Any]
    ) -> list[Callable[[Any, Address], None]]:
        """The functions to call for a type."""
        return self._subscribers.get(message, [])

    def server(
        self, *, message: type[Any]
    ) -> Callable[[Any, Address], Awaitable[Any]] | None:
        """The function that answers calls of a type."""
        return self._servers.get(message)

    def pack(self, *, message: Any, kind: Kind, call: int = 0) -> Item:
        """Encode a message."""
        message_type = self.type_of(message=message)
        return Item(
            code=message_type.code,
            kind=kind,
            call=call,
            body=message_type.encode(message),
        )

    def unpack(self, *, item: Item, peer: Address) -> Any:
        """Decode a message.

        Raises:
            ControlError: If its type is unknown or its body malformed.
        """
        message_type = self.find(code=item.code)
        if message_type is None:
            raise ControlError(f"message code {item.code} is unknown", peer=str(peer))
        try:
            return message_type.decode(item.body)
        # A codec may fail in any way on bytes that it did not write.
        except Exception as error:
            raise ControlError(
                f"malformed {message_type.message.__name__}: {error}", peer=str(peer)
            ) from error
