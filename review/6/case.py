"""One client's number of prompt tokens ends routers, again and again."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from clients import Clients  # noqa: E402
from deployment import Deployment, running  # noqa: E402
from playing import Record, main  # noqa: E402

TROUBLE_AT, ODD_SECONDS, END_AT = 8.0, 60.0, 72.0
"""Seconds of traffic until the odd client comes, for how long it asks, and seconds of
traffic until the last request."""

ODD_PER_SECOND = 40.0
"""Requests of the odd client to each router: it repeats at once and often."""

NO_TOKENS = 2**64 - 1
"""What a program states that writes -1 as an unsigned number."""

MIN_MACHINES, MAX_OWN_ENDS = 2, 3
"""Machines, and own ends on each of them, that are a fault by the rule."""


def odd_prompt() -> str:
    """Return a prompt of two parts, the first of which has an unknown length."""
    first, last = random.getrandbits(32), random.getrandbits(32)
    return f"{first:08x}:{NO_TOKENS},{last:08x}:100"


async def send_odd_requests(deployment: Deployment, clients: Clients) -> None:
    """Send the odd requests; nobody counts what becomes of them."""
    tasks: list[asyncio.Task[None]] = []
    for _ in range(round(ODD_SECONDS * ODD_PER_SECOND)):
        for router in deployment.fleet.callers:
            stream = clients.stream(odd_prompt(), tokens=100, router=router)
            tasks.append(asyncio.create_task(stream))
        await asyncio.sleep(1 / ODD_PER_SECOND)
    await asyncio.wait(tasks)


async def play(record: Record) -> bool:
    """Play the case and return whether the rule was broken."""
    async with running() as deployment:
        fleet = deployment.fleet
        odd = Clients(deployment=deployment, record=record)
        usual = Clients(deployment=deployment, record=record)
        platform = asyncio.create_task(fleet.restart_ended())
        traffic = asyncio.create_task(usual.send(seconds=END_AT))
        await asyncio.sleep(TROUBLE_AT)
        if record.trouble:
            record.say("a client states a number of tokens that it does not know")
            await send_odd_requests(deployment, odd)
        await traffic
        platform.cancel()
        usual.note_runs(deployment)
        errors = fleet.errors()
    for number, times in enumerate(fleet.own_ends):
        ended = ", ".join(f"{record.since_start(each):.1f}" for each in times)
        record.say(f"router {number} ended by itself {len(times)} times: {ended} s")
        record.say(f"errors that router {number} wrote: {errors[number] or 'none'}")
    note_cut(usual=usual, deployment=deployment, record=record)
    ends = [len(times) for times in fleet.own_ends]
    return sum(each >= MAX_OWN_ENDS for each in ends) >= MIN_MACHINES


def note_cut(*, usual: Clients, deployment: Deployment, record: Record) -> None:
    """Tell what usual clients lost."""
    ran = {run.attempt for runner in deployment.runners for run in runner.runs}
    cut = [
        each
        for each in usual.all
        if not each.whole and not each.timed_out and each.attempt in ran
    ]
    record.say(
        f"requests of usual clients: {len(usual.all)}; passed on to a sound runner and "
        f"cut without a whole answer: {len(cut)}"
    )


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
