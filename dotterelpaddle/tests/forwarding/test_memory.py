"""Tests of a router with limited memory whose callers or endpoints are slow."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding import call
from dotterelpaddle.memory.bounds import HELD_SHARE, IDLE_PROCESS_BYTES
from dotterelpaddle.platform.names import Header, Table
from dotterelpaddle.standins.behaviours import Endless, Hang
from dotterelpaddle.standins.runner import RunnerStandin
from dotterelpaddle.tests.forwarding.harness import (
    SERVICE,
    Fleet,
    configuration,
    route,
    run_fleet,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.memory.held_bytes import HeldBytes

pytestmark = pytest.mark.anyio

BOUND = 14_000_000
LIMIT = round(IDLE_PROCESS_BYTES + BOUND / HELD_SHARE)

ANSWER_BYTES = 8_000_000
"""More than the sockets of both ends take."""

BODY_BYTES = 3_000_000
HEAD = b"HTTP/1.1 200 OK\r\nx-dotterelpaddle-attempt-id: REQUEST_ID\r\n"
SEAL = Header.ORIGIN_PROOF + b": s\r\n"
LARGE = Endless(
    beginning=HEAD + SEAL + b"content-length: %d\r\n\r\n" % ANSWER_BYTES,
    chunk=b"x" * 16000,
)
CHUNKED = HEAD + SEAL + b"transfer-encoding: chunked\r\n\r\n"
EVENTS = Endless(
    beginning=HEAD + SEAL + b"connection: close\r\n\r\n",
    chunk=b"id: 1\ndata: %s\n\n" % (b"x" * 16000),
)


@asynccontextmanager
async def _run(*, runners: int = 1, **limits: Any) -> AsyncIterator[Fleet]:
    routes = [
        route("safe", "idempotent", timeoutMs=60000),
        route("brief", "idempotent", timeoutMs=700),
        route("stream", "stream", timeoutMs=60000),
    ]
    limits = {**configuration()["limits"], "maxBodyBytes": 4_000_000, **limits}
    async with run_fleet(
        runners=runners, routers=0, routes=routes, limits=limits
    ) as fleet:
        router = await fleet.add_router(memory_limit=LIMIT)
        await wait_until(lambda: router.components.app.ready)
        yield fleet


async def _register(fleet: Fleet, *, port: int) -> None:
    """Register an endpoint that listens on a port of this host."""
    entry = RunnerStandin(name="slow").entry(
        address=Address(host="127.0.0.1", port=port), service=SERVICE
    )
    fleet.store.put(table=Table.ENDPOINTS, key="slow", value=entry)
    view = fleet.routers[0].components.state.view
    await wait_until(lambda: view.entries)


def _held(fleet: Fleet) -> HeldBytes:
    return fleet.routers[0].components.state.held


async def _send(
    fleet: Fleet, path: bytes, body: bytes = b"", length: int | None = None
) -> anyio.abc.SocketStream:
    """Send a request as a caller with a small receive buffer."""
    address = fleet.routers[0].callers
    stream = await anyio.connect_tcp(address.host, address.port)
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    headers = fleet.headers({Header.TIME_LEFT_MS: b"60000"})
    headers[b"content-length"] = b"%d" % (len(body) if length is None else length)
    lines = [name + b": " + value for name, value in headers.items()]
    head = b"POST " + path + b" HTTP/1.1\r\n" + b"\r\n".join(lines) + b"\r\n\r\n"
    await stream.send(head + body)
    return stream


async def _read(stream: anyio.abc.SocketStream, size: int) -> bytes:
    content = b""
    with anyio.fail_after(10):
        while len(content) < size:
            content += await stream.receive()
    return content


async def _read_answer(stream: anyio.abc.SocketStream, answers: list[int]) -> None:
    """Read an answer; record the size of its body, or 503 if it was refused."""
    async with stream:
        content = await stream.receive()
        if content.startswith(b"HTTP/1.1 503 "):
            answers.append(503)
            return
        head, _, body = content.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        answers.append(len(body) + len(await _read(stream, ANSWER_BYTES - len(body))))


# Guards against answers that pile up in memory, and against new requests that are let
# in, hang or are said to have run while many callers don't read.
async def test_callers_that_stop_reading_fill_the_bound_and_no_more() -> None:
    async with _run() as fleet:
        runner, held = fleet.runners["runner-1"], _held(fleet)
        runner.plan.extend([LARGE] * 6)
        answers: list[int] = []
        callers = [await _send(fleet, b"/safe/") for _ in range(6)]
        await wait_until(lambda: held.held > BOUND * 3 / 4)

        late = {Header.REQUEST_ID: b"late"}
        refused = await fleet.call("/safe/", body=b"x" * 30000, headers=late)
        assert refused.status == 503
        assert 0 < float(dict(refused.headers)[b"retry-after"]) < 1
        assert b"memory allows" in refused.content
        assert b"late" not in [each.request_id for each in runner.received]
        assert held.held < BOUND + ANSWER_BYTES

        # One after the other reads on, and gets all of its answer.
        async with anyio.create_task_group() as tasks:
            for caller in callers:
                tasks.start_soon(_read_answer, caller, answers)
        assert answers.count(ANSWER_BYTES) >= 2
        assert set(answers) <= {ANSWER_BYTES, 503}
        await wait_until(lambda: held.held < BOUND / 10)
        assert (await fleet.call("/safe/")).status == 200


# Guards against a router that reads on from the endpoint of a stream nobody reads.
async def test_caller_that_stops_reading_a_stream_stops_its_endpoint() -> None:
    async with _run() as fleet:
        runner, held = fleet.runners["runner-1"], _held(fleet)
        runner.plan.append(EVENTS)
        caller = await _send(fleet, b"/stream/")
        sent = -1
        with anyio.fail_after(10):
            while sent < runner.endless_bytes:
                sent = runner.endless_bytes
                await anyio.sleep(0.3)
        assert 0 < held.held < 1_000_000
        assert (await fleet.call("/safe/")).status == 200

        await _read(caller, 4_000_000)
        await wait_until(lambda: runner.endless_bytes > sent)
        await caller.aclose()
        await wait_until(lambda: held.held < 100_000)


# Guards against an endpoint that gets no more work from anybody because it has cut off
# an answer that one caller did not read.
async def test_endpoint_that_cuts_off_an_unread_answer_stays_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(call, "MIN_UNREAD_SECONDS", 0.2)
    cut = anyio.Event()

    async def answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            request = b""
            with suppress(anyio.EndOfStream):
                request = await stream.receive()
            if not request:
                return  # The router only looked whether it still listens.
            number = request.split(Header.REQUEST_ID + b": ")[1].split(b"\r\n")[0]
            await stream.send(CHUNKED.replace(b"REQUEST_ID", number))
            event = b"id: 1\ndata: %s\n\n" % (b"x" * 16000)
            with anyio.CancelScope() as scope:
                while True:
                    scope.deadline = anyio.current_time() + 0.4
                    await stream.send(b"%x\r\n%s\r\n" % (len(event), event))
        cut.set()

    async with (
        _run(runners=0) as fleet,
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, answer)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await _register(fleet, port=port)
        state = fleet.routers[0].components.state
        caller = await _send(fleet, b"/stream/")
        await cut.wait()
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await _read(caller, 100_000_000)

        assert state.health.usable(entries=state.view.entries) == [*state.view.entries]
        await caller.aclose()
        tasks.cancel_scope.cancel()


# Guards against connections that are kept for good with the rest of an answer.
async def test_connection_whose_finished_answer_stays_unread_is_reset() -> None:
    async with _run(idleTimeoutMs=300) as fleet:
        runner, held = fleet.runners["runner-1"], _held(fleet)
        runner.plan.append(LARGE)
        caller = await _send(fleet, b"/brief/")
        await wait_until(lambda: held.held > ANSWER_BYTES / 2)
        await wait_until(lambda: held.held == 0)
        assert fleet.routers[0].components.app.in_flight == 0
        await caller.aclose()


# Guards against callers that keep others out for good with bodies that never arrive,
# and against bodies that are read in vain once the bound is reached.
async def test_bodies_that_arrive_slowly_are_given_up_in_time() -> None:
    async with _run() as fleet:
        held = _held(fleet)
        slow = [
            await _send(fleet, b"/brief/", b"x" * 100, length=BODY_BYTES)
            for _ in range(3)
        ]
        await wait_until(lambda: held.held > 3 * BODY_BYTES)
        late = await _send(fleet, b"/safe/", length=BODY_BYTES)
        assert b" 503 " in await _read(late, 12)

        for caller in slow:
            assert b" 503 " in await _read(caller, 12)
        assert not fleet.runners["runner-1"].received
        assert (await fleet.call("/safe/", body=b"x" * BODY_BYTES)).status == 200
        for caller in (late, *slow):
            await caller.aclose()


# Guards against a router that takes further requests from callers without bound while
# their endpoint reads nothing, and that keeps their bodies after their deadline.
async def test_endpoint_that_stops_reading_stops_its_callers() -> None:
    async with _run(runners=0) as fleet:
        # Nothing accepts its connections, so nothing reads them.
        listener = fleet.stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        await _register(fleet, port=port)
        app, held = fleet.routers[0].components.app, _held(fleet)
        caller = await _send(fleet, b"/brief/", b"x" * BODY_BYTES)
        await wait_until(lambda: held.held > BODY_BYTES)
        with anyio.move_on_after(0.4) as scope:
            head = b"POST /safe/ HTTP/1.1\r\ncontent-length: 20000000\r\n\r\n"
            await caller.send(head + b"x" * 20_000_000)
        assert scope.cancelled_caught
        assert held.held < 2 * BODY_BYTES

        await wait_until(lambda: not app.in_flight)
        assert b" 50" in await _read(caller, 12)
        await caller.aclose()
        await wait_until(lambda: held.held == 0)


# Guards against thousands of short requests on one connection, of which one read brings
# so many that they take more than the bodies that are counted.
async def test_requests_that_wait_on_a_connection_count() -> None:
    async with _run() as fleet:
        runner, held = fleet.runners["runner-1"], _held(fleet)
        runner.plan.append(Hang())
        caller = await _send(fleet, b"/brief/")
        await wait_until(lambda: runner.runs)
        await caller.send(b"GET / HTTP/1.1\r\n\r\n" * 5000)
        await wait_until(lambda: held.held > 5_000_000)
        await caller.aclose()
        await wait_until(lambda: held.held == 0)
