"""A runner that has left gets requests again after connections have gone silent."""

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

ROUNDS = 5
SETTLE_SECONDS = 6.0
"""Calm seconds before each round, twice `stableWindowMs`."""

STABLE_WINDOW_SECONDS = 3.0
"""`stableWindowMs`: so long after connections have gone silent machines are out of
touch."""

DRAIN_SECONDS = 2.0
"""`drainMs`: so long after the store has confirmed that a runner is gone it may still
get requests."""

MARGIN_SECONDS = 0.1
"""Allowance beyond the bounds, for the clocks of this script."""

LEAVE_SECONDS = 0.5
"""Seconds from the silence until the runner's entry is removed."""

LINGER_SECONDS = 4.0
"""Seconds for which the runner goes on serving then: `drainMs` and a little longer."""

WATCH_SECONDS = 6.5
WORK_SECONDS = 0.09


async def work(request: Request) -> bytes:
    """Work on a request as long as the deployment's sheet says."""
    await asyncio.sleep(WORK_SECONDS)
    return request.headers["x-dotterelpaddle-attempt-id"].encode()


async def play_round(
    case: Case, fleet: Fleet, callers: Callers, proxies: list[Proxy], runner: Runner
) -> int:
    """Let connections go silent and a runner leave; return what reached it too late."""
    record = case.record
    silent_at = time.monotonic()
    if case.trouble:
        counts = [proxy.silence() for proxy in proxies]
        record.say(f"open connections to the store go silent: {counts}")
    await asyncio.sleep(LEAVE_SECONDS)
    runner.unregister()
    gone_at = time.monotonic()
    record.say(f"{runner.name} leaves: its entry is removed, it goes on serving")

    async def _call(number: int) -> None:
        while time.monotonic() < silent_at + WATCH_SECONDS:
            await callers.send(router=fleet.routers[number], target="/puxa403/2f")
            await asyncio.sleep(0.02)

    async def _exit() -> None:
        await asyncio.sleep(LINGER_SECONDS)
        record.say(f"{runner.name} exits with {runner.running} requests at work")
        runner.close()

    await asyncio.gather(_exit(), *(_call(each) for each in range(len(ZONES))))
    in_touch_at = silent_at + STABLE_WINDOW_SECONDS if case.trouble else silent_at
    bound = max(gone_at + DRAIN_SECONDS, in_touch_at) + MARGIN_SECONDS
    late = [
        (at, attempt)
        for at, attempt in runner.arrivals
        if at > bound and callers.sent[attempt][0] > in_touch_at
    ]
    for at, attempt in late:
        record.line(
            f"{attempt} reached {runner.name} {at - gone_at:.3f} s after its removal "
            f"and {at - silent_at:.3f} s after the silence"
        )
    lost = [
        attempt
        for _, attempt in late
        if callers.answers[attempt].status not in (200, 503)
    ]
    last = max((at for at, _ in runner.arrivals), default=gone_at) - gone_at
    record.say(
        f"last request reached {runner.name} {last:.2f} s after its removal; "
        f"{len(late)} too late, {len(lost)} of them lost when it ended"
    )
    return len(late)


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    store = Store()
    await store.server.start()
    runs: list[Run] = []

    def _runner(name: str, zone: str) -> Runner:
        return Runner(
            name=name,
            service="booth-records",
            zone=zone,
            store=store,
            runs=runs,
            work=work,
        )

    runners = [_runner(f"i-{number}", zone) for number, zone in enumerate(ZONES[2:5])]
    for runner in runners:
        await runner.start()
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
        await asyncio.sleep(SETTLE_SECONDS)
        late += await play_round(case, fleet, callers, proxies, runners[0])
        runners = [*runners[1:], _runner(f"i-{number + 10}", runners[0].zone)]
        await runners[-1].start()
    case.record.say(f"requests that reached a runner too late: {late}")
    return late > 0


run_case(play, folder=FOLDER)
