"""Count doubled runs, false refusals and damaged answers under mixed faults.

A whole fleet in one process: platform, three routers, five engines, three plain
services. Every count of runs comes from the stand-ins, every check of an answer
from the text that it must have. Four parts:

- `mixed`: all faults at once, engines and routers that die, links that are cut.
- `rolling`: each router is restarted gracefully under load, without faults.
- `storm`: every service refuses, to see how much the retries add.
- `claims`: calls that run at most once, as fast as the routers take them, to see
  how many writes of the platform's table each one costs.

One JSON line is printed.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from bench._outcome_trouble import (
    cause_trouble,
    switch_faults_off,
    switch_faults_on,
)
from dotterelpaddle.backing.interface import TableName
from dotterelpaddle.fleet.balancer import InTurn, run_balancer, until_ready
from dotterelpaddle.fleet.calls import Caller
from dotterelpaddle.fleet.client import Answer, ServiceCall, open_client
from dotterelpaddle.fleet.conversations import ConversationSizes
from dotterelpaddle.fleet.fleet import run_fleet
from dotterelpaddle.fleet.load import LoadPlan, LoadRun
from dotterelpaddle.fleet.options import FleetOptions
from dotterelpaddle.fleet.shapes import ShapeName, shape_of
from dotterelpaddle.fleet.summary import NO_SKEW, sum_up
from dotterelpaddle.fleet.turns import CallKind, Turn
from dotterelpaddle.ids import AccountId
from dotterelpaddle.pipeline import Outcome
from dotterelpaddle.standins.faults import FaultKind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from dotterelpaddle.fleet.balancer import Balancer
    from dotterelpaddle.fleet.client import Client
    from dotterelpaddle.fleet.fleet import Fleet

MIXED_REQUESTS = 5_000
ROLLING_REQUESTS = 800
STORM_REQUESTS = 400
STORM_CALLERS = 20
CLAIMS = 600
CLAIM_CALLERS = 60
NOTES = 300
"""Non-idempotent calls without a key, sent once by their caller."""

RATE = 100.0
"""Calls a second of the load tool."""

TIMEOUT = 6.0
"""Seconds that a caller waits."""

MAX_STORM_RATIO = 1.2
"""Calls that endpoints may see for each call of a caller."""

POLL = 0.02
START_TIMEOUT = 20.0


@dataclass(kw_only=True)
class Bench:
    """What the parts of the bench share.

    Attributes:
        fleet: The fleet.
        balancer: Sends to routers that are ready.
        client: Sends calls.
    """

    fleet: Fleet
    balancer: Balancer
    client: Client

    def caller(self, *, entries: Any, seed: int, attempts: int) -> Caller:
        """Make a caller of single calls."""
        return Caller(
            shape=self.fleet.shape,
            entries=entries,
            client=self.client,
            caches=None,
            attempts=attempts,
            timeout=TIMEOUT,
            seed=seed,
        )

    def load(self, *, requests: int, seed: int) -> LoadRun:
        """Make a run of the load tool."""
        plan = LoadPlan(
            requests=requests,
            rate=RATE,
            stream_share=0.6,
            service_share=0.3,
            timeout=TIMEOUT,
            sizes=ConversationSizes(first_prompt=60, next_prompt=12, answer=16),
            seed=seed,
        )
        return LoadRun(
            plan=plan,
            shape=self.fleet.shape,
            entries=self.balancer,
            client=self.client,
        )


def main() -> None:
    """Run the bench and print one JSON line."""
    began = time.monotonic()
    line = anyio.run(_run)
    line["seconds"] = round(time.monotonic() - began, 1)
    print(json.dumps(line))


async def _run() -> dict[str, Any]:
    async with _open() as bench:
        mixed = await _mixed(bench=bench)
        rolling = await _rolling(bench=bench)
        storm = await _storm(bench=bench)
        claims = await _claims(bench=bench)
    wrong = (
        mixed["doubled"]
        + mixed["unkeyed_doubled"]
        + claims["doubled"]
        + mixed["false_not_run"]
        + mixed["damaged"]
        + mixed["untold"]
        + storm["false_not_run"]
        + rolling["cut"]
        + rolling["damaged"]
    )
    return {
        "bench": "outcomes",
        "mixed": mixed,
        "rolling": rolling,
        "storm": storm,
        "claims": claims,
        "target": {
            "requests": MIXED_REQUESTS,
            "doubled": 0,
            "false_not_run": 0,
            "damaged": 0,
            "untold": 0,
            "cut": 0,
            "storm_ratio": MAX_STORM_RATIO,
        },
        "met": wrong == 0 and storm["ratio"] < MAX_STORM_RATIO,
    }


@asynccontextmanager
async def _open() -> AsyncIterator[Bench]:
    shape = shape_of(name=ShapeName.PRAIRIE)
    async with (
        run_fleet(shape=shape, options=FleetOptions()) as fleet,
        run_balancer(routers=fleet.entries) as balancer,
        open_client() as client,
    ):
        with anyio.fail_after(START_TIMEOUT):
            for router in fleet.routers:
                await until_ready(router=partial(fleet.entry_of, router=router))
        yield Bench(fleet=fleet, balancer=balancer, client=client)


async def _mixed(*, bench: Bench) -> dict[str, Any]:
    run = bench.load(requests=MIXED_REQUESTS, seed=1)
    notes: list[Turn] = []
    switch_faults_on(fleet=bench.fleet)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_send_notes, bench, run, notes)
        tasks.start_soon(
            partial(cause_trouble, fleet=bench.fleet, run=run, requests=MIXED_REQUESTS)
        )
        await run.run()
    switch_faults_off(fleet=bench.fleet)
    turns = run.turns + notes
    return {
        **_counts(turns=turns, fleet=bench.fleet, seconds=run.seconds),
        "unkeyed_doubled": _unkeyed_doubled(notes=notes, fleet=bench.fleet),
        "faults": _hits(fleet=bench.fleet),
    }


async def _rolling(*, bench: Bench) -> dict[str, Any]:
    """Restart each router gracefully while the load tool runs."""
    run = bench.load(requests=ROLLING_REQUESTS, seed=2)
    restarts = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run.run)
        for router in tuple(bench.fleet.routers):
            await anyio.sleep(0.5)
            await bench.fleet.stop(name=router)
            await bench.fleet.start(name=router)
            await until_ready(router=partial(bench.fleet.entry_of, router=router))
            restarts += 1
        during = len(run.turns)
    cut = sum(
        attempt.outcome is None or attempt.outcome is Outcome.UNKNOWN
        for turn in run.turns
        for attempt in turn.attempts
    )
    counts = _counts(turns=run.turns, fleet=bench.fleet, seconds=run.seconds)
    return {**counts, "restarts": restarts, "during_restarts": during, "cut": cut}


async def _storm(*, bench: Bench) -> dict[str, Any]:
    """Let every service refuse and count what they see."""
    services = bench.fleet.services.values()
    for service in services:
        service.faults.switch_on(kind=FaultKind.REFUSE)
    before = _refusals(fleet=bench.fleet)
    entries = InTurn(addresses=tuple(bench.fleet.entries().values()))
    caller = bench.caller(entries=entries, seed=3, attempts=1)
    turns = [_turn(kind=CallKind.SERVICE) for _ in range(STORM_REQUESTS)]
    limiter = anyio.CapacityLimiter(STORM_CALLERS)

    async def _send(turn: Turn, path: str) -> None:
        call = _service_call(bench=bench, path=path, idempotent=True)
        async with limiter:
            await caller.send_service(turn=turn, call=call)

    async with anyio.create_task_group() as tasks:
        for number, turn in enumerate(turns):
            tasks.start_soon(_send, turn, f"storm/{number}")
    seen = _refusals(fleet=bench.fleet) - before
    for service in services:
        service.faults.switch_off()
    return {
        "offered": STORM_REQUESTS,
        "seen": seen,
        "ratio": round(seen / STORM_REQUESTS, 3),
        "told_not_run": _told(turns=turns, outcome=Outcome.NOT_RUN),
        "false_not_run": _false_not_run(turns=turns, fleet=bench.fleet),
    }


async def _claims(*, bench: Bench) -> dict[str, Any]:
    """Make keyed calls as fast as they are taken and count the table's commits."""
    table = bench.fleet.platform.tables[TableName.CLAIMS.value]
    before = table.head
    entries = InTurn(addresses=tuple(bench.fleet.entries().values()))
    caller = bench.caller(entries=entries, seed=6, attempts=1)
    turns = [_turn(kind=CallKind.KEYED) for _ in range(CLAIMS)]
    limiter = anyio.CapacityLimiter(CLAIM_CALLERS)

    async def _send(turn: Turn, path: str) -> None:
        call = _service_call(bench=bench, path=path, idempotent=False, key=path)
        async with limiter:
            await caller.send_service(turn=turn, call=call)

    began = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for number, turn in enumerate(turns):
            tasks.start_soon(_send, turn, f"claims/{number}")
    seconds = time.monotonic() - began
    counts = sum_up(turns=turns, standins=bench.fleet.standins, skew=NO_SKEW, seconds=1)
    commits = table.head - before
    return {
        "calls": CLAIMS,
        "completed": counts.completed,
        "doubled": counts.doubled,
        "calls_per_second": round(CLAIMS / seconds),
        "commits_per_second": round(commits / seconds),
        "commits_per_call": round(commits / CLAIMS, 3),
        "latency_p50": round(counts.latency.p50, 3),
    }


