"""Measure orders: a new version under load, and a holder that dies meanwhile.

A fleet of the Prairie shape serves returning chats while all engines are to load
another version, three times: by orders, by orders whose giver is killed at once,
and, as the baseline, by telling all engines at the same time. One JSON line is
printed.
"""

from __future__ import annotations

import json
import sys
import time
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.backing.interface import TableName
from dotterelpaddle.fleet.balancer import run_balancer, until_ready
from dotterelpaddle.fleet.client import open_client
from dotterelpaddle.fleet.fleet import run_fleet
from dotterelpaddle.fleet.load import LoadPlan, LoadRun
from dotterelpaddle.fleet.measures import quantile
from dotterelpaddle.fleet.operators import apply_records, record_of_endpoint
from dotterelpaddle.fleet.options import FleetOptions
from dotterelpaddle.fleet.records import NEW_SCHEMA, envelope
from dotterelpaddle.fleet.shapes import ShapeName, shape_of
from dotterelpaddle.fleet.verify import DAMAGED
from dotterelpaddle.ids import VersionId
from dotterelpaddle.records.model import RecordKind, Version
from dotterelpaddle.standins.engine import EngineSettings
from dotterelpaddle.standins.engine_state import OrderBody

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.fleet.fleet import Fleet
    from dotterelpaddle.ids import RouterId

    Change = Callable[[Fleet, "Watch"], Awaitable[None]]

LOAD_TIME = 2.0
"""Seconds that an engine needs to load a version once it has the weights."""

WEIGHT_BYTES = 500_000_000
"""Size of a version; the weight store gives 10^9 bytes a second."""

RATE = 60.0
"""Calls a second while versions change."""

FIRST_VERSION = VersionId("v-one")
SECOND_VERSION = VersionId("v-two")
THIRD_VERSION = VersionId("v-three")

POLL = 0.02
"""Seconds between two looks at the engines."""

TIMEOUT = 60.0
"""Seconds within which a change has to be complete."""

ENDLESS = 10**9


@dataclass(kw_only=True)
class Watch:
    """What a look at the engines shows while a version changes.

    Attributes:
        fewest_serving: Fewest engines that took requests at a time.
        seconds: From the accepted records to the last engine's change.
        takeover_seconds: From the kill to another holder, 0 without a kill.
        orders: Orders that engines carried out.
        calls: Calls that were sent and ended meanwhile.
        not_whole: Those of them whose caller has no whole answer.
        p99: 99th percentile of the seconds that whole answers took.
    """

    fewest_serving: int = ENDLESS
    seconds: float = 0.0
    takeover_seconds: float = 0.0
    orders: int = 0
    calls: int = 0
    not_whole: int = 0
    p99: float = 0.0


@dataclass(kw_only=True)
class Result:
    """What the bench measured.

    Attributes:
        engines: Engines of the pool.
        planned: The change under one holder.
        killed: The change whose holder was killed.
        at_once: The baseline.
        requests: Calls made over all.
        damaged: Answers that were told to be complete and are not.
        lease_writes_per_second: Writes to the table of leases, over all pools.
    """

    engines: int
    planned: Watch = field(default_factory=Watch)
    killed: Watch = field(default_factory=Watch)
    at_once: Watch = field(default_factory=Watch)
    requests: int = 0
    damaged: int = 0
    lease_writes_per_second: float = 0.0

    def content(self) -> dict[str, Any]:
        """Spell the result."""
        return {
            "bench": "orders",
            "engines": self.engines,
            "load_time": LOAD_TIME,
            "planned": _watch_content(watch=self.planned),
            "holder_killed": _watch_content(watch=self.killed),
            "all_at_once": _watch_content(watch=self.at_once),
            "requests": self.requests,
            "damaged": self.damaged,
            "lease_writes_per_second": round(self.lease_writes_per_second, 3),
        }


def main() -> None:
    """Run the measurement and print its result."""
    result = anyio.run(measure)
    json.dump(result.content(), sys.stdout)
    print()


async def measure() -> Result:
    """Change the version of all engines under load, twice."""
    options = FleetOptions(engine=EngineSettings(load_time=LOAD_TIME))
    async with run_fleet(shape=shape_of(name=ShapeName.PRAIRIE), options=options) as f:
        for router in f.routers:
            await until_ready(router=partial(f.entry_of, router=router))
        return await _measure(fleet=f)


async def _measure(*, fleet: Fleet) -> Result:
    result = Result(engines=len(fleet.engines))
    plan = LoadPlan(requests=ENDLESS, rate=RATE)
    async with (
        run_balancer(routers=fleet.entries) as balancer,
        open_client() as client,
    ):
        run = LoadRun(plan=plan, shape=fleet.shape, entries=balancer, client=client)
        async with anyio.create_task_group() as tasks:
            await _until(condition=lambda: _all_ordered(fleet=fleet))
            tasks.start_soon(run.run)
            result.planned = await _observe(fleet=fleet, run=run, change=_by_orders)
            result.lease_writes_per_second = await _lease_writes(fleet=fleet)
            result.killed = await _observe(fleet=fleet, run=run, change=_with_kill)
            result.at_once = await _observe(fleet=fleet, run=run, change=_at_once)
            run.stop()
    result.requests = len(run.turns)
    result.damaged = sum(turn.wholeness in DAMAGED for turn in run.turns)
    return result


