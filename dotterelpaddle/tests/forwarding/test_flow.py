"""Tests of requests through a router, from callers' to endpoints' sockets."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.platform.names import Header
from dotterelpaddle.tests.forwarding.harness import (
    ACCOUNT,
    configuration,
    run_fleet,
    wait_until,
)

pytestmark = pytest.mark.anyio

CONNECT_SECONDS = 0.1


async def test_request_is_forwarded_unchanged() -> None:
    async with run_fleet() as fleet:
        answer = await fleet.call(
            "/unsafe/a/b?c=d", body=b"hello", headers={b"x-other": b"kept"}
        )

    (received,) = fleet.runners["runner-1"].received
    assert answer.status == 200
    assert received.method == b"POST"
    assert received.target == b"/unsafe/a/b?c=d"
    assert received.body == b"hello"
    assert received.headers[b"x-other"] == b"kept"
    assert received.headers[b"host"] == b"a.example"


async def test_answer_keeps_its_proof_of_origin() -> None:
    async with run_fleet() as fleet:
        answer = await fleet.call("/safe/")

    headers = {name.lower(): value for name, value in answer.headers}
    assert headers[Header.ORIGIN_PROOF] == b"seal"
    assert b"runner-1" in answer.content


async def test_endpoint_receives_the_account_and_not_the_key() -> None:
    async with run_fleet() as fleet:
        await fleet.call("/safe/", headers={Header.ACCOUNT: b"somebody-else"})

    (received,) = fleet.runners["runner-1"].received
    assert received.headers[Header.ACCOUNT] == ACCOUNT.encode()
    assert Header.KEY not in received.headers


async def test_endpoint_receives_its_name_and_the_time_left() -> None:
    async with run_fleet() as fleet:
        await fleet.call("/safe/", headers={Header.TIME_LEFT_MS: b"1000"})

    (received,) = fleet.runners["runner-1"].received
    assert received.headers[Header.EXPECTED_ENDPOINT] == b"runner-1"
    assert 0 < int(received.headers[Header.TIME_LEFT_MS]) <= 1000


# Guards against endpoints that are told more time than is left, since the deadline was
# worked out before the connection stood.
async def test_endpoint_is_told_the_time_left_once_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = LinkedBackend.connect_tcp

    async def connect_slowly(*args: Any, **kwargs: Any) -> Any:
        await anyio.sleep(CONNECT_SECONDS)
        return await connect(*args, **kwargs)

    async with run_fleet() as fleet:
        monkeypatch.setattr(LinkedBackend, "connect_tcp", connect_slowly)
        await fleet.call("/safe/", headers={Header.TIME_LEFT_MS: b"1000"})

    (received,) = fleet.runners["runner-1"].received
    assert int(received.headers[Header.TIME_LEFT_MS]) <= 1000 * (1 - CONNECT_SECONDS)


async def test_time_left_is_bounded_by_the_route() -> None:
    async with run_fleet() as fleet:
        await fleet.call("/safe/", headers={Header.TIME_LEFT_MS: b"60000"})

    (received,) = fleet.runners["runner-1"].received
    assert int(received.headers[Header.TIME_LEFT_MS]) <= 2000


@pytest.mark.parametrize(
    "header",
    [
        Header.RESERVATION,
        Header.PIN_MS,
        Header.BACKUP,
        Header.MOVED_FROM,
        Header.FETCH_FROM,
        Header.PRIORITY,
        Header.EXPECTED_VERSION,
    ],
)
async def test_router_only_headers_are_not_forwarded(header: bytes) -> None:
    async with run_fleet() as fleet:
        await fleet.call("/safe/", headers={header: b"1"})

    (received,) = fleet.runners["runner-1"].received
    assert header not in received.headers


async def test_hop_by_hop_headers_are_not_forwarded() -> None:
    headers = {b"connection": b"x-hop", b"x-hop": b"1", b"te": b"trailers"}

    async with run_fleet() as fleet:
        await fleet.call("/safe/", headers=headers)

    (received,) = fleet.runners["runner-1"].received
    assert not {b"connection", b"x-hop", b"te"} & received.headers.keys()


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/safe/", {b"host": b"b.example"}, 404),
        ("/safe/", {Header.KEY: b"unknown"}, 401),
        ("/safe/", {Header.KEY: b""}, 401),
        ("/open/", {Header.KEY: b"unknown"}, 200),
        ("/safe/", {Header.REQUEST_ID: b""}, 400),
        ("/safe/", {Header.TIME_LEFT_MS: b"soon"}, 400),
    ],
)
async def test_requests_are_checked_before_forwarding(
    path: str, headers: dict[bytes, bytes], status: int
) -> None:
    async with run_fleet() as fleet:
        answer = await fleet.call(path, headers=headers)

    assert answer.status == status
    assert len(fleet.runners["runner-1"].received) == (status == 200)


async def test_body_over_the_limit_is_refused() -> None:
    async with run_fleet() as fleet:
        answer = await fleet.call("/unsafe/", body=b"x" * 65537)

    assert answer.status == 413
    assert not fleet.runners["runner-1"].received


async def test_longest_prefix_selects_the_route() -> None:
    async with run_fleet() as fleet:
        answer = await fleet.call("/stream/again/x")

    assert answer.content.count(b"id: ") == 5


async def test_events_arrive_complete_and_in_order() -> None:
    async with run_fleet() as fleet:
        answer = await fleet.call("/stream/x")

    events = [b"id: %d\ndata: e%d v1\n\n" % (number, number) for number in range(1, 6)]
    assert answer.content == b"".join(events)


async def test_callers_last_event_id_is_forwarded() -> None:
    async with run_fleet() as fleet:
        answer = await fleet.call(
            "/stream/again/x", headers={Header.LAST_EVENT_ID: b"3"}
        )

    assert answer.content.startswith(b"id: 4\n")


async def test_split_route_uses_all_its_services() -> None:
    async with run_fleet() as fleet:
        view = fleet.routers[0].components.state.view
        await fleet.add_runner("other-1", service="other")
        await wait_until(lambda: len(view.entries) == 2)
        split = [
            {"service": "records", "weight": 50},
            {"service": "other", "weight": 50},
        ]
        changed = {
            **configuration(version=2),
            "routes": [
                {**route, "trafficSplit": split}
                for route in configuration(version=2)["routes"]
            ],
        }
        fleet.store.configure(configuration=changed)
        await wait_until(lambda: view.version == 2)
        for _ in range(40):
            await fleet.call("/safe/")

    assert fleet.runners["runner-1"].runs
    assert fleet.runners["other-1"].runs
