"""The demo: a whole fleet serves returning chats while an engine leaves."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio
import orjson

from dotterelpaddle.fleet.balancer import run_balancer, until_ready
from dotterelpaddle.fleet.client import open_client
from dotterelpaddle.fleet.conversations import ConversationSizes
from dotterelpaddle.fleet.decisions import collect_decisions
from dotterelpaddle.fleet.fleet import run_fleet
from dotterelpaddle.fleet.load import LoadPlan, LoadRun
from dotterelpaddle.fleet.measures import CacheWatch, ControlMeter, sample_skew
from dotterelpaddle.fleet.operators import set_intent
from dotterelpaddle.fleet.shapes import shape_of
from dotterelpaddle.fleet.summary import summarize
from dotterelpaddle.records.model import EndpointIntent

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.fleet.decisions import LoggedDecision
    from dotterelpaddle.fleet.fleet import Fleet
    from dotterelpaddle.fleet.shape import Shape, ShapeName
    from dotterelpaddle.fleet.summary import Summary
    from dotterelpaddle.ids import EndpointId

REQUESTS = 300
"""Calls that the demo makes unless told otherwise."""

LEAST_RATE = 60.0
"""Calls a second, at least."""

LONGEST_LOAD = 15.0
"""Seconds over which the calls are spread, at most."""

LEAVING_SHARE = 0.4
"""Share of the calls after which an engine leaves."""

DECISIONS = 3
"""Decision lines that are shown."""

START_TIMEOUT = 15.0
"""Seconds until all routers must be ready."""

POLL = 0.02
"""Seconds between two looks at what is waited for."""

SIZES = ConversationSizes(first_prompt=240, next_prompt=24, answer=100)
"""Lengths that keep some dozens of calls in flight."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DemoResult:
    """What the demo showed.

    Attributes:
        summary: Figures of the run.
        left: The engine that left.
        decisions: Some placement decisions.
    """

    summary: Summary
    left: EndpointId
    decisions: list[LoggedDecision]


async def run_demo(
    *,
    shape: ShapeName,
    requests: int = REQUESTS,
    as_json: bool = False,
    show: Callable[[str], None] = print,
) -> Summary:
    """Run the demo and show what came of it.

    Args:
        shape: The deployment.
        requests: Number of calls.
        as_json: Whether to show the figures alone, as one line of JSON.
        show: Takes the lines to show.

    Returns:
        The figures.
    """
    deployment = shape_of(name=shape)
    if not as_json:
        show(_opening(shape=deployment, requests=requests))
    with collect_decisions() as log:
        async with run_fleet(shape=deployment) as fleet:
            summary, left = await _serve(fleet=fleet, requests=requests)
    result = DemoResult(summary=summary, left=left, decisions=log.pick(count=DECISIONS))
    show(_json_line(summary=summary) if as_json else _text(result=result))
    return summary


async def _serve(*, fleet: Fleet, requests: int) -> tuple[Summary, EndpointId]:
    plan = LoadPlan(
        requests=requests,
        rate=max(LEAST_RATE, requests / LONGEST_LOAD),
        stream_share=0.3,
        sizes=SIZES,
    )
    leaving = fleet.shape.endpoints_of(pool=fleet.shape.engine_pool.name)[1].name
    control = ControlMeter(fleet=fleet)
    async with (
        run_balancer(routers=fleet.entries) as balancer,
        open_client() as client,
    ):
        run = LoadRun(
            plan=plan,
            shape=fleet.shape,
            entries=balancer,
            client=client,
            caches=CacheWatch(fleet=fleet),
        )
        await _until_all_ready(fleet=fleet)
        await control.start()
        async with sample_skew(fleet=fleet) as skew, anyio.create_task_group() as tasks:
            tasks.start_soon(partial(_leave, fleet=fleet, run=run, engine=leaving))
            await run.run()
        summary = summarize(
            run=run,
            standins=fleet.standins,
            skew=skew.result(),
            control=await control.bytes_per_second(),
        )
    return summary, leaving


async def _until_all_ready(*, fleet: Fleet) -> None:
    with anyio.fail_after(START_TIMEOUT):
        for router in fleet.routers:
            await until_ready(router=partial(fleet.entry_of, router=router))


async def _leave(*, fleet: Fleet, run: LoadRun, engine: EndpointId) -> None:
    """Drain an engine by its record, wait until it is idle and stop it."""
    while run.started < LEAVING_SHARE * run.plan.requests:
        await anyio.sleep(POLL)
    router = next(iter(fleet.routers))
    await set_intent(
        fleet=fleet, router=router, endpoint=engine, intent=EndpointIntent.DRAIN
    )
    await _until_left(fleet=fleet, engine=engine)
    await fleet.stop(name=engine)


async def _until_left(*, fleet: Fleet, engine: EndpointId) -> None:
    """Wait until all routers know of the change and nothing is in flight."""
    revision = max(server.catalog.revision for server in fleet.running.values())
    while any(server.catalog.revision < revision for server in fleet.running.values()):
        await anyio.sleep(POLL)
    while not fleet.engines[engine].idle:
        await anyio.sleep(POLL)


def _opening(*, shape: Shape, requests: int) -> str:
    domains = ", ".join(shape.failure_domains)
    engines = len(shape.endpoints_of(pool=shape.engine_pool.name))
    services = len(shape.endpoints_of(pool=shape.service_pool.name))
    return (
        f"{shape.name.value}: {len(shape.routers)} routers in {domains};"
        f" {engines} engines, {services} services,"
        f" {len(shape.accounts)} client accounts\n"
        f"sending {requests} calls of returning chats; one engine leaves meanwhile"
    )


def _json_line(*, summary: Summary) -> str:
    content = {
        "requests": summary.requests,
        "completed": summary.completed,
        "reuse": round(summary.reuse, 3),
        "skew_p99": round(summary.skew.p99, 3),
        "control_bytes_per_second": round(summary.control_bytes_per_second),
    }
    return orjson.dumps(content).decode()


def _text(*, result: DemoResult) -> str:
    summary = result.summary
    other = f"{summary.not_run} not run, {summary.unknown} unknown"
    lines = [
        "",
        f"answers whole  {summary.completed} of {summary.requests}"
        f" ({other}, {summary.damaged} damaged, {summary.doubled} run twice)",
        f"engine left    {result.left}, drained by its record, then stopped",
        f"reuse          {summary.reuse:.2f} of {summary.returning} returning turns"
        " whose cache still existed",
        f"skew           p99 {summary.skew.p99:.2f}, mean {summary.skew.mean:.2f}"
        f" (largest load over mean load, {summary.skew.samples} samples)",
        f"control        {summary.control_bytes_per_second:.0f} bytes/s"
        " at the router that sent most",
        f"latency        p50 {summary.latency.p50:.2f} s,"
        f" p99 {summary.latency.p99:.2f} s",
        "",
        "some placement decisions:",
        *(f"  {decision}" for decision in result.decisions),
    ]
    return "\n".join(lines)
