"""Runs the handlers of messages; whatever they do, the channel goes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.control.envelope import Item, Kind
from dotterelpaddle.control.traffic import Drop
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.control.registry import Registry
    from dotterelpaddle.control.traffic import Traffic

log = get_logger(name=__name__)

MAX_REASON = 200
"""Most bytes of a failure's reason."""


class Handlers:
    """Decodes messages and runs their handlers.

    Args:
        registry: Finds types and handlers.
        traffic: Counts.
    """

    def __init__(self, *, registry: Registry, traffic: Traffic) -> None:
        self._registry = registry
        self._traffic = traffic

    def deliver(self, *, item: Item, peer: Address) -> None:
        """Give a message to its subscribers."""
        if self._registry.find(code=item.code) is None:
            self._traffic.drop(reason=Drop.UNKNOWN_TYPE)
            return
        try:
            message = self._registry.unpack(item=item, peer=peer)
        except ControlError as error:
            self._traffic.drop(reason=Drop.MALFORMED)
            log.warning("control_malformed", peer=str(peer), error=str(error))
            return
        for handler in self._registry.subscribers(message=type(message)):
            try:
                handler(message, peer)
            # One message must not stop the channel, whatever its handler does.
            except Exception as error:
                self._traffic.drop(reason=Drop.HANDLER_FAILED)
                log.error("control_handler", peer=str(peer), error=repr(error))

    async def answer(self, *, item: Item, peer: Address) -> Item:
        """Run the handler of a call and encode its reply, or its failure."""
        try:
            message = self._registry.unpack(item=item, peer=peer)
            handler = self._registry.server(message=type(message))
            if handler is None:
                raise ControlError(f"nothing serves {type(message).__name__}")
            reply = await handler(message, peer)
            return self._registry.pack(message=reply, kind=Kind.REPLY, call=item.call)
        # One call must not stop the channel, whatever its handler does.
        except Exception as error:
            self._traffic.drop(reason=Drop.HANDLER_FAILED)
            log.error("control_call", peer=str(peer), error=repr(error))
            reason = str(error).encode()[:MAX_REASON]
            return Item(code=item.code, kind=Kind.FAILURE, call=item.call, body=reason)
