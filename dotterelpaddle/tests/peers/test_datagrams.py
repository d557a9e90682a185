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
LIMIT = 10.0
"""Seconds after which a wait fails."""


async def test_datagrams_come_with_their_sender() -> None:
    links = Links()
    async with (
        open_datagram_socket(address=ANYWHERE, links=links) as one,
        open_datagram_socket(address=ANYWHERE, links=links) as other,
    ):
        await one.send(b"first", other.address)
        await one.send(b"second", other.address)
        with anyio.fail_after(LIMIT):
            received = [await other.receive(), await other.receive()]

    assert received == [(b"first", one.address), (b"second", one.address)]


async def test_reader_that_waits_can_be_cancelled() -> None:
    """Guards against a router that never ends because it listens."""
    async with open_datagram_socket(address=ANYWHERE, links=Links()) as datagrams:
        with anyio.move_on_after(0.01) as scope:
            await datagrams.receive()

    assert scope.cancelled_caught


async def test_flood_that_nobody_reads_does_not_grow_without_end() -> None:
    """Guards against a frozen router that runs out of memory when it wakes."""
    inbox = _ReceiveQueue()
    for number in range(MAX_QUEUED_DATAGRAMS + 5):
        inbox.datagram_received(b"%d" % number, ("127.0.0.1", 1))

    datagram, _ = await inbox.receive()
    assert datagram == b"5"
