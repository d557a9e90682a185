"""Real routers of a fleet in which an owner decides."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.ids import EndpointId
from dotterelpaddle.peers import plan
from dotterelpaddle.tests.forwarding.harness import Fleet, run_fleet, wait_until

if TYPE_CHECKING:
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.owners.messages import GrantRequest

pytestmark = pytest.mark.anyio

OWNER, ASKING = 2, 3
"""Places of the router that owns the shard, and of one that asks it."""


@pytest.fixture(autouse=True)
def small_mesh(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let two routers aggregate for the others, one of which owns all endpoints."""
    monkeypatch.setattr(plan, "MAX_MESH_ROUTERS", 2)


class OwnerProbe:
    """Records what an owner hears, and may keep it from answering."""

    def __init__(self, *, fleet: Fleet, place: int) -> None:
        self.requests: list[GrantRequest] = []
        self.responding = True
        owner = fleet.routers[place].parts.owners
        receive = owner.receive

        async def _receive(*, datagram: bytes, address: object) -> None:
            if self.responding:
                await receive(datagram=datagram, address=address)  # type: ignore[arg-type]

        answer = owner._owner.decide

        def _answer(*, request: GrantRequest):
            self.requests.append(request)
            return answer(request=request)

        owner.receive = _receive  # type: ignore[method-assign]
        owner._owner.decide = _answer  # type: ignore[method-assign]


async def _start(fleet: Fleet) -> OwnerProbe:
    await fleet.add_runner("runner-2")
    for link in (100, 100, 10, 1):
        await fleet.add_router(link=link)
    owner = fleet.routers[OWNER].parts.state.directory.own.router
    for router in fleet.routers:
        directory = router.parts.state.directory
        await wait_until(lambda d=directory: _owner(d) == owner)
        await wait_until(lambda r=router: r.parts.app.ready)
    return OwnerProbe(fleet=fleet, place=OWNER)


def _owner(directory) -> RouterId | None:
    owner = directory.owners().get("here")
    return None if owner is None else owner.router


async def test_owner_decides_for_a_router_that_asks() -> None:
    async with run_fleet(routers=0) as fleet:
        heard = await _start(fleet)
        answer = await fleet.call("/unsafe/", router=ASKING)

    assert answer.status == 200
    assert [question.report.router for question in heard.requests] == ["router-4"]


async def test_requests_of_all_routers_are_spread_exactly() -> None:
    """Each of four routers gets a request in the same moment."""
    async with run_fleet(routers=0) as fleet:
        heard = await _start(fleet)
        async with anyio.create_task_group() as tasks:
            for place in range(len(fleet.routers)):
                tasks.start_soon(_call, fleet, place)
        counts = sorted(len(runner.runs) for runner in fleet.runners.values())

    assert len(heard.requests) == len(fleet.routers)
    assert counts[-1] - counts[0] <= 2


async def _call(fleet: Fleet, place: int) -> None:
    answer = await fleet.call("/unsafe/", router=place)
    assert answer.status == 200


async def test_router_decides_by_itself_while_the_owner_is_silent() -> None:
    async with run_fleet(routers=0) as fleet:
        heard = await _start(fleet)
        heard.responding = False
        first = await fleet.call("/unsafe/", router=ASKING)
        asked = fleet.routers[ASKING].parts.owners._cooldown_until
        second = await fleet.call("/unsafe/", router=ASKING)

    assert (first.status, second.status) == (200, 200)
    assert len(asked) == 1


async def test_owner_counts_what_ends_and_what_nobody_asked_for() -> None:
    async with run_fleet(routers=0) as fleet:
        await _start(fleet)
        counts = fleet.routers[OWNER].parts.owners._owner._counts
        loads = fleet.routers[ASKING].parts.state.loads
        endpoint = fleet.routers[ASKING].parts.state.view.entries[0].endpoint
        with loads.track(endpoint=endpoint):
            await wait_until(lambda: counts.loads.get(endpoint) == 1)
        await wait_until(lambda: not counts.loads)


async def test_owner_that_has_not_heard_is_told_who_leaves() -> None:
    """Guards against grants of endpoints that only the asking router knows to leave."""
    async with run_fleet(routers=0) as fleet:
        heard = await _start(fleet)
        view = fleet.routers[ASKING].parts.state.view
        leaving = EndpointId("runner-1")
        view.leaving.record(endpoint=leaving)
        await fleet.add_runner("runner-3")
        await wait_until(lambda: len(view.entries) == 3)
        answer = await fleet.call("/unsafe/", router=ASKING)

    assert answer.status == 200
    assert not fleet.runners["runner-1"].runs
    assert [question.query.excluded for question in heard.requests] == [{leaving}]
