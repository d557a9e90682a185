"""Runners that have left unannounced get requests for longer than `drainMs`."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from callers import TENANTS, Callers  # noqa: E402
from case import CannotRun, Case, run_case  # noqa: E402
from fleet import wait_ready  # noqa: E402
from proxy import Proxy  # noqa: E402
from runner import Run, Runner, configuration, route  # noqa: E402
from store import Store  # noqa: E402

if TYPE_CHECKING:
    from fleet import Fleet
    from http1 import Request

ZONES = [
    "regina-hall",
    "regina-hall",
    "regina-hall",
    "saskatoon-hall",
    "winnipeg-hall",
    "winnipeg-hall",
]
RUNNER_ZONES = ["regina-hall", "saskatoon-hall", "winnipeg-hall"]

ROUNDS = 5
SETTLE_SECONDS = 5.0
"""Calm seconds before each round, more than `stableWindowMs`."""

OBSERVE_SECONDS = 1.5
"""Seconds for which the script watches which router reads the store."""

DRAIN_SECONDS = 2.0
"""`drainMs`: so long after the store has confirmed that a runner leaves it may still
get requests."""

MARGIN_SECONDS = 0.05
"""Allowance beyond the bound, for the clocks of this script."""

KILL_LEAD_SECONDS = 0.1
"""Seconds from the kill of the router to the removal of the entries."""

DOWN_SECONDS = 3.5
"""Seconds for which the killed router is away."""

LINGER_SECONDS = 2.2
"""Seconds for which runners go on serving: `drainMs` and a little longer."""

WATCH_SECONDS = 3.5
WORK_SECONDS = 0.09


async def work(request: Request) -> bytes:
    """Work on a request as long as the deployment's sheet says."""
    await asyncio.sleep(WORK_SECONDS)
    return request.headers["x-dotterelpaddle-attempt-id"].encode()


async def find_reader(proxies: list[Proxy]) -> int:
    """Return the number of the router that reads the store most."""
    before = [proxy.passed for proxy in proxies]
    await asyncio.sleep(OBSERVE_SECONDS)
    passed = [proxy.passed - each for proxy, each in zip(proxies, before, strict=True)]
    return max(range(len(proxies)), key=lambda number: passed[number])


async def play_round(
    case: Case,
    fleet: Fleet,
    callers: Callers,
    proxies: list[Proxy],
    runners: list[Runner],
) -> int:
    """Take all runners of a service away; return what reached them too late."""
    record = case.record
    reader = await find_reader(proxies)
    killed = fleet.routers[reader]
    if case.trouble:
        killed.send(signal.SIGKILL)
        record.say(f"{killed.name} is killed, the router that reads the store")
        await asyncio.sleep(KILL_LEAD_SECONDS)
    gone_at = time.monotonic()
    for runner in runners:
        if case.trouble:
            runner.unregister()
        else:
            runner.drain()
    how = "their entries are removed" if case.trouble else "they report draining"
    record.say(f"{[each.name for each in runners]} leave: {how}, they go on serving")

    async def _call(number: int) -> None:
        while time.monotonic() < gone_at + WATCH_SECONDS:
            await callers.send(router=fleet.routers[number], target="/puxa403/2f")
            await asyncio.sleep(0.02)

    async def _exit() -> None:
        await asyncio.sleep(LINGER_SECONDS)
        at_work = sum(each.running for each in runners)
        record.say(f"the runners exit with {at_work} requests at work")
        for runner in runners:
            runner.close()
            if not case.trouble:
                runner.unregister()

    others = [
        number
        for number in range(len(ZONES))
        if not (case.trouble and number == reader)
    ]
    await asyncio.gather(_exit(), *map(_call, others))
    bound = gone_at + DRAIN_SECONDS + MARGIN_SECONDS
    late = [
        (at, attempt, runner.name)
        for runner in runners
        for at, attempt in runner.arrivals
        if at > bound
    ]
    for at, attempt, name in late:
        record.line(f"{attempt} reached {name} {at - gone_at:.3f} s after it had left")
    lost = sum(
        callers.answers[attempt].status not in (200, 503) for _, attempt, _ in late
    )
    last = max((at for each in runners for at, _ in each.arrivals), default=gone_at)
    record.say(
        f"the last request reached them {last - gone_at:.2f} s after they had left; "
        f"{len(late)} too late, {lost} of these lost when they ended"
    )
    if case.trouble:
        await asyncio.sleep(max(0.0, DOWN_SECONDS - (time.monotonic() - gone_at)))
        killed.end()
        fleet.restart(killed, store=proxies[reader].port)
        if not await wait_ready(fleet.routers):
            raise CannotRun("the killed router did not come back")
    return len(late)


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    store = Store()
    await store.server.start()
    runs: list[Run] = []
    store.put(
        "op",
        "config",
        configuration(
            version=3,
            routes=[
                route(
                    prefix="/puxa403/", service="booth-records", kind="non_idempotent"
                )
            ],
            services=["booth-records"],
            tenants=TENANTS,
        ),
    )
    proxies = [Proxy(target=store.server.port) for _ in ZONES]
    for proxy in proxies:
        await proxy.start()
    fleet = case.fleet(zones=ZONES)
    fleet.start(stores=[proxy.port for proxy in proxies])
    if not await wait_ready(fleet.routers):
        raise CannotRun("the routers did not get ready")
    callers = Callers(record=case.record)
    late = 0
    for number in range(ROUNDS):
        runners = [
            Runner(
                name=f"i-{number}-{zone}",
                service="booth-records",
                zone=zone,
                store=store,
                runs=runs,
                work=work,
            )
            for zone in RUNNER_ZONES
        ]
        for runner in runners:
            await runner.start()
        await asyncio.sleep(SETTLE_SECONDS)
        late += await play_round(case, fleet, callers, proxies, runners)
    case.record.say(f"requests that reached a runner too late: {late}")
    return late > 0


run_case(play, folder=FOLDER)
