"""Endpoints that bear few rejections, and endpoints that fall silent for a second."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.registry.fleet_size import SETTLING_SECONDS
from dotterelpaddle.tests.forwarding.entries import make_brittle, make_entry
from dotterelpaddle.tests.forwarding.harness import run_fleet

if TYPE_CHECKING:
    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = pytest.mark.anyio

ROUTERS = 3
REJECTION_LIMIT = 4
ROOM = 4
SLOTS = 6
CALLERS = 24
CALLS = 8
SILENT_SECONDS = 1.0
BACK_IN_SECONDS = 3.0
ENDPOINT = EndpointId("brittle")


async def _call_often(fleet: Fleet, router: int, statuses: list[int]) -> None:
    for _ in range(CALLS):
        response = await fleet.call("/stream/1", router=router)
        statuses.append(response.status)
        await anyio.sleep(0.1)


# Guards against an endpoint that ends since all routers send what it has to reject.
async def test_brittle_endpoints_reject_no_more_than_they_bear() -> None:
    statuses: list[int] = []
    async with run_fleet(runners=2, routers=ROUTERS) as fleet:
        for runner in fleet.runners.values():
            runner.rejection_limit, runner.room = REJECTION_LIMIT, ROOM
            runner.events, runner.pause = 5, 0.05
        for router in range(ROUTERS):
            assert (await fleet.call("/stream/1", router=router)).status == 200
        for router in range(ROUTERS):
            for _ in range(2):
                await fleet.call("/stream/1", router=router)
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(
                    partial(_call_often, fleet, number % ROUTERS, statuses)
                )
        most = [runner.most_rejections for runner in fleet.runners.values()]

    assert max(most) <= REJECTION_LIMIT
    assert statuses.count(200) >= CALLS * ROOM


class Router:
    """A router that knows one brittle endpoint."""

    def __init__(self, *, routers: int | None, has_owners: bool = False) -> None:
        self.now = 0.0
        self.backoffs = EndpointBackoffs(clock=lambda: self.now)
        self.brittle = make_brittle(
            backoffs=self.backoffs,
            router_count=lambda: routers,
            has_owners=lambda: has_owners,
        )
        self.entry = make_entry(ENDPOINT, slots=SLOTS)

    def answer(self, *, limit: int | None = 6, rejected: bool = False) -> None:
        self.brittle.record_answer(entry=self.entry, limit=limit, rejected=rejected)


# Guards against an endpoint that ends again as soon as it is back, since nobody has
# had an answer of its new process yet.
def test_limit_holds_for_an_endpoint_that_has_started_again() -> None:
    router = Router(routers=4)
    router.answer()
    again = make_entry("started again", service=router.entry.service, slots=SLOTS)

    assert router.brittle.is_brittle(entry=again)


# Guards against an endpoint that gets nothing for long after the rejection of a request
# that was sent before its owner granted the places.
def test_rejection_pauses_for_a_second_where_owners_grant_places() -> None:
    router = Router(routers=58, has_owners=True)
    router.answer(rejected=True)
    router.now = 1.0

    assert not router.backoffs.is_backing_off(endpoint=ENDPOINT)


# Guards against a router that has just started and takes itself for the only one.
def test_router_that_knows_no_fleet_size_pauses_until_it_may_know() -> None:
    router = Router(routers=None)
    router.answer(rejected=True)
    router.now = SETTLING_SECONDS - 0.1

    assert router.backoffs.is_backing_off(endpoint=ENDPOINT)


def test_endpoint_that_is_brittle_no_more_has_no_limit() -> None:
    router = Router(routers=4)
    router.answer()
    router.answer(limit=None)

    assert not router.brittle.is_brittle(entry=router.entry)


@pytest.mark.parametrize(("routers", "seconds"), [(3, 1.0), (60, 10.0)])
def test_rejections_of_all_routers_stay_within_the_limit(
    routers: int, seconds: float
) -> None:
    router = Router(routers=routers)
    router.answer(rejected=True)
    router.now = seconds - 0.1
    before = router.backoffs.is_backing_off(endpoint=ENDPOINT)
    router.now = seconds

    assert before
    assert not router.backoffs.is_backing_off(endpoint=ENDPOINT)


# Guards against an endpoint that is passed over for long after a moment of silence.
async def test_endpoint_that_was_silent_for_a_second_serves_again() -> None:
    async with run_fleet(runners=3, routers=ROUTERS) as fleet:
        silent = fleet.runners["runner-1"]
        silent.silent_until = anyio.current_time() + SILENT_SECONDS
        statuses = []
        with anyio.move_on_after(SILENT_SECONDS):
            while True:
                for router in range(ROUTERS):
                    response = await fleet.call("/safe/1", router=router)
                    statuses.append(response.status)
        before = len(silent.runs)
        with anyio.fail_after(BACK_IN_SECONDS):
            while len(silent.runs) < before + ROUTERS:
                for router in range(ROUTERS):
                    assert (await fleet.call("/safe/1", router=router)).status == 200

        assert set(statuses) == {200}