async def _observe(*, fleet: Fleet, run: LoadRun, change: Change) -> Watch:
    watch = Watch()
    orders = _orders(fleet=fleet)
    first = len(run.turns)
    started = time.monotonic()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(partial(_sample, fleet=fleet, watch=watch))
        await change(fleet, watch)
        tasks.cancel_scope.cancel()
    watch.seconds = time.monotonic() - started
    watch.orders = _orders(fleet=fleet) - orders
    turns = [turn for turn in run.turns[first:] if turn.sent_at >= started]
    latencies = sorted(turn.answer.latency for turn in turns if turn.completed)
    watch.calls = len(turns)
    watch.not_whole = len(turns) - len(latencies)
    watch.p99 = quantile(ordered=latencies, share=0.99)
    return watch


async def _by_orders(fleet: Fleet, watch: Watch) -> None:
    await _write_records(fleet=fleet, version=FIRST_VERSION)
    await _until(condition=lambda: _versions(fleet=fleet) == {FIRST_VERSION})


async def _with_kill(fleet: Fleet, watch: Watch) -> None:
    before = _orders(fleet=fleet)
    holder = _holder(fleet=fleet)
    assert holder is not None
    await _write_records(fleet=fleet, version=SECOND_VERSION)
    await _until(condition=lambda: _orders(fleet=fleet) > before)
    await fleet.kill(name=holder)
    killed = time.monotonic()
    await _until(condition=lambda: _holder(fleet=fleet) is not None)
    watch.takeover_seconds = time.monotonic() - killed
    await _until(condition=lambda: _versions(fleet=fleet) == {SECOND_VERSION})


async def _at_once(fleet: Fleet, watch: Watch) -> None:
    await _write_records(fleet=fleet, version=THIRD_VERSION)
    for engine in fleet.engines.values():
        order = OrderBody(
            fencing=engine.state.fencing,
            model=engine.state.model,
            version=THIRD_VERSION,
        )
        engine.obey(order=order)
    await _until(condition=lambda: _versions(fleet=fleet) == {THIRD_VERSION})


async def _write_records(*, fleet: Fleet, version: VersionId) -> None:
    holder = _holder(fleet=fleet)
    router = next(name for name in fleet.running if name != holder)
    model = fleet.shape.engine_pool.model
    record = Version(name=version, model=model, weight_bytes=WEIGHT_BYTES)
    envelopes = [
        envelope(
            kind=RecordKind.VERSION, name=version, record=record, schema=NEW_SCHEMA
        )
    ]
    for name in fleet.engines:
        written = record_of_endpoint(fleet=fleet, endpoint=name)
        serves = {**written.spec["serves"], "version": version}
        envelopes.append(replace(written, spec={**written.spec, "serves": serves}))
    await apply_records(fleet=fleet, router=router, envelopes=tuple(envelopes))


async def _sample(*, fleet: Fleet, watch: Watch) -> None:
    while True:
        serving = sum(not engine.loading for engine in fleet.engines.values())
        watch.fewest_serving = min(watch.fewest_serving, serving)
        await anyio.sleep(POLL)


async def _lease_writes(*, fleet: Fleet) -> float:
    window = 10.0
    table = fleet.platform.tables[TableName.LEASES.value]
    before = table.head
    await anyio.sleep(window)
    return (table.head - before) / window


async def _until(*, condition: Callable[[], bool]) -> None:
    with anyio.fail_after(TIMEOUT):
        while not condition():
            await anyio.sleep(POLL)


def _holder(*, fleet: Fleet) -> RouterId | None:
    for name, router in fleet.running.items():
        if any(report.held for report in router.orders.report()):
            return name
    return None


def _all_ordered(*, fleet: Fleet) -> bool:
    return all(engine.orders_obeyed for engine in fleet.engines.values())


def _orders(*, fleet: Fleet) -> int:
    return sum(len(engine.orders_obeyed) for engine in fleet.engines.values())


def _versions(*, fleet: Fleet) -> set[str]:
    return {engine.state.version for engine in fleet.engines.values()}


def _watch_content(*, watch: Watch) -> dict[str, Any]:
    return {
        "fewest_serving": watch.fewest_serving,
        "seconds": round(watch.seconds, 2),
        "takeover_seconds": round(watch.takeover_seconds, 2),
        "orders": watch.orders,
        "calls": watch.calls,
        "not_whole": watch.not_whole,
        "p99": round(watch.p99, 3),
    }
