"""A foreign entry in the store ends every router that starts."""

from __future__ import annotations

import asyncio
import collections
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
from runner import Run, Runner, configuration, route  # noqa: E402
from store import Store  # noqa: E402

if TYPE_CHECKING:
    from fleet import Fleet, Router

ZONES = ["sitio-antigua", "sitio-antigua", "sitio-chimal", "sitio-escuintla"]

RESTART_SECONDS = 0.5
"""Seconds after which the platform starts a process again that has ended."""

WATCH_SECONDS = 15.0
"""Seconds for which a restarted machine is watched."""

MAX_OWN_ENDS = 3
"""Own ends of one machine's processes that make it count, by the rule."""

MIN_MACHINES = 2
"""Machines with so many own ends that break the rule."""

FOREIGN_ENTRY = {
    "service": "flota-modelo",
    "address": "10.\N{REPLACEMENT CHARACTER}.0.9:8080",
    "zone": "sitio-chimal",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "unified",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
}
"""An entry of another writer, whose address can't be read."""


async def restart(case: Case, fleet: Fleet, router: Router, store: int) -> int:
    """Stop a router as planned and keep it running; return its own ends."""
    record = case.record
    assert router.process is not None
    router.send(signal.SIGTERM)
    record.say(f"{router.name} gets SIGTERM, as planned")
    while router.alive:
        await asyncio.sleep(0.05)
    record.say(f"{router.name} ended with exit code {router.process.returncode}")
    await asyncio.sleep(RESTART_SECONDS)
    fleet.restart(router, store=store)
    record.say(f"{router.name} is started again")
    own_ends = 0
    end = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < end:
        if not router.alive:
            own_ends += 1
            code = router.process.returncode
            record.say(f"{router.name} ended by itself, exit code {code}")
            await asyncio.sleep(RESTART_SECONDS)
            fleet.restart(router, store=store)
        await asyncio.sleep(0.05)
    ready = await router.is_ready()
    record.say(f"{router.name} ended {own_ends} times by itself; ready: {ready}")
    return own_ends


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    record = case.record
    store = Store()
    await store.server.start()
    runs: list[Run] = []
    for number, zone in enumerate(ZONES[1:]):
        await Runner(
            name=f"i-{number}",
            service="flota-modelo",
            zone=zone,
            store=store,
            runs=runs,
            engine=True,
        ).start()
    routes = [route(prefix="/alta/", service="flota-modelo", kind="non_idempotent")]
    store.put(
        "op",
        "config",
        configuration(
            version=3, routes=routes, services=["flota-modelo"], tenants=TENANTS
        ),
    )
    fleet = case.fleet(zones=ZONES)
    fleet.start(stores=[store.server.port] * len(ZONES))
    if not await wait_ready(fleet.routers):
        raise CannotRun("the routers did not get ready")
    if case.trouble:
        store.put("servers", "x-91", FOREIGN_ENTRY)
        record.say(f"another writer's entry: {FOREIGN_ENTRY}")
    await asyncio.sleep(2.0)
    callers = Callers(record=record)
    for _ in range(20):
        for router in fleet.routers:
            await callers.send(router=router, target="/alta/2f")
    statuses = collections.Counter(each.status for each in callers.answers.values())
    record.say(f"answers of the running routers: {dict(statuses)}")
    own_ends = [
        await restart(case, fleet, router, store.server.port)
        for router in fleet.routers[:3]
    ]
    record.say(f"own ends of the three machines that were restarted: {own_ends}")
    return sum(ends >= MAX_OWN_ENDS for ends in own_ends) >= MIN_MACHINES


run_case(play, folder=FOLDER)
