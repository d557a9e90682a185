"""Tests endpoints that report in their answers that they leave, or ask for a backoff.

Guards against an incident in which a router, while the store gave no answers for 12 s,
sent requests to an engine for 6 s after that engine had reported in an answer that it
was leaving; 2 s are allowed. The router read only the entry in the store, which came
late, and ignored both the leaving report and the backoff in answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.ids import EndpointId, ServiceName
from dotterelpaddle.platform.names import Header
from dotterelpaddle.standins.runner import Fail, Foreign, Refuse, WrongEndpoint
from dotterelpaddle.tests.forwarding.harness import run_fleet, wait_until

if TYPE_CHECKING:
    from dotterelpaddle.standins.runner import Behaviour
    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = pytest.mark.anyio

NOTICES_SECONDS = 1.0
"""Seconds after which notices have been told to all routers, and not again yet."""

ANSWERS: list[tuple[str, list[Behaviour]]] = [
    ("/unsafe/", []),
    ("/stream/x", []),
    ("/unsafe/", [Fail()]),
    ("/unsafe/", [Refuse()]),
]


async def _call_until_reached(fleet: Fleet, path: str, name: str) -> None:
    """Send requests until one has reached an endpoint."""
    runner = fleet.runners[name]
    for _ in range(20):
        if runner.received:
            return
        await fleet.call(path)
    raise AssertionError(f"no request reached {name}")


@pytest.mark.parametrize(("path", "plan"), ANSWERS, ids=repr)
async def test_leaving_endpoint_gets_no_new_requests(
    path: str, plan: list[Behaviour]
) -> None:
    """Guards against requests to an endpoint that reported that it is leaving."""
    async with run_fleet(runners=2) as fleet:
        leaving = fleet.runners["runner-1"]
        leaving.leaving = True
        leaving.plan.extend(plan)
        await _call_until_reached(fleet, path, "runner-1")
        for _ in range(12):
            await fleet.call("/safe/")

    assert len(leaving.received) == 1


async def test_endpoint_gets_no_requests_during_its_backoff() -> None:
    """Guards against requests to an endpoint that asked for a backoff."""
    async with run_fleet(runners=2) as fleet:
        backing_off = fleet.runners["runner-1"]
        backing_off.plan.append(Refuse(retry_after=b"60"))
        await _call_until_reached(fleet, "/safe/", "runner-1")
        for _ in range(12):
            await fleet.call("/safe/")

    assert len(backing_off.received) == 1


async def test_refusal_names_the_end_of_the_shortest_backoff() -> None:
    """Guards against a retry time before the end of every endpoint's backoff."""
    async with run_fleet(runners=2) as fleet:
        fleet.runners["runner-1"].plan.append(Refuse(retry_after=b"60"))
        fleet.runners["runner-2"].plan.append(Refuse(retry_after=b"50.5"))
        await fleet.call("/unsafe/")
        answer = await fleet.call("/unsafe/")
        received = sum(len(each.received) for each in fleet.runners.values())

    headers = {name.lower(): value for name, value in answer.headers}
    assert answer.status == 503
    assert 40 < float(headers[Header.RETRY_AFTER]) <= 50.5
    assert received == 2


async def test_routers_report_leaving_endpoints_to_each_other() -> None:
    """Guards against routers that use an endpoint that reported leaving to a peer."""
    async with run_fleet(runners=2, routers=2) as fleet:
        leaving = fleet.runners["runner-1"]
        leaving.leaving = True
        view = fleet.routers[1].components.state.view
        await _call_until_reached(fleet, "/safe/", "runner-1")
        await wait_until(lambda: len(view.ready(service=ServiceName("records"))) == 1)
        for _ in range(12):
            await fleet.call("/safe/", router=1)

    assert len(leaving.received) == 1


@pytest.mark.parametrize(
    "behaviour", [WrongEndpoint(), Foreign(), Foreign(request_id=b"")], ids=repr
)
async def test_answer_of_another_endpoint_does_not_apply_to_the_addressed_one(
    behaviour: Behaviour,
) -> None:
    """Guards against excluding an endpoint for the report of another one."""
    async with run_fleet(runners=1) as fleet:
        runner = fleet.runners["runner-1"]
        runner.leaving = True
        runner.plan.append(behaviour)
        await fleet.call("/unsafe/")
        leaving = fleet.routers[0].components.state.view.leaving

        assert runner.received
        assert EndpointId(runner.name) not in leaving


async def test_endpoints_that_all_leave_serve_until_their_serve_time_ends() -> None:
    """Guards against refusals while the only endpoints still serve."""
    async with run_fleet(runners=2) as fleet:
        for runner in fleet.runners.values():
            runner.leaving = True
        first = [await fleet.call("/safe/") for _ in range(4)]
        view = fleet.routers[0].components.state.view
        await wait_until(lambda: not view.last_resort(service=ServiceName("records")))
        sent = sum(len(runner.received) for runner in fleet.runners.values())
        last = await fleet.call("/safe/")
        received = sum(len(runner.received) for runner in fleet.runners.values())

    assert {answer.status for answer in first} == {200}
    assert last.status == 503
    assert received == sent


# Guards against the first requests of a router that has just started and does not know
# yet which endpoints have said in an answer that they leave.
async def test_router_that_has_just_started_knows_who_leaves() -> None:
    async with run_fleet(runners=2, routers=2) as fleet:
        leaving = fleet.runners["runner-1"]
        leaving.leaving = True
        await _call_until_reached(fleet, "/safe/1", "runner-1")
        await anyio.sleep(NOTICES_SECONDS)
        before = len(leaving.received)
        await fleet.add_router(first_start=False)
        for _ in range(10):
            assert (await fleet.call("/safe/1", router=2)).status == 200

    assert len(leaving.received) == before
