"""Streams that were accepted can't be taken up again once all routers were killed."""

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
from runner import Run, Runner, configuration, route  # noqa: E402
from store import Store  # noqa: E402

if TYPE_CHECKING:
    from fleet import Router

ZONES = [
    "prairie-west-a",
    "prairie-west-a",
    "prairie-west-b",
    "prairie-west-b",
    "prairie-west-c",
    "prairie-west-c",
]

OPTIONS = {
    "terms": [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "health",
        "pool",
        "engine",
        "stream",
        "tenants",
        "places",
        "pressure",
        "platform",
    ],
    "leaving_ms": 3000,
    "cold": {"multiple": 1.5, "allowance": 5},
    "repeats": {"share": 0.2, "allowance": 158, "window_seconds": 10},
}
"""Settings of the deployment that differ from the other cases."""

STREAMS = 18
"""Streams of callers; the rule counts from 12 on."""

EVENTS = 200
EVENT_SECONDS = 0.05

CALM_SECONDS = 26.0
"""Seconds from the start to the streams: the deployment is in use for a while."""

BREAK_SECONDS = 1.5
"""Seconds from the beginning of the streams until they break off."""

DOWN_SECONDS = 0.5
"""Seconds until the platform starts the routers again."""

IN_TOUCH_SECONDS = 4.0
"""`stableWindowMs`: so long after their start machines are in touch."""

RESUME_SECONDS = 5.0
"""Seconds from the break until the callers go on. They abandon a stream after a gap of
four times the objective, which is 6.18 s."""

DEADLINE_MS = 12363
TARGET = "/lohu930/2f"


def prompt(number: int) -> dict[str, str]:
    """Return the headers of a prompt with a shared part and one of its own."""
    return {
        "X-Dotterelpaddle-Model": "m",
        "X-Dotterelpaddle-Token-Count": "1460,80",
        "X-Dotterelpaddle-Prompt-Prefix": f"5c1e07a2:800,{number:08x}:250",
    }


class Stream:
    """A stream as its caller sees it, over all its tries."""

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.first_attempt = ""
        self.text = b""

    @property
    def last_id(self) -> int:
        """Id of the last whole event, 0 for none."""
        ids = [
            int(line[3:])
            for line in self.text.decode().split("\n")
            if line.startswith("id:")
        ]
        return max(ids, default=0)

    def add(self, part: bytes) -> None:
        """Take in a part of the text."""
        self.text += part


async def begin(
    *, callers: Callers, router: Router, stream: Stream, give_up: float | None
) -> None:
    """Begin a stream, and give it up after some seconds."""
    call = callers.send(
        router=router,
        target=TARGET,
        deadline_ms=DEADLINE_MS,
        headers=prompt(stream.number),
        on_part=stream.add,
        give_up=give_up,
    )
    stream.first_attempt, _ = await call


async def resume(*, callers: Callers, router: Router, stream: Stream) -> bool:
    """Take a stream up again; return whether it goes on."""
    before = stream.last_id
    await callers.send(
        router=router,
        target=TARGET,
        deadline_ms=DEADLINE_MS - int(1000 * (BREAK_SECONDS + RESUME_SECONDS)),
        headers={
            **prompt(stream.number),
            "Last-Event-Id": str(before),
            "Resumes": stream.first_attempt,
        },
        on_part=stream.add,
        give_up=2.0,
    )
    return stream.last_id > before


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    record = case.record
    store = Store()
    await store.server.start()
    runs: list[Run] = []
    for number, zone in enumerate(ZONES[1::2]):
        await Runner(
            name=f"i-{number}",
            service="form-model",
            zone=zone,
            store=store,
            runs=runs,
            events=EVENTS,
            event_seconds=EVENT_SECONDS,
            engine=True,
        ).start()
    routes = [
        route(
            prefix="/lohu930/",
            service="form-model",
            kind="stream",
            timeout_ms=DEADLINE_MS,
            slo_ms=1545,
            attempts=2,
            sticky=True,
            streamResume=True,
            gapTargetMs=500,
        )
    ]
    store.put(
        "op",
        "config",
        configuration(
            version=3, routes=routes, services=["form-model"], tenants=TENANTS
        ),
    )
    fleet = case.fleet(zones=ZONES)
    fleet.start(stores=[store.server.port] * len(ZONES), options=OPTIONS)
    if not await wait_ready(fleet.routers):
        raise CannotRun("the routers did not get ready")
    await asyncio.sleep(CALM_SECONDS)

    callers = Callers(record=record)
    streams = [Stream(number=number) for number in range(STREAMS)]
    routers = [fleet.routers[number % len(ZONES)] for number in range(STREAMS)]
    give_up = None if case.trouble else BREAK_SECONDS
    tasks = [
        asyncio.ensure_future(
            begin(callers=callers, router=router, stream=stream, give_up=give_up)
        )
        for router, stream in zip(routers, streams, strict=True)
    ]
    await asyncio.sleep(BREAK_SECONDS)
    broke_at = time.monotonic()
    if case.trouble:
        for router in fleet.routers:
            router.send(signal.SIGKILL)
        record.say("all routers are killed")
    await asyncio.gather(*tasks)
    begun = sum(stream.last_id > 0 for stream in streams)
    record.say(f"{begun} of {STREAMS} streams had begun and broke off")
    if begun < STREAMS:
        raise CannotRun("not all streams had begun")
    if case.trouble:
        await asyncio.sleep(broke_at + DOWN_SECONDS - time.monotonic())
        for router in fleet.routers:
            router.end()
            fleet.restart(router, store=store.server.port)
        record.say("all routers are started again")
    await asyncio.sleep(broke_at + RESUME_SECONDS - time.monotonic())
    if not await wait_ready(fleet.routers, seconds=1.0):
        raise CannotRun("the routers did not come back")
    record.say(f"the streams are taken up, {IN_TOUCH_SECONDS} s after the start")

    new = [Stream(number=STREAMS + number) for number in range(STREAMS)]
    went_on, *_ = await asyncio.gather(
        asyncio.gather(
            *(
                resume(callers=callers, router=router, stream=stream)
                for router, stream in zip(routers[::-1], streams, strict=True)
            )
        ),
        *(
            begin(callers=callers, router=router, stream=stream, give_up=2.0)
            for router, stream in zip(routers, new, strict=True)
        ),
    )
    share = sum(went_on) / STREAMS
    new_share = sum(stream.last_id > 0 for stream in new) / STREAMS
    record.say(
        f"of {STREAMS} streams that were taken up {sum(went_on)} went on, "
        f"of {STREAMS} new streams {round(new_share * STREAMS)} began"
    )
    return share < new_share / 2


run_case(play, folder=FOLDER)
