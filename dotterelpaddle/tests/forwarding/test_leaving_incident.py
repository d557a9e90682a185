"""Endpoints that say in their answers that they leave, or that they want quiet.

What was seen: with the store silent for 12 s a router sent requests to an engine for
6 s after an answer of that engine had told it that it leaves; 2 s are allowed.

How it came about: only the entry in the store was read, and that came late. What an
answer says of its endpoint was not read at all, neither that it leaves nor for how long
it wants nothing more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.ids import EndpointId, ServiceName
from dotterelpaddle.platform.names import Header
from dotterelpaddle.standins.runner import Fail, Foreign, Refuse, WrongEndpoint
from dotterelpaddle.tests.forwarding.harness import run_fleet, wait_until

if TYPE_CHECKING:
    from dotterelpaddle.standins.runner import Behaviour
    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = pytest.mark.anyio

ANSWERS: list[tuple[str, list[Behaviour]]] = [
    ("/unsafe/", []),
    ("/stream/x", []),
    ("/unsafe/", [Fail()]),
    ("/unsafe/", [Refuse()]),
]


async def _call_until_told(fleet: Fleet, path: str, name: str) -> None:
    """Send requests until one has reached an endpoint."""
    runner = fleet.runners[name]
    for _ in range(20):
        if runner.received:
            return
        await fleet.call(path)
    raise AssertionError(f"no request reached {name}")


@pytest.mark.parametrize(("path", "plan"), ANSWERS, ids=repr)
async def test_endpoint_that_says_it_leaves_gets_no_new_work(
    path: str, plan: list[Behaviour]
) -> None:
    """Guards against work for an endpoint whose answer said that it leaves."""
    async with run_fleet(runners=2) as fleet:
        leaving = fleet.runners["runner-1"]
        leaving.leaving = True
        leaving.plan.extend(plan)
        await _call_until_told(fleet, path, "runner-1")
        for _ in range(12):
            await fleet.call("/safe/")

    assert len(leaving.received) == 1


async def test_endpoint_that_wants_quiet_gets_nothing_for_that_time() -> None:
    """Guards against work for an endpoint that asked to be left alone."""
    async with run_fleet(runners=2) as fleet:
        quiet = fleet.runners["runner-1"]
        quiet.plan.append(Refuse(retry_after=b"60"))
        await _call_until_told(fleet, "/safe/", "runner-1")
        for _ in range(12):
            await fleet.call("/safe/")

    assert len(quiet.received) == 1


async def test_caller_is_told_when_an_endpoint_may_be_asked_again() -> None:
    """Guards against refusals that invite callers back before any endpoint does."""
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


async def test_routers_tell_each_other_who_leaves() -> None:
    """Guards against routers that go on where another one was told to stop."""
    async with run_fleet(runners=2, routers=2) as fleet:
        leaving = fleet.runners["runner-1"]
        leaving.leaving = True
        view = fleet.routers[1].parts.state.view
        await _call_until_told(fleet, "/safe/", "runner-1")
        await wait_until(lambda: len(view.ready(service=ServiceName("records"))) == 1)
        for _ in range(12):
            await fleet.call("/safe/", router=1)

    assert len(leaving.received) == 1


@pytest.mark.parametrize(
    "behaviour", [WrongEndpoint(), Foreign(), Foreign(request_id=b"")], ids=repr
)
async def test_answer_of_another_endpoint_says_nothing_of_the_one_that_was_meant(
    behaviour: Behaviour,
) -> None:
    """Guards against an endpoint that is lost for what another one has said."""
    async with run_fleet(runners=1) as fleet:
        runner = fleet.runners["runner-1"]
        runner.leaving = True
        runner.plan.append(behaviour)
        await fleet.call("/unsafe/")
        leaving = fleet.routers[0].parts.state.view.leaving

        assert runner.received
        assert EndpointId(runner.name) not in leaving


async def test_endpoints_that_all_leave_serve_until_their_time_is_over() -> None:
    """Guards against refusals while the only endpoints still serve."""
    async with run_fleet(runners=2) as fleet:
        for runner in fleet.runners.values():
            runner.leaving = True
        first = [await fleet.call("/safe/") for _ in range(4)]
        view = fleet.routers[0].parts.state.view
        await wait_until(lambda: not view.last_resort(service=ServiceName("records")))
        sent = sum(len(runner.received) for runner in fleet.runners.values())
        last = await fleet.call("/safe/")
        received = sum(len(runner.received) for runner in fleet.runners.values())

    assert {answer.status for answer in first} == {200}
    assert last.status == 503
    assert received == sent