async def _send_notes(bench: Bench, run: LoadRun, notes: list[Turn]) -> None:
    """Send non-idempotent calls without a key, each once, beside the load."""
    caller = bench.caller(entries=bench.balancer, seed=4, attempts=1)
    async with anyio.create_task_group() as tasks:
        for number in range(NOTES):
            while run.started < number * MIXED_REQUESTS // NOTES:
                await anyio.sleep(POLL)
            turn = _turn(kind=CallKind.KEYED)
            notes.append(turn)
            call = _service_call(bench=bench, path=f"notes/{number}", idempotent=False)
            tasks.start_soon(partial(caller.send_service, turn=turn, call=call))


def _turn(*, kind: CallKind) -> Turn:
    return Turn(
        account=AccountId(""), kind=kind, sent_at=time.monotonic(), answer=Answer()
    )


def _service_call(
    *, bench: Bench, path: str, idempotent: bool, key: str = ""
) -> ServiceCall:
    return ServiceCall(
        token=bench.fleet.shape.accounts[0].token,
        service=bench.fleet.shape.service_pool.service,
        path=path,
        idempotent=idempotent,
        idempotency_key=key,
        timeout=TIMEOUT,
    )


def _counts(*, turns: list[Turn], fleet: Fleet, seconds: float) -> dict[str, Any]:
    summary = sum_up(turns=turns, standins=fleet.standins, skew=NO_SKEW, seconds=1)
    return {
        "requests": summary.requests,
        "completed": summary.completed,
        "not_run": summary.not_run,
        "unknown": summary.unknown,
        "unknown_idempotent": _unknown_idempotent(turns=turns),
        "untold": _untold(turns=turns),
        "damaged": summary.damaged,
        "doubled": summary.doubled,
        "told_not_run": _told(turns=turns, outcome=Outcome.NOT_RUN),
        "false_not_run": summary.false_not_run,
        "retried_by_callers": summary.retried,
        "latency_p50": round(summary.latency.p50, 3),
        "latency_p99": round(summary.latency.p99, 3),
        "seconds": round(seconds, 1),
    }


