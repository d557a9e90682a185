"""Calls that wait for their replies."""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import ControlError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.control.envelope import Item

CALL_BITS = 32
"""Size of a call's number on the wire."""


class PendingCall:
    """A call that waits for its reply.

    Args:
        number: Matches the reply to the call.
        peer: Who has to reply.
    """

    def __init__(self, *, number: int, peer: Address) -> None:
        self._number = number
        self._peer = peer
        self._reply: Item | None = None
        self._done = anyio.Event()

    @property
    def number(self) -> int:
        """Matches the reply to the call."""
        return self._number

    @property
    def peer(self) -> Address:
        """Who has to reply."""
        return self._peer

    def complete(self, *, reply: Item) -> None:
        """Take the reply."""
        self._reply = reply
        self._done.set()

    async def wait(self, *, timeout: float) -> Item:
        """Wait for the reply.

        Raises:
            ControlError: If none came in time.
        """
        with anyio.move_on_after(timeout):
            await self._done.wait()
        if self._reply is None:
            raise ControlError(f"no reply within {timeout:.3f} s", peer=str(self._peer))
        return self._reply


class PendingCalls:
    """The calls of a channel; their numbers start at random.

    A reply meant for an earlier process at the same address then matches none.
    """

    def __init__(self) -> None:
        self._calls: dict[int, PendingCall] = {}
        self._next = secrets.randbits(CALL_BITS)

    @contextmanager
    def open(self, *, peer: Address) -> Iterator[PendingCall]:
        """Open a call; a reply that comes after the context is dropped."""
        self._next = (self._next + 1) % (1 << CALL_BITS)
        call = PendingCall(number=self._next, peer=peer)
        self._calls[call.number] = call
        try:
            yield call
        finally:
            del self._calls[call.number]

    def complete(self, *, peer: Address, reply: Item) -> bool:
        """Give a reply to its call.

        Returns:
            False if no call to this peer waits for it.
        """
        call = self._calls.get(reply.call)
        if call is None or call.peer != peer:
            return False
        call.complete(reply=reply)
        return True
