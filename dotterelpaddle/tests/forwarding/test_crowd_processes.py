"""Memory of a real router process beside clients that do not behave.

Guards against this incident: clients sent requests of legal size made of very many
header lines, trailers without end, and many bodies that stop short of their end, and a
process ran out of memory. Each test has a process with little memory and a small crowd,
and checks that the process lives within its memory and answers an ordinary request.
"""

from __future__ import annotations

import os
import random
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import TYPE_CHECKING

import anyio
import httpcore
import pytest

from dotterelpaddle.platform.names import Header
from dotterelpaddle.standins.behaviours import FallSilent
from dotterelpaddle.tests.forwarding.crowd import (
    KB,
    PATH,
    Client,
    head,
    open_descriptors,
    peak_memory,
    send_crowd,
)
from dotterelpaddle.tests.forwarding.harness import HOST, KEY, configuration
from dotterelpaddle.tests.forwarding.versions_world import VersionsWorld, run_world

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

SOURCE = os.environ.get("CROWD_SOURCE", "")
MEMORY_MB = 100
BYTES_PER_MB = 1_000_000
HEAD_BYTES, BODY_BYTES = 16 * KB, 1024 * KB
MAX_OTHER_DESCRIPTORS = 40
"""Descriptors of a process beside those of the crowd."""

CROWD_SECONDS = 8.0
WAVE, WAVES, WAVE_SECONDS = 1200, 6, 2.5
"""Connections at a time, how often they come, and how long they stay."""

MAX_GROWTH_MB = 24
"""Growth of the memory from the first to the last wave: an eighth of the memory, after
which garbage is collected, and as much for what the collector leaves."""

ANSWER_LIMIT_SECONDS = 30.0
"""Seconds after which a request that is always refused counts as not answered."""

LINE = b"a:\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
ONE_MISSING = b"Content-Length: 1\r\n"
BODY_LENGTH = b"Content-Length: %d\r\n" % BODY_BYTES


def _lines(line: bytes, *, fields: bytes = ONE_MISSING, end: bytes = b"\r\n") -> bytes:
    return head(fields=fields, fill=line, size=HEAD_BYTES - 64, end=end)


CROWDS = {
    "trailers without end": [
        Client(
            start=head(fields=CHUNKED) + b"5\r\nhello\r\n0\r\n",
            repeated=LINE,
            size=size,
        )
        for size in 4 * [16 * 1024 * KB]
    ],
    "a trailer line without end": 4
    * [
        Client(
            start=head(fields=CHUNKED) + b"5\r\nhello\r\n0\r\nt: ",
            repeated=b"x" * KB,
            size=32 * 1024 * KB,
        )
    ],
    "heads of many lines": 150 * [Client(start=_lines(LINE))],
    "heads of many odd lines": 150 * [Client(start=_lines(b"b: \t c\r\n"))],
    "heads of many lines without end": 150 * [Client(start=_lines(LINE, end=b""))],
    "many such requests one behind the other": 16
    * [Client(start=30 * _lines(LINE, fields=b"Content-Length: 0\r\n"))],
    "bodies that lack a byte": 60
    * [Client(start=head(fields=BODY_LENGTH) + bytes(BODY_BYTES - 1))],
    "bodies in chunks of one byte": 20
    * [Client(start=head(fields=CHUNKED), repeated=b"1\r\nx\r\n", size=2 * 1024 * KB)],
}


# Guards against processes that are killed because clients make them hold more than
# their host has, and that answer nobody else any more.
@pytest.mark.parametrize("crowd", CROWDS)
async def test_crowd_leaves_a_process_alive_and_within_its_memory(
    crowd: str, tmp_path: Path
) -> None:
    clients = CROWDS[crowd]
    async with _run_one_router(tmp_path) as world:
        router = world.routers[0]
        process = router.process
        assert process is not None
        with anyio.move_on_after(CROWD_SECONDS):
            await send_crowd(clients=clients, address=router.callers)
        descriptors = open_descriptors(pid=process.pid)
        status = await _ordinary_request(world)
        peak = peak_memory(pid=process.pid) / BYTES_PER_MB
        print("crowd", crowd, "peak", peak, "descriptors", descriptors, status)

        assert process.poll() is None
        assert peak < MEMORY_MB
        assert descriptors <= len(clients) + MAX_OTHER_DESCRIPTORS
        assert status == 200


