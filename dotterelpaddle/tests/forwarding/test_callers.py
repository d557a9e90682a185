"""Tests of caller connections and their limits."""

from __future__ import annotations

import socket
import time

import anyio
import pytest

from dotterelpaddle.platform.names import Header
from dotterelpaddle.standins.behaviours import FallSilent, Hang
from dotterelpaddle.tests.forwarding.harness import (
    Fleet,
    Headers,
    configuration,
    route,
    run_fleet,
    wait_until,
)

pytestmark = pytest.mark.anyio

LIMITS = {**configuration()["limits"], "headerTimeoutMs": 150, "maxHeaderBytes": 2000}

LOW_IDLE_SECONDS = 2
STANDSTILL_SECONDS = 0.3

TICK_SECONDS = 0.02
"""Resolution of the time that the kernel tells."""


async def _connect(fleet: Fleet) -> anyio.abc.SocketStream:
    address = fleet.routers[0].callers
    return await anyio.connect_tcp(address.host, address.port)


def _request(fleet: Fleet, headers: Headers | None = None) -> bytes:
    lines = [name + b": " + value for name, value in fleet.headers(headers).items()]
    return b"GET /safe/ HTTP/1.1\r\n" + b"\r\n".join(lines) + b"\r\n\r\n"


async def _read_until_closed(stream: anyio.abc.SocketStream) -> bytes:
    """Read until the router closes the connection."""
    content = b""
    with anyio.fail_after(10):
        try:
            while True:
                content += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return content


async def test_connection_serves_many_requests() -> None:
    async with run_fleet() as fleet, await _connect(fleet) as stream:
        for _ in range(3):
            await stream.send(_request(fleet))
            assert b"200 OK" in await stream.receive()


async def test_connection_with_unfinished_head_is_closed() -> None:
    async with run_fleet(limits=LIMITS) as fleet, await _connect(fleet) as stream:
        await stream.send(b"GET /safe/ HTTP/1.1\r\nhost: a")

        assert await _read_until_closed(stream) == b""


async def test_head_over_the_limit_is_refused() -> None:
    async with run_fleet(limits=LIMITS) as fleet, await _connect(fleet) as stream:
        await stream.send(b"GET /safe/ HTTP/1.1\r\nx-long: " + b"x" * 3000)

        assert (await _read_until_closed(stream)).startswith(b"HTTP/1.1 431 ")
        assert not fleet.runners["runner-1"].received


async def test_idle_connection_is_closed_at_its_limit() -> None:
    limits = {**LIMITS, "idleTimeoutMs": 150}
    async with run_fleet(limits=limits) as fleet, await _connect(fleet) as stream:
        await stream.send(_request(fleet))
        content = await _read_until_closed(stream)

    assert b"200 OK" in content


async def _responses(stream: anyio.abc.SocketStream) -> list[bytes]:
    """Return the status lines of all responses until the connection ends."""
    content = await _read_until_closed(stream)
    return [line for line in content.split(b"\r\n") if b"HTTP/1.1 " in line]


# Guards against dropping a request that came behind another one on its connection, as
# the answer before it closes the connection of a router that stops.
async def test_requests_sent_at_once_are_all_answered_by_a_stopping_router() -> None:
    async with run_fleet() as fleet, await _connect(fleet) as stream:
        fleet.routers[0].components.app.start_draining()
        await stream.send(_request(fleet) * 3)

        assert len(await _responses(stream)) == 3
    assert len(fleet.runners["runner-1"].runs) == 3


# Guards against dropping a request that comes behind a stream, whose head announced the
# end of its connection as the router stops.
async def test_request_behind_a_stream_of_a_stopping_router_is_answered() -> None:
    async with run_fleet() as fleet, await _connect(fleet) as stream:
        runner = fleet.runners["runner-1"]
        runner.pause = 0.05
        fleet.routers[0].components.app.start_draining()
        await stream.send(_request(fleet).replace(b"/safe/", b"/stream/again/x"))
        first = await stream.receive()
        await stream.send(_request(fleet))
        responses = await _responses(stream)

    assert first.startswith(b"HTTP/1.1 200")
    assert len(responses) == 1
    assert len(runner.runs) == 2


# Guards against endpoints that are told more time than is left, since a request waited
# in the kernel while its router stood still.
@pytest.mark.parametrize("used", [False, True])
async def test_time_in_the_kernel_counts_against_the_deadline(used: bool) -> None:
    async with run_fleet() as fleet:
        address = fleet.routers[0].callers
        with socket.create_connection((address.host, address.port)) as connection:
            if used:
                connection.sendall(_request(fleet))
                await anyio.to_thread.run_sync(connection.recv, 65536)
            connection.sendall(_request(fleet, {Header.TIME_LEFT_MS: b"1000"}))
            # The router runs in this process, and stands still with it.
            time.sleep(STANDSTILL_SECONDS)  # noqa: ASYNC251
            runner = fleet.runners["runner-1"]
            await wait_until(lambda: len(runner.received) == used + 1)

    time_left = int(runner.received[-1].headers[Header.TIME_LEFT_MS]) / 1000
    assert time_left <= 1.0 - STANDSTILL_SECONDS + TICK_SECONDS


