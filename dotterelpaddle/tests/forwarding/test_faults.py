"""Tests of the answers to callers when endpoints fail, by kind of route."""

from __future__ import annotations

from collections import deque
from typing import Any

import anyio
import httpcore
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.platform.names import Header, Table
from dotterelpaddle.standins.runner import (
    Behaviour,
    CutAnswer,
    ExtraAnswer,
    Fail,
    Foreign,
    Garbage,
    Hang,
    LoseAnswer,
    Refuse,
    Serve,
    Unframed,
    Unsealed,
    WrongEndpoint,
)
from dotterelpaddle.tests.forwarding.harness import Fleet, route, run_fleet, wait_until

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

MAY_HAVE_RUN = [
    Fail(),
    CutAnswer(),
    LoseAnswer(),
    Garbage(),
    Foreign(),
    Foreign(request_id=b""),
    Unsealed(),
]
HAS_NOT_RUN = [Refuse(), Refuse(status=429), WrongEndpoint()]
CLOSED = Address(host="127.0.0.1", port=1)
SLOW_CONNECT = 0.3
"""Seconds that a busy host takes to accept a connection."""
EVENTS = b"".join(b"id: %d\ndata: e%d v1\n\n" % (n, n) for n in range(1, 6))


def _runs(fleet: Fleet) -> int:
    return sum(len(runner.runs) for runner in fleet.runners.values())


def _received(fleet: Fleet) -> int:
    return sum(len(runner.received) for runner in fleet.runners.values())


def _plan_first(fleet: Fleet, *behaviours: Behaviour) -> None:
    """Plan these behaviours for the next requests, whichever endpoints receive them.

    Endpoints serve all later requests normally.
    """
    shared = deque(behaviours)
    for runner in fleet.runners.values():
        runner.plan = shared


@pytest.mark.parametrize("fault", MAY_HAVE_RUN + HAS_NOT_RUN, ids=repr)
async def test_idempotent_request_is_retried_elsewhere(fault: Behaviour) -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, fault)
        answer = await fleet.call("/safe/")

    assert answer.status == 200
    assert _received(fleet) == 2


@pytest.mark.parametrize("runners", [1, 2])
@pytest.mark.parametrize("path", ["/safe/", "/unsafe/", "/stream/x"])
async def test_hosts_slow_to_connect_serve_where_no_other_is_left(
    monkeypatch: pytest.MonkeyPatch, runners: int, path: str
) -> None:
    async with run_fleet(runners=runners) as fleet:
        slow = {address.port for address in fleet.addresses.values()}
        connect = LinkedBackend.connect_tcp

        async def _connect(
            backend: LinkedBackend, host: str, port: int, timeout: float, **rest: Any
        ) -> httpcore.AsyncNetworkStream:
            if port in slow and timeout < SLOW_CONNECT:
                raise httpcore.ConnectTimeout
            return await connect(backend, host, port, timeout, **rest)

        monkeypatch.setattr(LinkedBackend, "connect_tcp", _connect)
        answer = await fleet.call(path)

    assert answer.status == 200
    assert _runs(fleet) == 1


@pytest.mark.parametrize("fault", MAY_HAVE_RUN, ids=repr)
async def test_non_idempotent_request_runs_at_most_once(fault: Behaviour) -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, fault)
        answer = await fleet.call("/unsafe/")

    assert answer.status >= 500
    assert answer.status not in (503, 429)
    assert _runs(fleet) == 1


@pytest.mark.parametrize("fault", HAS_NOT_RUN, ids=repr)
async def test_non_idempotent_request_is_retried_only_on_proof(
    fault: Behaviour,
) -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, fault)
        answer = await fleet.call("/unsafe/")

    assert answer.status == 200
    assert _runs(fleet) == 1


