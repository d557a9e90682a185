from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import anyio
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.clock import monotonic
from dotterelpaddle.control.channel import open_channel
from dotterelpaddle.control.interface import MessageType, TrafficClass
from dotterelpaddle.control.traffic import Drop
from dotterelpaddle.exceptions import BudgetSpent, ControlError
from dotterelpaddle.links import Links
from dotterelpaddle.metrics import Metrics

pytestmark = pytest.mark.anyio

KEY = b"k" * 32
LIMIT = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Note:
    text: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Bulk:
    text: bytes


NOTE = MessageType(
    code=900,
    message=Note,
    traffic=TrafficClass.PERMIT,
    encode=lambda note: note.text,
    decode=lambda body: Note(text=body),
)
BULK = MessageType(
    code=901,
    message=Bulk,
    traffic=TrafficClass.LOAD,
    encode=lambda bulk: bulk.text,
    decode=lambda body: Bulk(text=body),
)


@asynccontextmanager
async def channels(
    count: int = 2, *, keys=None, links=None, accepted_keys=(), rate=1e6
):
    async with AsyncExitStack() as stack:
        opened = []
        for index in range(count):
            channel = await stack.enter_async_context(
                open_channel(
                    address=Address(host="127.0.0.1", port=0),
                    key=keys[index] if keys else KEY,
                    accepted_keys=accepted_keys,
                    bytes_per_second=rate,
                    links=(links or {}).get(index, Links()),
                    metrics=Metrics(),
                    clock=monotonic,
                )
            )
            channel.register(message_type=NOTE)
            channel.register(message_type=BULK)
            opened.append(channel)
        yield opened


async def until(condition) -> None:
    with anyio.fail_after(LIMIT):
        while not condition():
            await anyio.sleep(0.005)


async def echo(message, peer):
    return message


async def test_messages_share_a_datagram_and_keep_their_order():
    async with channels() as (a, b):
        got = []
        b.subscribe(message=Note, handler=lambda note, peer: got.append((note, peer)))
        for index in range(20):
            assert a.send(peer=b.address, message=Note(text=b"%d" % index))
        await until(lambda: len(got) == 20)
        assert [note.text for note, _ in got] == [b"%d" % i for i in range(20)]
        assert {peer for _, peer in got} == {a.address}
        assert a.traffic.datagrams_sent == 1


async def test_call_and_fetch_bring_replies():
    async with channels() as (a, b):
        b.serve(message=Note, handler=echo)
        b.serve(message=Bulk, handler=echo)
        note = Note(text=b"x")
        assert await a.call(peer=b.address, message=note, timeout=LIMIT) == note
        bulk = Bulk(text=bytes(range(256)) * 500)
        assert await a.fetch(peer=b.address, message=bulk, timeout=LIMIT) == bulk


async def test_call_to_a_failing_handler_fails_at_once():
    async def fail(message, peer):
        raise ValueError("broken")

    async with channels() as (a, b):
        b.serve(message=Note, handler=fail)
        with pytest.raises(ControlError, match="broken"):
            await a.call(peer=b.address, message=Note(text=b"x"), timeout=LIMIT)
        with pytest.raises(ControlError, match="nothing serves"):
            await a.fetch(peer=b.address, message=Bulk(text=b"x"), timeout=LIMIT)


async def test_late_reply_is_dropped():
    release = anyio.Event()

    async def wait(message, peer):
        await release.wait()
        return message

    async with channels() as (a, b):
        b.serve(message=Note, handler=wait)
        with pytest.raises(ControlError, match="no reply"):
            await a.call(peer=b.address, message=Note(text=b"x"), timeout=0.02)
        release.set()
        await until(lambda: a.traffic.dropped[Drop.LATE_REPLY] == 1)


async def test_another_key_is_refused_and_an_accepted_one_is_not():
    other = b"o" * 32
    async with channels(keys=[KEY, other]) as (a, b):
        b.serve(message=Bulk, handler=echo)
        assert a.send(peer=b.address, message=Note(text=b"x"))
        await until(lambda: b.traffic.dropped[Drop.FORGED] == 1)
        with pytest.raises(ControlError):
            await a.fetch(peer=b.address, message=Bulk(text=b"x"), timeout=LIMIT)
    async with channels(keys=[KEY, other], accepted_keys=(KEY, other)) as (a, b):
        b.serve(message=Note, handler=echo)
        await a.call(peer=b.address, message=Note(text=b"x"), timeout=LIMIT)


