"""Reads callers' request bodies within the memory of the process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.entry.reader import CallerGone
from dotterelpaddle.exceptions import BodyTooLarge, DeadlineExceeded
from dotterelpaddle.memory.answer_sizes import AnswerSizes
from dotterelpaddle.memory.held_bytes import REQUEST_BYTES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Mapping

    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.memory.held_bytes import HeldBytes
    from dotterelpaddle.memory.holdings import Holding

    Receive = Callable[[], Awaitable[dict[str, Any]]]

DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
"""Limit on a request body until the router has a configuration."""

UNROUTED_BODY_SECONDS = 10.0
"""Seconds within which the body of a request without a route must arrive: the default
limit takes 6.7 s on the slowest link, 5 Mbit/s."""


class BodyReader:
    """Reads request bodies, and holds their bytes until their requests end.

    Args:
        view: Provides the active configuration.
        held: What is held in sum.
    """

    def __init__(self, *, view: FleetView, held: HeldBytes) -> None:
        self._view = view
        self._held = held
        self._answer_sizes = AnswerSizes()

    @contextmanager
    def admit(
        self, *, exchange: ForwardExchange, scope: Mapping[str, Any]
    ) -> Iterator[None]:
        """Hold what a request takes until it ends.

        Raises:
            NotAccepting: If too much is held for other requests.
        """
        size = min(_declared_size(scope=scope), self._max_bytes)
        request = exchange.request
        route = self._view.route(host=request.host, path=request.path)
        admitted = (
            self._held.request(size=size)
            if route is None
            else self._held.request(
                size=size,
                service=max(route.services, key=lambda each: each.weight).service,
                answers=self._answer_sizes.of(route=route),
            )
        )
        with admitted as holding:
            exchange.holding = holding
            try:
                yield
            finally:
                exchange.body = b""

    async def read(self, *, exchange: ForwardExchange, receive: Receive) -> bytes:
        """Read a body.

        Raises:
            BodyTooLarge: If it exceeds the limit of the configuration.
            CallerGone: If the caller disconnects.
            DeadlineExceeded: If memory is limited and the body does not arrive within
                the time of its request. It takes room from others until then.
            NotAccepting: If its size was not declared and there is no room for it.
        """
        if self._held.bound is None:
            return await self._read(exchange.holding, receive)
        seconds = self._seconds(exchange=exchange)
        with anyio.move_on_after(seconds):
            return await self._read(exchange.holding, receive)
        raise DeadlineExceeded(f"the request body did not arrive within {seconds:g} s")

    async def _read(self, holding: Holding, receive: Receive) -> bytes:
        limit = self._max_bytes
        reserved = holding.size - REQUEST_BYTES
        parts: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerGone("the caller disconnected before the end of the body")
            part = message.get("body", b"")
            size += len(part)
            if size > limit:
                raise BodyTooLarge(
                    f"the request body exceeds the limit of {limit} bytes"
                )
            if size > reserved:
                holding.add_of_new_request(size=size - reserved)
                reserved = size
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    def _seconds(self, *, exchange: ForwardExchange) -> float:
        """Return the seconds that a request may take, as far as its head tells."""
        request = exchange.request
        route = self._view.route(host=request.host, path=request.path)
        seconds = UNROUTED_BODY_SECONDS if route is None else route.timeout
        if request.time_left is not None:
            seconds = min(seconds, request.time_left)
        return seconds

    @property
    def _max_bytes(self) -> int:
        limits = self._view.limits
        return DEFAULT_MAX_BODY_BYTES if limits is None else limits.max_body_bytes


def _declared_size(*, scope: Mapping[str, Any]) -> int:
    """Return the size of a body by its header, 0 if it names none."""
    for name, value in scope["headers"]:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0
