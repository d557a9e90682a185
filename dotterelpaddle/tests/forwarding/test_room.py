"""Tests of requests that wait for room at brittle endpoints."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, cast

import anyio

from dotterelpaddle.dispatch.outcome import OutcomeLog
from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
from dotterelpaddle.forwarding.exchange import ForwardExchange
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.loads import LoadTracker
from dotterelpaddle.forwarding.model import (
    ForwardRoute,
    RequestKind,
    WeightedService,
)
from dotterelpaddle.forwarding.request_totals import TotalsTracker
from dotterelpaddle.forwarding.room import MAX_WAIT_SHARE, RoomFilter
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointId, FailureDomain, ServiceName
from dotterelpaddle.tests.forwarding.entries import make_brittle, make_entry
from dotterelpaddle.tests.revisions import revision_at
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ENDPOINT = EndpointId("brittle")
SERVICE = ServiceName("engines")
OBJECTIVE_SECONDS = 1.0
RUN_SECONDS = 0.2


class Service:
    """A service with one endpoint that has room for two requests."""

    def __init__(self, *, limit: int | None = 2) -> None:
        self.view = FleetView(clock=anyio.current_time)
        self.loads = LoadTracker(
            totals=TotalsTracker(
                failure_domain=FailureDomain("here"), clock=anyio.current_time
            )
        )
        self.brittle = make_brittle(
            in_flight=lambda: self.loads.own,
            backoffs=EndpointBackoffs(clock=anyio.current_time),
        )
        self.filter = RoomFilter(view=self.view, brittle=self.brittle, loads=self.loads)
        self.started: list[tuple[str, float]] = []
        entry = make_entry(ENDPOINT, service=SERVICE, slots=2)
        self.view.apply_endpoints_update(
            update=EndpointsUpdate(
                revision=revision_at(1), entries=(entry,), is_snapshot=True
            )
        )
        self.brittle.record_answer(entry=entry, limit=limit, rejected=False)

    async def request(self, name: str, *, seconds: float = RUN_SECONDS) -> None:
        """Let a request pass the filter and run at the endpoint."""

        async def run(_: ForwardExchange) -> None:
            self.started.append((name, round(anyio.current_time(), 3)))
            with self.loads.track(endpoint=ENDPOINT):
                await anyio.sleep(seconds)

        await self.filter(_exchange(), run)


def _exchange() -> ForwardExchange:
    unused = cast("Any", None)
    route = ForwardRoute(
        name="r",
        host="a.example",
        prefix="/",
        kind=RequestKind.IDEMPOTENT,
        services=(WeightedService(service=SERVICE, weight=1.0),),
        timeout=5.0,
        latency_objective=OBJECTIVE_SECONDS,
        max_attempts=2,
    )
    return ForwardExchange(
        request=unused,
        reply=unused,
        received_at=0.0,
        deadline=5.0,
        attempts=OutcomeLog(),
        route=route,
        service=SERVICE,
    )


def _run(
    script: Callable[[Service, Any], Awaitable[None]], **fields: Any
) -> list[tuple[str, float]]:
    started: list[tuple[str, float]] = []

    async def main() -> None:
        service = Service(**fields)
        async with anyio.create_task_group() as tasks:
            await script(service, tasks)
        started.extend(service.started)

    run_in_virtual_time(main)
    return started


# Guards against refusing callers of a full brittle endpoint that has room in a moment.
def test_request_waits_for_another_one_to_end() -> None:
    async def script(service: Service, tasks: Any) -> None:
        for name in ("a", "b", "c", "d"):
            tasks.start_soon(service.request, name)
            await anyio.sleep(0.01)

    started = _run(script)

    assert started == [("a", 0.0), ("b", 0.01), ("c", 0.2), ("d", 0.21)]


def test_no_more_requests_wait_than_are_in_flight() -> None:
    async def script(service: Service, tasks: Any) -> None:
        for name in ("a", "b", "c", "d", "e"):
            tasks.start_soon(service.request, name)
            await anyio.sleep(0.01)

    assert ("e", 0.04) in _run(script)


def test_request_waits_for_a_part_of_its_objective() -> None:
    async def script(service: Service, tasks: Any) -> None:
        for name in ("a", "b", "c"):
            tasks.start_soon(partial(service.request, name, seconds=5.0))

    assert _run(script)[-1] == ("c", MAX_WAIT_SHARE * OBJECTIVE_SECONDS)


def test_nobody_waits_for_endpoints_that_are_not_brittle() -> None:
    async def script(service: Service, tasks: Any) -> None:
        for name in ("a", "b", "c"):
            tasks.start_soon(service.request, name)

    assert [at for _, at in _run(script, limit=None)] == [0.0, 0.0, 0.0]


# Guards against a turn that is lost with a caller who has gone.
def test_caller_that_goes_leaves_its_turn_to_the_next() -> None:
    async def script(service: Service, tasks: Any) -> None:
        tasks.start_soon(service.request, "a")
        tasks.start_soon(service.request, "b")
        await anyio.sleep(0.01)
        with anyio.move_on_after(0.05):
            await service.request("gone")
        tasks.start_soon(service.request, "c")

    started = _run(script)

    assert started[-1] == ("c", 0.2)
    assert "gone" not in {name for name, _ in started}
