"""A runner whose answers have no end keeps routers from answering anybody."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
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

ZONES = ["regina-hall", "saskatoon-hall", "winnipeg-hall"]
MODEL_RUNNERS = 5
TROUBLE_SHARE = 0.45
"""Share of its streams to which the runner in trouble sends bytes without end."""

TROUBLE_SECONDS = 6.5
SPEED = 100_000_000
"""Bytes a second of one answer without end; the link of a machine bears 125 MB/s."""

CHUNK = b"x" * 65536
STREAMS_PER_SECOND = 20.0
RECORDS_PER_SECOND = 10.0
"""Requests a second of the other service, at each router."""

CALM_SECONDS = 5.0
WATCH_SECONDS = 16.0
STREAM_TIMEOUT_MS = 15000
EVENTS = 30
EVENT_SECONDS = 0.03
WORK_SECONDS = 0.06

TIMEOUT_MS = 800
"""`timeoutMs` of the requests that are checked."""

BUDGET_MS = 1500
"""Time budget of their callers, who leave then."""

ANSWER_SECONDS = 0.5
"""Seconds after `timeoutMs` within which the final answer has to come."""

MIN_LATE = 8
MIN_LATE_SHARE = 0.25


class TroubledRunner(Runner):
    """A runner that sends bytes without end to some streams for a while."""

    begins_at = 0.0
    dice = random.Random(1)

    async def _stream(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        passed = time.monotonic() - self.begins_at
        in_trouble = 0 <= passed < TROUBLE_SECONDS
        if not in_trouble or self.dice.random() >= TROUBLE_SHARE:
            await super()._stream(request, headers, writer)
            return
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        head.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join([*head, "", ""]).encode())
        started_at, sent = time.monotonic(), 0
        while not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(CHUNK), CHUNK))
            await writer.drain()
            sent += len(CHUNK)
            await asyncio.sleep(max(0.0, started_at + sent / SPEED - time.monotonic()))
        raise ConnectionResetError


def model_runner(kind: type[Runner], name: str, zone: str, store: Store) -> Runner:
    """Return a runner of the model."""
    return kind(
        name=name,
        service="booth-model",
        zone=zone,
        store=store,
        runs=[],
        events=EVENTS,
        event_seconds=EVENT_SECONDS,
        engine=True,
    )


async def serve_troubled(begins_at: float) -> None:
    """Serve as the runner in trouble, in a process of its own."""
    TroubledRunner.begins_at = begins_at
    runner = model_runner(TroubledRunner, "i-4", ZONES[0], Store())
    await runner.start(register=False)
    print(runner.server.port, flush=True)
    await asyncio.sleep(60.0)


async def work(request: Request) -> bytes:
    """Work on a request of the other service."""
    await asyncio.sleep(WORK_SECONDS)
    return b"done"


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    record = case.record
    store = Store()
    await store.server.start()
    runs: list[Run] = []
    for number in range(MODEL_RUNNERS - 1):
        runner = model_runner(Runner, f"i-{number}", ZONES[number % 3], store)
        await runner.start()
    for number, zone in enumerate(ZONES):
        await Runner(
            name=f"r-{number}",
            service="booth-records",
            zone=zone,
            store=store,
            runs=runs,
            work=work,
        ).start()
    begins_at = time.monotonic() + CALM_SECONDS if case.trouble else float("inf")
    process = subprocess.Popen(
        [sys.executable, __file__, str(begins_at)], stdout=subprocess.PIPE
    )
    assert process.stdout is not None
    try:
        troubled = model_runner(Runner, "i-4", ZONES[0], store)
        troubled.address_port = int(process.stdout.readline())
        troubled.register()
        return await play_with(case, store)
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
        record.line("the runner in trouble is ended")


async def play_with(case: Case, store: Store) -> bool:
    """Play the case once all runners are there."""
    record = case.record
    stream_options = {"sticky": True, "streamResume": True, "gapTargetMs": 300}
    store.put(
        "op",
        "config",
        configuration(
            version=3,
            routes=[
                route(
                    prefix="/lohu930/",
                    service="booth-model",
                    kind="stream",
                    timeout_ms=STREAM_TIMEOUT_MS,
                    slo_ms=800,
                    attempts=2,
                    **stream_options,
                ),
                route(
                    prefix="/puxa403/",
                    service="booth-records",
                    kind="non_idempotent",
                    timeout_ms=TIMEOUT_MS,
                ),
            ],
            services=["booth-model", "booth-records"],
            tenants=TENANTS,
        ),
    )
    fleet = case.fleet(zones=ZONES)
    fleet.start(stores=[store.server.port] * len(ZONES))
    if not await wait_ready(fleet.routers):
        raise CannotRun("the routers did not get ready")
    callers = Callers(record=record)
    times: list[float] = []
    record_attempts: set[str] = set()
    lags: list[float] = []
    checks: list[tuple[bool, float]] = []
    ends_at = time.monotonic() + CALM_SECONDS + WATCH_SECONDS

    async def _stream(number: int) -> None:
        await callers.send(
            router=fleet.routers[number % len(ZONES)],
            target="/lohu930/2f",
            deadline_ms=STREAM_TIMEOUT_MS,
            headers={
                "X-Dotterelpaddle-Model": "m",
                "X-Dotterelpaddle-Token-Count": "1460,80",
                "X-Dotterelpaddle-Prompt-Prefix": f"5c1e07a2:800,{number:08x}:250",
            },
        )

    async def _record(number: int) -> None:
        started_at = time.monotonic()
        attempt, _ = await callers.send(
            router=fleet.routers[number % len(ZONES)],
            target="/puxa403/2f",
            deadline_ms=BUDGET_MS,
            give_up=BUDGET_MS / 1000,
        )
        times.append(time.monotonic() - started_at)
        record_attempts.add(attempt)

    async def _repeat(each, per_second: float, tasks: list) -> None:
        number = 0
        while time.monotonic() < ends_at:
            tasks.append(asyncio.ensure_future(each(number)))
            number += 1
            await asyncio.sleep(1 / per_second)

    async def _check_ready(number: int) -> None:
        """Ask as the platform does: each second, one second for an answer."""
        while time.monotonic() < ends_at:
            asked_at = time.monotonic()
            ready = await fleet.routers[number].is_ready()
            checks.append((ready, time.monotonic() - asked_at))
            await asyncio.sleep(max(0.0, asked_at + 1.0 - time.monotonic()))

    async def _measure_lag() -> None:
        while time.monotonic() < ends_at:
            due_at = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            lags.append(time.monotonic() - due_at)

    streams: list[asyncio.Future[None]] = []
    records: list[asyncio.Future[None]] = []
    await asyncio.gather(
        _repeat(_stream, STREAMS_PER_SECOND, streams),
        _repeat(_record, RECORDS_PER_SECOND * len(ZONES), records),
        _measure_lag(),
        *(_check_ready(number) for number in range(len(ZONES))),
    )
    await asyncio.gather(*records)
    for task in streams:
        task.cancel()
    lag = max(lags)
    bound = TIMEOUT_MS / 1000
    lasting = [each for each in times if each > bound]
    late = [each for each in times if each > bound + ANSWER_SECONDS + lag]
    record.say(
        f"of {len(times)} requests of the other service {len(lasting)} lasted longer "
        f"than {bound} s, {len(late)} had no answer {ANSWER_SECONDS} s later; the "
        f"longest took {max(times):.2f} s; this script was late by {lag:.3f} s"
    )
    missed = sum(not ready for ready, _ in checks)
    record.say(
        f"{missed} of {len(checks)} readiness checks had no answer in a second; "
        f"the longest took {max(seconds for _, seconds in checks):.2f} s"
    )
    unanswered = sum(
        not callers.answers[attempt].complete
        for attempt in callers.answers
        if attempt in record_attempts
    )
    record.say(f"{unanswered} requests had no answer within their time budget")
    return len(late) >= MIN_LATE and len(late) > MIN_LATE_SHARE * len(lasting)


if len(sys.argv) > 1:
    asyncio.run(serve_troubled(float(sys.argv[1])))
else:
    run_case(play, folder=FOLDER)