# Guards against dropping it as the server closes its connections meanwhile.
async def test_requests_sent_at_once_are_all_answered_before_a_shutdown_ends() -> None:
    async with run_fleet() as fleet, await _connect(fleet) as stream:
        runner = fleet.runners["runner-1"]
        runner.plan.append(FallSilent(seconds=0.5))
        await stream.send(_request(fleet) * 2)
        await wait_until(lambda: runner.runs)
        await fleet.stack.aclose()

        assert len(await _responses(stream)) == 2


# Guards against closing connections that callers may use, as a limit that was raised
# later holds for new connections only.
async def test_raised_idle_limit_holds_for_open_connections() -> None:
    limits = {**LIMITS, "idleTimeoutMs": 1000 * LOW_IDLE_SECONDS}
    async with run_fleet(limits=limits) as fleet, await _connect(fleet) as stream:
        await stream.send(_request(fleet))
        await stream.receive()
        raised = configuration(2, limits={**LIMITS, "idleTimeoutMs": 15000})
        fleet.store.configure(configuration=raised)
        view = fleet.routers[0].components.state.view
        await wait_until(lambda: view.version == 2)
        await anyio.sleep(LOW_IDLE_SECONDS + 0.2)
        await stream.send(_request(fleet))

        assert b"200 OK" in await stream.receive()


# Guards against endpoints that work on for a caller that has left with another request
# waiting behind the first one.
async def test_caller_that_leaves_with_two_requests_ends_the_first_one() -> None:
    routes = [route("safe", "idempotent", timeoutMs=60000)]
    async with run_fleet(routes=routes) as fleet:
        runner = fleet.runners["runner-1"]
        runner.plan.append(Hang())
        async with await _connect(fleet) as stream:
            await stream.send(_request(fleet, {Header.TIME_LEFT_MS: b"60000"}) * 2)
            await wait_until(lambda: runner.runs)
        await wait_until(lambda: runner.closed_early)


# Guards against taking the rest of a body that was refused early for a request head:
# the caller's connection was closed while it still sent, and its next request lost.
async def test_rest_of_a_refused_body_does_not_count_as_a_request_head() -> None:
    limits = {**LIMITS, "headerTimeoutMs": 3000, "maxBodyBytes": 100}
    async with run_fleet(limits=limits) as fleet, await _connect(fleet) as stream:
        part = b"x" * 1000
        await stream.send(_request(fleet, {b"content-length": b"5000"}) + part)
        received = await stream.receive()
        await stream.send(part * 3)
        await anyio.sleep(0.1)
        await stream.send(part + _request(fleet, {b"connection": b"close"}))
        received += await _read_until_closed(stream)

    statuses = [each[:3] for each in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"413", b"200"]


# Guards against a request that offers another protocol: it ran without its body, and
# its body as a request of its own.
async def test_request_that_offers_an_upgrade_runs_once_with_its_body() -> None:
    async with run_fleet() as fleet, await _connect(fleet) as stream:
        runner = fleet.runners["runner-1"]
        body = _request(fleet, {b"connection": b"close"})
        headers = {
            b"connection": b"Upgrade, HTTP2-Settings",
            b"upgrade": b"h2c",
            b"content-length": str(len(body)).encode(),
        }
        await stream.send(_request(fleet, headers))
        await anyio.sleep(0.1)
        await stream.send(body + _request(fleet, {b"connection": b"close"}))
        await _read_until_closed(stream)

    assert [each.body for each in runner.runs] == [body, b""]


# Guards against a connection that stays open for good after a body that was refused.
@pytest.mark.parametrize("rest", [1000, 4000], ids=["part", "all"])
async def test_connection_is_closed_when_idle_after_a_refused_body(rest: int) -> None:
    limits = {**LIMITS, "idleTimeoutMs": 300, "maxBodyBytes": 100}
    async with run_fleet(limits=limits) as fleet, await _connect(fleet) as stream:
        head = _request(fleet, {b"content-length": b"5000"})
        await stream.send(head + b"x" * 1000)
        received = await stream.receive()
        await stream.send(b"x" * rest)
        received += await _read_until_closed(stream)

    assert received.count(b"HTTP/1.1 413 ") == received.count(b"HTTP/1.1 ") == 1