# Guards against processes that are killed as connections that are closed stay in memory
# until a collection of garbage that does not come: 16 KB each, or 300 MB after 15,800.
async def test_closed_connections_leave_no_memory(tmp_path: Path) -> None:
    upload = Client(start=head(fields=BODY_LENGTH) + bytes(KB))
    async with _run_one_router(tmp_path) as world:
        router = world.routers[0]
        process = router.process
        assert process is not None
        peaks = []
        for _ in range(WAVES):
            with anyio.move_on_after(WAVE_SECONDS):
                await send_crowd(clients=WAVE * [upload], address=router.callers)
            peaks.append(peak_memory(pid=process.pid) / BYTES_PER_MB)
        print("peaks", peaks)

        assert peaks[-1] - peaks[0] < MAX_GROWTH_MB
        assert await _ordinary_request(world) == 200


# Guards against refusing in calm what the limits of the configuration allow.
@pytest.mark.parametrize(
    "request_bytes",
    [
        pytest.param(_lines(LINE, fields=b"Content-Length: 0\r\n"), id="many-lines"),
        pytest.param(
            head(fields=CHUNKED) + b"5\r\nhello\r\n0\r\n" + 100 * LINE + b"\r\n",
            id="trailers",
        ),
    ],
)
async def test_single_request_within_the_limits_is_served(
    request_bytes: bytes, tmp_path: Path
) -> None:
    async with _run_one_router(tmp_path) as world:
        address = world.routers[0].callers
        stream = await anyio.connect_tcp(address.host, address.port)
        async with stream:
            await stream.send(request_bytes)
            with anyio.fail_after(ANSWER_LIMIT_SECONDS):
                answer = await stream.receive()

    assert answer.startswith(b"HTTP/1.1 200 ")


# Guards against cutting off the answer to a request that has run, as too much comes
# behind it on its connection.
async def test_request_before_a_refused_one_gets_its_answer(tmp_path: Path) -> None:
    async with _run_one_router(tmp_path) as world:
        address = world.routers[0].callers
        world.runners[0].plan.append(FallSilent(seconds=0.5))
        stream = await anyio.connect_tcp(address.host, address.port)
        async with stream:
            await stream.send(head(fields=b"Content-Length: 0\r\n"))
            await anyio.sleep(0.1)
            await stream.send(b"GET /")
            for _ in range(16):
                await stream.send(b"x" * HEAD_BYTES)
            received = b""
            with anyio.fail_after(ANSWER_LIMIT_SECONDS), suppress(anyio.EndOfStream):
                while b"}" not in received:
                    received += await stream.receive()

    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"}")


# Guards against a request that waits and loses its headers, as too much that is no
# head comes behind it.
async def test_request_that_waits_before_refused_bytes_is_served(
    tmp_path: Path,
) -> None:
    request_bytes = head(fields=b"Content-Length: 0\r\n")
    async with _run_one_router(tmp_path) as world:
        address = world.routers[0].callers
        world.runners[0].plan.append(FallSilent(seconds=0.5))
        stream = await anyio.connect_tcp(address.host, address.port)
        async with stream:
            await stream.send(2 * request_bytes + 2 * HEAD_BYTES * b"\r\n")
            await stream.send(2 * HEAD_BYTES * b"\r\n")
            received = b""
            with anyio.fail_after(ANSWER_LIMIT_SECONDS), suppress(anyio.EndOfStream):
                while True:
                    received += await stream.receive()

    assert received.count(b"HTTP/1.1 200 ") == 2


@asynccontextmanager
async def _run_one_router(directory: Path) -> AsyncIterator[VersionsWorld]:
    """Run a router process with little memory before one endpoint."""
    make = partial(VersionsWorld, directory=directory, generator=random.Random(1))
    async with run_world(make=make) as world:
        limits = {
            **configuration()["limits"],
            "maxHeaderBytes": HEAD_BYTES,
            "maxBodyBytes": BODY_BYTES,
        }
        world.store.configure(configuration=configuration(limits=limits))
        await world.add_runner("v1")
        router = world.add_router(source=SOURCE)
        router.options = {"memory_mb": MEMORY_MB}
        await world.start_all(first_start=True)
        yield world


async def _ordinary_request(world: VersionsWorld) -> int:
    """Return the status of a request, sent again as long as it is refused."""
    url = f"http://{world.routers[0].callers}{PATH}"
    headers = {
        b"host": HOST.encode(),
        Header.KEY: KEY.encode(),
        Header.TIME_LEFT_MS: b"2000",
    }
    status = 0
    with anyio.move_on_after(ANSWER_LIMIT_SECONDS):
        while status != 200:
            headers[Header.REQUEST_ID] = b"ordinary-%d" % random.getrandbits(32)
            try:
                async with httpcore.AsyncConnectionPool() as http:
                    answer = await http.request(
                        "POST", url, headers=list(headers.items())
                    )
                    status = answer.status
            except (httpcore.NetworkError, httpcore.ProtocolError):
                status = 0
            await anyio.sleep(0.1)
    return status
