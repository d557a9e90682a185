"""Runners: plain services, and model runners that write streams of events."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wire import ATTEMPT_ID, EXPECTED_RUNNER, SEAL, Request, answer, read_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from store import Store

BEAT_SECONDS = 1.2
NOT_EXECUTED = "X-Dotterelpaddle-Not-Executed"
MEMORY_TOKENS = 656_486
"""Tokens for which a model runner has memory."""

CACHE_LIST = b'{"epoch": 1, "next": 1, "held": []}'


@dataclass(kw_only=True)
class Run:
    """One request that a runner has begun to work on.

    Attributes:
        attempt: Id of the request.
        at: When it began, seconds on the monotonic clock.
        ended: Whether the runner came to the end of it.
    """

    attempt: str
    at: float
    ended: bool = False


class Runner:
    """A sound runner of a plain service.

    Args:
        store: Where it registers.
        name: Its id.
        service: Its service.
        zone: Its zone.
        slots: Requests at a time.
        work_seconds: Seconds of work on a plain request.
    """

    def __init__(
        self,
        *,
        store: Store,
        name: str,
        service: str,
        zone: str,
        slots: int,
        work_seconds: float = 0.06,
    ) -> None:
        self._store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.crashed = False
        self.before_answer: Callable[[Request], None] = lambda request: None
        self._work_seconds = work_seconds
        self._changes = 0
        self._free = asyncio.Semaphore(slots)
        self._connections: set[asyncio.StreamWriter] = set()
        self.name = name
        self.runs: list[Run] = []
        self.models: list[str] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._beats = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End at once: no entry is written any more, connections are reset."""
        self.crashed = True
        self._beats.cancel()
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    def forget_entry(self) -> None:
        """Let the store drop the entry, as after three beats of silence."""
        loop = asyncio.get_running_loop()
        loop.call_later(BEAT_SECONDS, self._store.drop, "servers", self.name)

    async def _beat(self) -> None:
        while True:
            self._changes += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._changes,
                "models": [
                    {"name": each, "version": 1, "adapters": []} for each in self.models
                ],
            }
            self._store.put("servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(BEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while True:
                await self._answer(await read_request(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.target == "/-/kv-list":
            writer.write(answer(200, CACHE_LIST))
        elif request.headers.get(EXPECTED_RUNNER, self.name) != self.name:
            writer.write(answer(421, X_Dotterelpaddle_Runner_Id=self.name))
        elif self._rejects(request):
            headers = {ATTEMPT_ID: request.attempt, NOT_EXECUTED: "1"}
            writer.write(answer(503, **headers))
        else:
            async with self._free:
                run = Run(attempt=request.attempt, at=time.monotonic())
                self.runs.append(run)
                self.before_answer(request)
                await self._work(request, writer)
                run.ended = True

    def _rejects(self, request: Request) -> bool:
        """Return whether there is no room for a request, however long it waits."""
        return False

    async def _work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._work_seconds)
        headers = {ATTEMPT_ID: request.attempt, SEAL: f"seal.{request.attempt}"}
        writer.write(answer(200, b"done " + request.attempt.encode(), **headers))


class ModelRunner(Runner):
    """A sound model runner: each request brings a stream of events.

    Args:
        event_seconds: Seconds between two events.
        **options: Options of any runner.
    """

    def __init__(self, *, event_seconds: float, **options: object) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        self._event_seconds = event_seconds
        self.models = ["m"]

    def _rejects(self, request: Request) -> bool:
        return prompt_tokens(request) > MEMORY_TOKENS

    async def _work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        attempt = request.attempt
        head = [
            "HTTP/1.1 200 OK",
            f"{ATTEMPT_ID}: {attempt}",
            f"{SEAL}: seal.{attempt}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        first = int(request.headers.get("last-event-id") or -1) + 1
        for number in range(first, events_of(request)):
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._event_seconds)
        writer.write(b"0\r\n\r\n")


def events_of(request: Request) -> int:
    """Return the events of a stream, which its path names."""
    return int(request.target.rsplit("/", 1)[1])


def prompt_tokens(request: Request) -> int:
    """Return the tokens of the parts of a prompt."""
    prefix = request.headers.get("x-dotterelpaddle-prompt-prefix", "")
    return sum(int(each.rsplit(":", 1)[1]) for each in prefix.split(",") if each)