def _unknown_idempotent(*, turns: list[Turn]) -> int:
    """Count calls that could have been repeated and still have no answer."""
    return sum(not turn.completed and turn.kind is not CallKind.KEYED for turn in turns)


def _told(*, turns: list[Turn], outcome: Outcome) -> int:
    return sum(
        attempt.outcome is outcome for turn in turns for attempt in turn.attempts
    )


def _untold(*, turns: list[Turn]) -> int:
    """Count answers, of connections that did not break, without an outcome."""
    return sum(
        attempt.status != 0 and attempt.outcome is None and not attempt.error
        for turn in turns
        for attempt in turn.attempts
    )


def _unkeyed_doubled(*, notes: Iterable[Turn], fleet: Fleet) -> int:
    runs: Counter[str] = Counter()
    for standin in fleet.standins:
        runs.update(standin.runs.by_request)
    return sum(
        runs[attempt.request_id] > 1 for turn in notes for attempt in turn.attempts
    )


def _false_not_run(*, turns: list[Turn], fleet: Fleet) -> int:
    counts = sum_up(turns=turns, standins=fleet.standins, skew=NO_SKEW, seconds=1)
    return counts.false_not_run


def _refusals(*, fleet: Fleet) -> int:
    return sum(
        each.faults.hits.get(FaultKind.REFUSE, 0) for each in fleet.services.values()
    )


def _hits(*, fleet: Fleet) -> dict[str, int]:
    hits: Counter[str] = Counter()
    for standin in (*fleet.standins, fleet.platform):
        hits.update({kind.value: count for kind, count in standin.faults.hits.items()})
    return dict(sorted(hits.items()))
