"""A runner that has started again, with its clock set back, leaves unnoticed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from callers import TENANTS, Callers  # noqa: E402
from case import CannotRun, Case, run_case  # noqa: E402
from fleet import wait_ready  # noqa: E402
from runner import Run, Runner, configuration, route  # noqa: E402
from store import Store  # noqa: E402

if TYPE_CHECKING:
    from http1 import Request

ZONES = ["sitio-antigua", "sitio-antigua", "sitio-chimal", "sitio-escuintla"]

STEP_MS = 2000
"""By how much the clock of one runner's machine jumps back."""

DOWN_SECONDS = 0.5
"""Seconds from the end of the runner to its next start."""

SETTLE_SECONDS = 5.0
"""Calm seconds before each step, more than `stableWindowMs`."""

DRAIN_SECONDS = 2.0
"""`drainMs`: so long after the store has confirmed that a runner drains it may still
get requests."""

MARGIN_SECONDS = 0.1
"""Allowance beyond the bound, for the clocks of this script."""

LINGER_SECONDS = 4.0
"""Seconds for which the runner serves after its report: a little over `drainMs`."""

WATCH_SECONDS = 6.0
WORK_SECONDS = 0.09


async def work(request: Request) -> bytes:
    """Work on a request for a while."""
    await asyncio.sleep(WORK_SECONDS)
    return request.headers["x-dotterelpaddle-attempt-id"].encode()


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    record = case.record
    store = Store()
    await store.server.start()
    runs: list[Run] = []

    def _runner(name: str, zone: str, born: int) -> Runner:
        return Runner(
            name=name,
            service="app-cuadrillas",
            zone=zone,
            store=store,
            runs=runs,
            work=work,
            born=born,
        )

    def _now_ms() -> int:
        return int(time.time() * 1000)

    runners = [
        _runner(f"i-{number}", zone, _now_ms()) for number, zone in enumerate(ZONES[1:])
    ]
    for runner in runners:
        await runner.start()
    store.put(
        "op",
        "config",
        configuration(
            version=3,
            routes=[
                route(prefix="/alta/", service="app-cuadrillas", kind="non_idempotent")
            ],
            services=["app-cuadrillas"],
            tenants=TENANTS,
        ),
    )
    fleet = case.fleet(zones=ZONES)
    fleet.start(stores=[store.server.port] * len(ZONES))
    if not await wait_ready(fleet.routers):
        raise CannotRun("the routers did not get ready")

    first_born = _now_ms()
    first = runners[0]
    first.close()
    first = _runner(first.name, first.zone, first_born)
    await first.start()
    await asyncio.sleep(SETTLE_SECONDS)
    record.say(f"{first.name} runs, born {first_born}")

    port = first.address_port
    first.close()
    await asyncio.sleep(DOWN_SECONDS)
    born = first_born + int(DOWN_SECONDS * 1000)
    if case.trouble:
        born -= STEP_MS
        record.say(f"the clock of its machine jumps back by {STEP_MS} ms")
    else:
        born = _now_ms()
    second = _runner(first.name, first.zone, born)
    await second.start(port=port)
    record.say(f"{second.name} has ended and started again under its id, born {born}")
    await asyncio.sleep(SETTLE_SECONDS)

    second.drain()
    drained_at = time.monotonic()
    record.say(f"{second.name} reports draining")
    callers = Callers(record=record)

    async def _call(number: int) -> None:
        while time.monotonic() < drained_at + WATCH_SECONDS:
            await callers.send(router=fleet.routers[number], target="/alta/2f")
            await asyncio.sleep(0.02)

    async def _exit() -> None:
        await asyncio.sleep(LINGER_SECONDS)
        record.say(f"{second.name} exits with {second.running} requests at work")
        second.unregister()
        second.close()

    await asyncio.gather(_exit(), *map(_call, range(len(ZONES))))
    bound = drained_at + DRAIN_SECONDS + MARGIN_SECONDS
    late = [(at, attempt) for at, attempt in second.arrivals if at > bound]
    for at, attempt in late:
        record.line(f"{attempt} reached {second.name} {at - drained_at:.3f} s after it")
    lost = sum(callers.answers[each].status not in (200, 503) for _, each in late)
    record.say(
        f"{len(late)} of {len(callers.sent)} requests reached {second.name} later than "
        f"{DRAIN_SECONDS} s after its report; {lost} of them lost when it ended"
    )
    return bool(late)


run_case(play, folder=FOLDER)
