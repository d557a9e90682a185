"""The socket for datagrams between routers."""

from __future__ import annotations

import anyio
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.links import Links
from dotterelpaddle.peers.datagrams import (
    MAX_QUEUED_DATAGRAMS,
    _ReceiveQueue,
    open_datagram_socket,
)

pytestmark = pytest.mark.anyio

ANYWHERE = Address(host="127.0.0.1", port=0)
TIMEOUT_SECONDS = 10.0
"""Timeout of a wait."""


async def test_receive_returns_datagrams_with_their_sender() -> None:
    links = Links()
    async with (
        open_datagram_socket(address=ANYWHERE, links=links) as sender,
        open_datagram_socket(address=ANYWHERE, links=links) as receiver,
    ):
        await sender.send(b"first", receiver.address)
        await sender.send(b"second", receiver.address)
        with anyio.fail_after(TIMEOUT_SECONDS):
            received = [await receiver.receive(), await receiver.receive()]

    assert received == [(b"first", sender.address), (b"second", sender.address)]


async def test_waiting_receiver_can_be_cancelled() -> None:
    """Guards against a router that can't stop while it waits for a datagram."""
    async with open_datagram_socket(address=ANYWHERE, links=Links()) as receiver:
        with anyio.move_on_after(0.01) as scope:
            await receiver.receive()

    assert scope.cancelled_caught


async def test_queue_of_unread_datagrams_is_bounded() -> None:
    """Guards against a suspended router that runs out of memory when it resumes."""
    queue = _ReceiveQueue()
    for number in range(MAX_QUEUED_DATAGRAMS + 5):
        queue.datagram_received(b"%d" % number, ("127.0.0.1", 1))

    datagram, _ = await queue.receive()
    assert datagram == b"5"