async def test_rubbish_and_replayed_datagrams_do_not_stop_the_channel():
    async with channels() as (a, b):
        got = []
        b.subscribe(message=Note, handler=lambda note, peer: got.append(note))
        forger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with forger:
            target = (b.address.host, b.address.port)
            sealed = a._sender._authenticator.seal(content=b"\xff" * 40)
            for content in (b"", b"short", b"\x00" * 1400, sealed):
                forger.sendto(content, target)
            await until(lambda: b.traffic.dropped[Drop.MALFORMED] == 1)
        assert b.traffic.dropped[Drop.FORGED] == 3
        a.send(peer=b.address, message=Note(text=b"x"))
        await until(lambda: len(got) == 1)
        a._sender._sequence -= 1
        a.send(peer=b.address, message=Note(text=b"x"))
        await until(lambda: b.traffic.dropped[Drop.REPLAYED] == 1)
        assert len(got) == 1


async def test_failing_decoder_and_handler_are_counted():
    async with channels() as (a, b):
        broken = MessageType(
            code=NOTE.code,
            message=Note,
            traffic=TrafficClass.PERMIT,
            encode=NOTE.encode,
            decode=lambda body: Note(text=body.decode("ascii").encode()),
        )
        b.register(message_type=broken)
        b.subscribe(message=Note, handler=lambda note, peer: 1 / 0)
        a.send(peer=b.address, message=Note(text=b"\xff"))
        a.send(peer=b.address, message=Note(text=b"x"))
        await until(lambda: b.traffic.dropped[Drop.HANDLER_FAILED] == 1)
        assert b.traffic.dropped[Drop.MALFORMED] == 1


async def test_cut_link_is_silent_in_both_directions():
    links = Links()
    async with channels(links={0: links}) as (a, b):
        for channel in (a, b):
            channel.serve(message=Note, handler=echo)
            channel.serve(message=Bulk, handler=echo)
        links.cut(peers=frozenset({b.address}))
        for source, target in ((a, b), (b, a)):
            with pytest.raises(ControlError, match="no reply"):
                await source.call(
                    peer=target.address, message=Note(text=b"x"), timeout=0.05
                )
            with pytest.raises(ControlError, match="no reply"):
                await source.fetch(
                    peer=target.address, message=Bulk(text=b"x"), timeout=0.05
                )
        links.heal()
        await b.call(peer=a.address, message=Note(text=b"x"), timeout=LIMIT)


async def test_spent_budget_refuses_the_lowest_class_first():
    async with channels(rate=1000.0) as (a, b):
        a.serve(message=Note, handler=echo)
        load = Bulk(text=b"y" * 500)
        while a.send(peer=b.address, message=load):
            pass
        assert a.traffic.refused[TrafficClass.LOAD] == 1
        assert a.send(peer=b.address, message=Note(text=b"x" * 500))
        while a.send(peer=b.address, message=Note(text=b"x" * 500)):
            pass
        with pytest.raises(BudgetSpent):
            await a.call(peer=b.address, message=Note(text=b"x" * 500), timeout=LIMIT)
        with pytest.raises(ControlError, match="fetch it over TCP"):
            a.send(peer=b.address, message=Note(text=b"x" * 1300))


async def test_unreachable_peer_fails_the_fetch():
    async with channels() as (a, b):
        gone = Address(host="127.0.0.1", port=1)
        with pytest.raises(ControlError):
            await a.fetch(peer=gone, message=Bulk(text=b"x"), timeout=LIMIT)


async def test_connection_that_comes_as_a_channel_is_cancelled_is_no_error():
    """The end and the connection fall into one turn of the loop, the end first."""
    loop = asyncio.get_running_loop()
    errors: list[dict[str, object]] = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    with anyio.CancelScope() as scope:
        async with open_channel(
            address=Address(host="127.0.0.1", port=0),
            key=KEY,
            bytes_per_second=1e6,
            links=Links(),
            metrics=Metrics(),
            clock=monotonic,
        ) as channel:
            await anyio.wait_all_tasks_blocked()
            with socket.create_connection((channel.address.host, channel.address.port)):
                loop.call_soon(scope.cancel)
                await anyio.sleep_forever()
    await anyio.wait_all_tasks_blocked()

    assert scope.cancelled_caught
    assert errors == []