async def test_refusal_by_all_endpoints_sets_retry_after() -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, *[Refuse()] * 20)
        answer = await fleet.call("/unsafe/")

    headers = {name.lower(): value for name, value in answer.headers}
    assert answer.status == 503
    assert 0 < float(headers[b"retry-after"]) < 1
    assert _runs(fleet) == 0


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_failed_run_is_not_reported_as_not_executed(status: int) -> None:
    async with run_fleet() as fleet:
        _plan_first(fleet, Fail(status=status))
        answer = await fleet.call("/unsafe/")

    headers = {name.lower(): value for name, value in answer.headers}
    assert answer.status == 502
    assert Header.ORIGIN_PROOF not in headers


async def test_failed_answer_is_forwarded_unchanged() -> None:
    async with run_fleet() as fleet:
        _plan_first(fleet, Fail(status=500))
        answer = await fleet.call("/unsafe/")

    headers = {name.lower(): value for name, value in answer.headers}
    assert answer.status == 500
    assert headers[Header.ORIGIN_PROOF] == b"seal"
    assert b"runner-1" in answer.content


async def test_answer_without_length_ends_with_its_connection() -> None:
    async with run_fleet() as fleet:
        _plan_first(fleet, Unframed())
        answer = await fleet.call("/unsafe/")

    assert answer.status == 200
    assert b"runner-1" in answer.content


# Guards against taking an answer without length for whole that was reset on the way.
async def test_answer_without_length_that_is_reset_is_not_whole() -> None:
    async with run_fleet() as fleet:
        _plan_first(fleet, Unframed(reset=True))
        answer = await fleet.call("/unsafe/")

    headers = {name.lower() for name, _ in answer.headers}
    assert answer.status == 502
    assert Header.ORIGIN_PROOF not in headers
    assert _runs(fleet) == 1


# Guards against refusing streams that have neither a length nor chunks.
@pytest.mark.parametrize("path", ["/stream/x", "/stream/again/x"])
async def test_stream_without_length_ends_with_its_connection(path: str) -> None:
    async with run_fleet() as fleet:
        _plan_first(fleet, Unframed())
        answer = await fleet.call(path)

    assert answer.status == 200
    assert answer.content == EVENTS


# Guards against taking a stream without length for whole that ends within an event.
@pytest.mark.parametrize("events", [0, 2])
async def test_stream_without_length_that_ends_within_an_event_resumes(
    events: int,
) -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, Unframed(events=events))
        answer = await fleet.call("/stream/again/x")

    assert answer.status == 200
    assert answer.content == EVENTS


# Guards against a visibly whole answer, or a second run, where none may be resumed.
async def test_stream_without_length_that_ends_within_an_event_is_cut_visibly() -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, Unframed(events=2))
        with pytest.raises(httpcore.RemoteProtocolError):
            await fleet.call("/stream/x")

    assert _runs(fleet) == 1


@pytest.mark.parametrize("late_id", [b"late", b""])
async def test_late_answer_reaches_no_other_request(late_id: bytes) -> None:
    async with run_fleet() as fleet:
        _plan_first(fleet, ExtraAnswer(request_id=late_id))
        first = await fleet.call("/safe/")
        second = await fleet.call("/safe/", headers={Header.REQUEST_ID: b"second"})

    assert first.status == 200
    assert second.status == 200
    assert b'"id":"second"' in second.content


async def test_dead_endpoint_costs_no_failure() -> None:
    async with run_fleet(runners=2) as fleet:
        gone = fleet.runners["runner-1"].entry(address=CLOSED, service="records")
        fleet.store.put(table=Table.ENDPOINTS, key="runner-1", value=gone)
        view = fleet.routers[0].components.state.view
        await wait_until(lambda: any(entry.address == CLOSED for entry in view.entries))
        answers = [await fleet.call("/unsafe/") for _ in range(6)]

    assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize("fault", [CutAnswer(events=2), CutAnswer(events=0)], ids=repr)
async def test_stream_resumes_elsewhere(fault: Behaviour) -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, fault)
        answer = await fleet.call("/stream/again/x")

    assert answer.status == 200
    assert answer.content == EVENTS


