from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace

import anyio
import pytest

from dotterelpaddle.backing.http import open_platform
from dotterelpaddle.fleet.client import ServiceCall
from dotterelpaddle.links import Links
from dotterelpaddle.membership.view import MemberState
from dotterelpaddle.pipeline import Outcome
from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.standins.platform import run_platform
from dotterelpaddle.standins.service import ServiceSettings, run_service
from dotterelpaddle.tests.entry.harness import ANYWHERE, TOKEN, run_entry

pytestmark = pytest.mark.anyio

SLOW = ServiceSettings(latency=0.15)


@asynccontextmanager
async def open_world(*, settings=None, view=None):
    """Run two routers, one service and the platform."""
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        service = await enter(
            run_service(address=ANYWHERE, name="s0", settings=settings)
        )
        standin = await enter(run_platform(address=ANYWHERE, token="t"))
        routers = []
        for name in ("r1", "r2"):
            url = f"http://{standin.address}"
            platform = await enter(
                open_platform(url=url, token="t", timeout=0.3, links=Links())
            )
            entry = run_entry(
                services=(service,), platform=platform, router=name, view=view
            )
            routers.append(await enter(entry))
        with anyio.fail_after(30):
            yield routers, service, standin


def receipt(*, key="k1", body=b"{}", timeout=3.0):
    return ServiceCall(
        token=TOKEN,
        service="receipts",
        body=body,
        idempotency_key=key,
        timeout=timeout,
    )


async def send(router, **kwargs):
    return await router.client.service(router=router.address, call=receipt(**kwargs))


async def test_a_retry_at_another_router_gets_the_first_answer():
    async with open_world() as (routers, service, _):
        first = await send(routers[0])
        second = await send(routers[1])
        assert first.outcome is second.outcome is Outcome.COMPLETED
        assert second.text == first.text
        assert service.runs.by_key["k1"] == 1


async def test_a_retry_during_the_run_waits_for_its_answer():
    async with open_world(settings=SLOW) as (routers, service, _):
        answers = []

        async def call(router):
            answers.append(await send(router))

        async with anyio.create_task_group() as tasks:
            for router in routers * 3:
                tasks.start_soon(call, router)
        assert len({answer.text for answer in answers}) == 1
        assert all(answer.outcome is Outcome.COMPLETED for answer in answers)
        assert service.runs.by_key["k1"] == 1


async def test_a_retry_after_a_lost_answer_is_told_unknown():
    async with open_world() as (routers, service, _):
        service.faults.switch_on(kind=FaultKind.DROP_AFTER, count=1)
        first = await send(routers[0])
        second = await send(routers[1])
        assert first.outcome is second.outcome is Outcome.UNKNOWN
        assert (second.error, second.step, second.peer) == (
            "earlier_run_unknown",
            "claim",
            "r1",
        )
        assert service.runs.by_key["k1"] == 1


async def test_a_retry_after_a_refusal_runs():
    async with open_world() as (routers, service, _):
        service.faults.switch_on(kind=FaultKind.REFUSE, count=1)
        first = await send(routers[0])
        second = await send(routers[1])
        assert first.outcome is Outcome.NOT_RUN
        assert second.outcome is Outcome.COMPLETED
        assert service.runs.by_key["k1"] == 1


async def test_a_router_that_dies_in_mid_run_leaves_unknown_and_no_second_run():
    async with open_world(settings=SLOW) as (routers, service, _):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, routers[0])
            while not service.running:
                await anyio.sleep(0.002)
            # The router is gone for the platform and writes nothing any more.
            routers[0].app._upkeep._writer._running = False
            second = await send(routers[1], timeout=0.5)
        assert second.outcome is Outcome.UNKNOWN
        assert service.runs.by_key["k1"] == 1


async def test_a_retry_is_told_unknown_at_once_if_the_first_router_is_dead():
    dead = SimpleNamespace(state=MemberState.DEAD)
    view = SimpleNamespace(
        find=lambda *, router: dead if router == "r1" else None, members=lambda: ()
    )
    async with open_world(settings=SLOW, view=view) as (routers, service, _):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, routers[0])
            while not service.running:
                await anyio.sleep(0.002)
            second = await send(routers[1])
            # The first run still goes on, so nobody waited for its end.
            assert service.running
        assert second.outcome is Outcome.UNKNOWN
        assert (second.error, second.peer) == ("earlier_run_unknown", "r1")
        assert service.runs.by_key["k1"] == 1


async def test_a_lost_claim_answer_is_resolved():
    async with open_world() as (routers, service, standin):
        standin.faults.switch_on(kind=FaultKind.ANSWER_LOST, count=1)
        first = await send(routers[0])
        second = await send(routers[1])
        assert first.outcome is Outcome.COMPLETED
        assert second.text == first.text
        assert service.runs.by_key["k1"] == 1


async def test_without_the_platform_a_keyed_receipt_is_refused_and_others_go_on():
    async with open_world() as (routers, service, standin):
        standin.faults.switch_on(kind=FaultKind.OUTAGE)
        refused = await send(routers[0])
        assert refused.outcome is Outcome.NOT_RUN
        assert (refused.status, refused.step) == (503, "claim")
        assert refused.retry_after > 0
        assert service.runs.total == 0
        call = ServiceCall(token=TOKEN, service="records", idempotency_key="k1")
        served = await routers[0].client.service(router=routers[0].address, call=call)
        assert served.outcome is Outcome.COMPLETED
        standin.faults.switch_off()
        again = await send(routers[1])
        assert again.outcome is Outcome.COMPLETED


async def test_a_key_of_another_request_is_an_error():
    async with open_world() as (routers, service, _):
        await send(routers[0])
        other = await send(routers[1], body=b'{"amount": 2}')
        assert (other.status, other.error) == (422, "key_reused")
        assert other.outcome is Outcome.NOT_RUN
        assert service.runs.total == 1
