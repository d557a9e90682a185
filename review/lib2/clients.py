"""Clients that send requests at the rates of the sheet."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from deployment import (
    EVENTS,
    HOST,
    KEY,
    RECEIPT,
    RECORD_BUDGET_MS,
    SESSION,
    WALKTHROUGH,
    WALKTHROUGH_MS,
)
from wire import Result, call

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from deployment import Deployment
    from playing import Record

STREAMS_PER_SECOND = 8.35
RECEIPTS_PER_SECOND, SESSIONS_PER_SECOND = 8.45, 4.0

CHATS = 57
SHARED_TOKENS, OWN_TOKENS = 10_000, 1_300


def usual_prompt() -> str:
    """Return the prompt of a usual chat: two shared parts and one of its own."""
    chat = random.randrange(CHATS)
    own = random.getrandbits(32)
    return f"5c1e07a2:512,{chat:08x}:{SHARED_TOKENS},{own:08x}:{OWN_TOKENS}"


class Clients:
    """Clients, and what they have seen.

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

    @property
    def all(self) -> list[Result]:
        """All requests that have ended."""
        return [*self.plain, *self.streams]

    async def send(
        self,
        *,
        seconds: float,
        streams_per_second: float = STREAMS_PER_SECOND,
        prompt: Callable[[], str] = usual_prompt,
    ) -> None:
        """Send requests of all kinds and wait for the answers.

        Args:
            seconds: Seconds until the last request.
            streams_per_second: Streams a second.
            prompt: Returns the parts of the prompt of a stream.
        """
        ends_at = asyncio.get_running_loop().time() + seconds
        tokens = SHARED_TOKENS + OWN_TOKENS

        async def _one_stream() -> None:
            await self.stream(prompt(), tokens=tokens)

        await asyncio.gather(
            self._send(_one_stream, streams_per_second, ends_at),
            self._send(self.receipt, RECEIPTS_PER_SECOND, ends_at),
            self._send(self.session, SESSIONS_PER_SECOND, ends_at),
        )
        await asyncio.wait(self._tasks)

    async def stream(
        self,
        prompt: str,
        *,
        tokens: int,
        router: tuple[str, int] | None = None,
        events: int = EVENTS,
    ) -> None:
        """Ask for a stream.

        Args:
            prompt: Parts of its prompt.
            tokens: Tokens of its prompt that it states in all.
            router: Where to send it, None for any router.
            events: Events of the stream.
        """
        headers = {
            "X-Dotterelpaddle-Model": "m",
            "X-Dotterelpaddle-Token-Count": f"{tokens},{5 * events}",
            "X-Dotterelpaddle-Prompt-Prefix": prompt,
        }
        result = await self._call(
            router=router,
            method="POST",
            target=f"{WALKTHROUGH}{events}",
            budget_ms=WALKTHROUGH_MS,
            headers=headers,
            body=b"x" * 1000,
        )
        result.prompt = prompt
        self.streams.append(result)

    async def receipt(self) -> None:
        """Ask for a receipt, which may be issued once."""
        result = await self._call(
            method="POST",
            target=f"{RECEIPT}new",
            budget_ms=RECORD_BUDGET_MS,
            body=b"x" * 600,
        )
        self.plain.append(result)

    async def session(self) -> None:
        """Ask for a session record."""
        result = await self._call(
            method="GET", target=f"{SESSION}one", budget_ms=RECORD_BUDGET_MS
        )
        self.plain.append(result)

    def note_runs(self, deployment: Deployment) -> None:
        """Write down what the runners ran."""
        for runner in deployment.runners:
            for run in runner.runs:
                at = self._record.since_start(run.at)
                self._record.note(f"{at:8.3f} {runner.name} runs {run.attempt}")

    async def _send(
        self, one: Callable[[], Awaitable[None]], per_second: float, ends_at: float
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            self._tasks.append(asyncio.ensure_future(one()))
            await asyncio.sleep(random.expovariate(per_second))

    async def _call(
        self, *, router: tuple[str, int] | None = None, target: str, **options: Any
    ) -> Result:
        router = router or random.choice(self._routers)
        result = await call(
            router,
            target=target,
            host=HOST,
            key=KEY,
            patience=options["budget_ms"] / 1000,
            **options,
        )
        sent_at = self._record.since_start(result.sent_at)
        self._record.note(
            f"{sent_at:8.3f} sent to {router[0]} {result.attempt} {target}: "
            f"status {result.status}, whole {result.whole}, {result.seconds:.3f} s"
        )
        return result