async def test_silent_stream_resumes_elsewhere_and_its_run_is_cancelled() -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, Hang(events=2))
        answer = await fleet.call("/stream/again/x")
        closed = [
            each for runner in fleet.runners.values() for each in runner.closed_early
        ]

    assert answer.content == EVENTS
    assert len(closed) == 1


async def test_stream_that_is_not_resumable_is_cut_visibly() -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, CutAnswer(events=2))
        with pytest.raises(httpcore.RemoteProtocolError):
            await fleet.call("/stream/x")

    assert _runs(fleet) == 1


async def test_retries_stop_at_the_routes_limit() -> None:
    async with run_fleet(runners=3) as fleet:
        _plan_first(fleet, *[LoseAnswer()] * 10)
        answer = await fleet.call("/safe/")

    assert answer.status == 502
    assert _runs(fleet) == 2


async def test_missing_answer_is_an_error_at_the_routes_timeout() -> None:
    routes = [route("short", "idempotent", timeoutMs=300, maxAttempts=1)]
    async with run_fleet(runners=2, routes=routes) as fleet:
        _plan_first(fleet, Hang())
        answer = await fleet.call("/short/")
        await wait_until(lambda: any(r.closed_early for r in fleet.runners.values()))

    assert answer.status == 504


async def test_endpoint_stops_when_its_caller_disconnects() -> None:
    async with run_fleet(runners=2) as fleet:
        _plan_first(fleet, Hang(events=2))
        request = httpcore.Request(
            "POST", fleet.url("/stream/x"), headers=list(fleet.headers().items())
        )
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.handle_async_request(request)
            await anext(response.aiter_stream())
            await response.aclose()
        await wait_until(lambda: any(r.closed_early for r in fleet.runners.values()))


async def test_requests_in_flight_survive_a_planned_stop() -> None:
    statuses = []

    async def _call(fleet: Fleet) -> None:
        answer = await fleet.call("/stream/x")
        statuses.append((answer.status, answer.content))

    async with anyio.create_task_group() as tasks, run_fleet(runners=1) as fleet:
        runner = fleet.runners["runner-1"]
        runner.pause = 0.05
        tasks.start_soon(_call, fleet)
        await wait_until(lambda: runner.runs)
        fleet_router = fleet.routers[0]
        assert fleet_router.components.app.in_flight == 1

    assert statuses == [(200, EVENTS)]


async def test_address_of_another_endpoint_gets_no_second_attempt() -> None:
    async with run_fleet(runners=1) as fleet:
        _plan_first(fleet, WrongEndpoint(), Serve())
        first = await fleet.call("/unsafe/")

    assert first.status == 503
    assert _runs(fleet) == 0


@pytest.mark.parametrize("path", ["/unsafe/", "/safe/", "/stream/x"])
async def test_request_that_reached_no_endpoint_may_be_retried(path: str) -> None:
    async with run_fleet(runners=0) as fleet:
        await fleet.add_runner("runner-1")
        fleet.addresses["runner-1"] = CLOSED
        fleet.register("runner-1")
        view = fleet.routers[0].components.state.view
        await wait_until(lambda: any(entry.address == CLOSED for entry in view.entries))
        answer = await fleet.call(path)

    headers = {name.lower(): value for name, value in answer.headers}
    assert answer.status == 503
    assert float(headers[b"retry-after"]) > 0


# Guards against requests that reach more endpoints than their route allows, since those
# that rejected them did not count.
@pytest.mark.parametrize("max_attempts", [1, 2])
async def test_rejected_attempts_count_against_the_routes_limit(
    max_attempts: int,
) -> None:
    routes = [route("safe", "idempotent", maxAttempts=max_attempts)]
    async with run_fleet(runners=4, routes=routes) as fleet:
        for runner in fleet.runners.values():
            runner.plan.extend([Refuse()] * 4)
        answer = await fleet.call("/safe/x")

    assert answer.status == 503
    received = [len(runner.received) for runner in fleet.runners.values()]
    assert sum(received) == max_attempts
