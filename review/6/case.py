"""A model runner crashes while it writes streams of long chats."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from deployment import (  # noqa: E402
    HOST,
    KEY,
    RECEIPT,
    RECORD_BUDGET_MS,
    RECORD_TIMEOUT_MS,
    SESSION,
    WALKTHROUGH,
    WALKTHROUGH_MS,
    Deployment,
    running,
)
from playing import Record, main  # noqa: E402
from wire import Result, call  # noqa: E402

CHATS = 179
"""Chats that return, as many as the site has."""

PARTS, PART_TOKENS = 1_000, 11
"""A chat of a thousand short turns; its prompt is as long as the sheet's."""

EVENTS = 76
STREAMS_PER_SECOND = 24.0
RECEIPTS_PER_SECOND, SESSIONS_PER_SECOND = 8.45, 4.0

CRASH_AT, END_AT = 8.0, 20.0
"""Seconds of traffic until the crash, and until the last request."""

OVERDUE_SECONDS = 0.5
MIN_OVERDUE = 8


def prompt(chat: int) -> str:
    """Return the parts of the prompt of a chat, and of its next turn."""
    known = random.Random(chat)
    parts = [f"{known.getrandbits(32):08x}:{PART_TOKENS}" for _ in range(PARTS)]
    return ",".join([*parts, f"{random.getrandbits(32):08x}:{PART_TOKENS}"])


class Clients:
    """Clients that send requests at the rates of the sheet.

    Args:
        deployment: What runs.
        record: Receives what was sent and answered.
    """

    def __init__(self, *, deployment: Deployment, record: Record) -> None:
        self._routers = deployment.fleet.callers
        self._record = record
        self._tasks: list[asyncio.Task[None]] = []
        self.plain: list[Result] = []
        self.streams: list[Result] = []

    async def send(self, *, seconds: float) -> None:
        """Send requests of all kinds and wait for the answers."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        await asyncio.gather(
            self._send(self._walkthrough, STREAMS_PER_SECOND, ends_at),
            self._send(self._receipt, RECEIPTS_PER_SECOND, ends_at),
            self._send(self._session, SESSIONS_PER_SECOND, ends_at),
        )
        await asyncio.wait(self._tasks)

    async def _send(self, one, per_second: float, ends_at: float) -> None:  # noqa: ANN001
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            self._tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(random.expovariate(per_second))

    async def _walkthrough(self) -> None:
        result = await self._call(
            method="POST",
            target=f"{WALKTHROUGH}{EVENTS}",
            budget_ms=WALKTHROUGH_MS,
            headers={
                "X-Dotterelpaddle-Model": "m",
                "X-Dotterelpaddle-Token-Count": f"{PARTS * PART_TOKENS},{5 * EVENTS}",
                "X-Dotterelpaddle-Prompt-Prefix": prompt(random.randrange(CHATS)),
            },
            body=b"x" * 1000,
        )
        self.streams.append(result)

    async def _receipt(self) -> None:
        self.plain.append(
            await self._call(
                method="POST",
                target=f"{RECEIPT}new",
                budget_ms=RECORD_BUDGET_MS,
                body=b"x" * 600,
            )
        )

    async def _session(self) -> None:
        self.plain.append(
            await self._call(
                method="GET", target=f"{SESSION}one", budget_ms=RECORD_BUDGET_MS
            )
        )

    async def _call(self, *, target: str, budget_ms: int, **options) -> Result:  # noqa: ANN003
        router = random.choice(self._routers)
        result = await call(
            router,
            target=target,
            host=HOST,
            key=KEY,
            budget_ms=budget_ms,
            patience=budget_ms / 1000,
            **options,
        )
        self._record.note(
            f"{self._record.since_start(result.sent_at):8.3f} sent to {router[0]} "
            f"{result.attempt} {target}: status {result.status}, "
            f"whole {result.whole}, {result.seconds:.3f} s"
        )
        return result


async def play(record: Record) -> bool:
    """Play the case and return whether the rule was broken."""
    async with running() as deployment:
        clients = Clients(deployment=deployment, record=record)
        traffic = asyncio.create_task(clients.send(seconds=END_AT))
        await asyncio.sleep(CRASH_AT)
        if record.trouble:
            running_now = [
                sum(not run.ended for run in each.runs) for each in deployment.models
            ]
            record.say(f"a runner crashes; streams at the model runners: {running_now}")
            deployment.models[0].crash()
        await traffic
        for runner in deployment.runners:
            for run in runner.runs:
                at = record.since_start(run.at)
                record.note(f"{at:8.3f} {runner.name} runs {run.attempt}")
        record.say(f"exit codes of the routers: {deployment.fleet.exit_codes}")
    return judge(clients=clients, record=record)


def judge(*, clients: Clients, record: Record) -> bool:
    """Return whether plain requests were left without an answer at their timeout."""
    timeout = RECORD_TIMEOUT_MS / 1000
    lasting = [each for each in clients.plain if each.seconds > timeout]
    overdue = [each for each in lasting if each.seconds > timeout + OVERDUE_SECONDS]
    served = sum(each.status == 200 for each in clients.plain)
    whole = sum(each.whole for each in clients.streams)
    longest = max(each.seconds for each in clients.plain)
    record.say(f"streams: {len(clients.streams)}, whole {whole}")
    record.say(f"plain requests: {len(clients.plain)}, served {served}")
    record.say(
        f"unanswered at their timeout: {len(lasting)}; half a second later: "
        f"{len(overdue)}; the longest took {longest:.3f} s"
    )
    return len(overdue) >= MIN_OVERDUE and 2 * len(overdue) > len(lasting)


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
