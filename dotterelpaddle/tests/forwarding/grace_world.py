"""Router processes of which one stops while callers go on on kept connections."""

from __future__ import annotations

import random
import signal
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.platform.names import Header
from dotterelpaddle.standins.behaviours import FallSilent
from dotterelpaddle.standins.runner import RunnerStandin, run_runner
from dotterelpaddle.tests.forwarding.harness import HOST, KEY, configuration, route
from dotterelpaddle.tests.forwarding.versions_world import (
    SLOTS,
    VersionsWorld,
    run_world,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping
    from pathlib import Path

    from anyio.abc import SocketStream

    from dotterelpaddle.standins.behaviours import Behaviour
    from dotterelpaddle.standins.runner import Received

GRACE_SECONDS = 8
TIMEOUT_MS = 15_000
REFUSED = 503
MAX_WAIT_SECONDS = 3.0
WORK_SECONDS: Mapping[str, tuple[float, float]] = {
    "slow": (4.0, 7.5),
    "usual": (0.02, 1.5),
}
KINDS = {"safe": "idempotent", "unsafe": "non_idempotent"}


@dataclass(kw_only=True)
class SlowRunner(RunnerStandin):
    """An endpoint whose work takes long."""

    dice: random.Random

    async def _answer(
        self, stream: SocketStream, request: Received, behaviour: Behaviour
    ) -> bool:
        service = request.target.decode().split("/")[2]
        seconds = self.dice.uniform(*WORK_SECONDS[service])
        return await super()._answer(stream, request, FallSilent(seconds=seconds))


@dataclass(frozen=True, kw_only=True, slots=True)
class Try:
    """A request that was sent to the router that stops.

    Attributes:
        request_id: Request id.
        path: Path.
        after_stop: Seconds from the signal to stop until it was sent.
        status: Status of the whole answer, 0 if the connection ended without one.
        refused: Whether it was refused there and served elsewhere.
        seconds: Time until its last answer.
    """

    request_id: bytes
    path: str
    after_stop: float
    status: int
    refused: bool
    seconds: float


@dataclass(kw_only=True)
class GraceWorld(VersionsWorld):
    """A fleet of router processes, of which the first one stops.

    Attributes:
        tries: Requests that were sent to the first router after the signal.
    """

    tries: list[Try] = field(default_factory=list)
    stopped_at: float = float("inf")

    async def add_services(self, *, dice: random.Random) -> None:
        """Start and register all endpoints."""
        routes = [
            route(f"{prefix}/{service}", kind, service=service, timeoutMs=TIMEOUT_MS)
            for prefix, kind in KINDS.items()
            for service in WORK_SECONDS
        ]
        services = [
            {"name": name, "healthPath": "/health", "maxConns": 400}
            for name in WORK_SECONDS
        ]
        document = configuration(routes=routes, services=services)
        self.store.configure(configuration=document)
        for service in WORK_SECONDS:
            for _ in range(3):
                runner = SlowRunner(name=f"runner-{len(self.runners) + 1}", dice=dice)
                address = await self.stack.enter_async_context(
                    run_runner(runner=runner)
                )
                self.runners.append(runner)
                self.entries[runner.name] = runner.entry(
                    address=address, service=service, slots=SLOTS
                )
                self.register(runner)

    async def call_again_and_again(self, *, path: str) -> None:
        """Send one request after the other on a kept connection to the first router."""
        async with httpcore.AsyncConnectionPool() as http:
            while self.calling:
                await self._call_once(http, path)

    async def stop_first(self) -> None:
        """Stop the first router, and wait until its process has ended."""
        first = self.routers[0]
        self.stopped_at = anyio.current_time()
        first.send(signal.SIGTERM)
        with anyio.move_on_after(GRACE_SECONDS):
            await first.wait()
        first.end()

    def runs(self, request_id: bytes) -> int:
        """Return how often a request ran."""
        return sum(
            each.request_id == request_id
            for runner in self.runners
            for each in runner.runs
        )

    def cut(self) -> list[Try]:
        """Return the requests that ran and whose connection ended without an answer."""
        return [each for each in self.unfinished() if not each.status]

    def unfinished(self) -> list[Try]:
        """Return the requests that ran and whose callers have no answer of them."""
        return [
            each
            for each in self.tries
            if each.status != 200 and self.runs(each.request_id)
        ]

    def summary(self) -> str:
        """Return what became of the requests, by service."""
        lines = []
        for service in WORK_SECONDS:
            tries = [each for each in self.tries if f"/{service}/" in each.path]
            cut = [each for each in self.cut() if each in tries]
            lost = [each for each in self.unfinished() if each in tries]
            unsafe = sum(each.path.startswith("/unsafe/") for each in lost)
            lines.append(
                f"{service}: {len(tries)} sent, {sum(t.refused for t in tries)} "
                f"refused first, {sum(t.status == 200 for t in tries)} served, "
                f"{len(cut)} cut, {len(lost)} run without their answer "
                f"({unsafe} that may not be repeated), "
                f"longest {max((t.seconds for t in tries), default=0.0):.1f} s"
            )
        return "; ".join(lines)

    async def _call_once(self, http: httpcore.AsyncConnectionPool, path: str) -> None:
        self._requests += 1
        request_id = b"grace-%d" % self._requests
        started_at = anyio.current_time()
        try:
            answer = await self._send(http, 0, path, request_id)
        except httpcore.ConnectError:
            await anyio.sleep(0.05)
            return
        except (httpcore.NetworkError, httpcore.ProtocolError):
            answer = None
        status = 0 if answer is None else answer.status
        refused = status == REFUSED
        if answer is not None and refused:
            await anyio.sleep(min(MAX_WAIT_SECONDS, _retry_after(answer)))
            request_id += b"-again"
            async with httpcore.AsyncConnectionPool() as other:
                number = self.generator.randrange(1, len(self.routers))
                status = (await self._send(other, number, path, request_id)).status
        if started_at >= self.stopped_at:
            self.tries.append(
                Try(
                    request_id=request_id,
                    path=path,
                    after_stop=started_at - self.stopped_at,
                    status=status,
                    refused=refused,
                    seconds=anyio.current_time() - started_at,
                )
            )

    async def _send(
        self,
        http: httpcore.AsyncConnectionPool,
        router: int,
        path: str,
        request_id: bytes,
    ) -> httpcore.Response:
        headers = [
            (b"host", HOST.encode()),
            (Header.REQUEST_ID, request_id),
            (Header.TIME_LEFT_MS, b"%d" % TIMEOUT_MS),
            (Header.KEY, KEY.encode()),
        ]
        url = f"http://{self.routers[router].callers}{path}"
        return await http.request("POST", url, headers=headers)


def _retry_after(answer: httpcore.Response) -> float:
    values = [value for name, value in answer.headers if name.lower() == b"retry-after"]
    return float(values[0])


@asynccontextmanager
async def run_grace_world(
    *, directory: Path, seed: int, routers: int = 3, source: str = ""
) -> AsyncIterator[GraceWorld]:
    """Run router processes before slow endpoints.

    Args:
        directory: Directory for settings and logs.
        seed: Seed of all random choices.
        routers: Number of routers.
        source: Directory with the release that the routers run, empty for this one.
    """
    make = partial(GraceWorld, directory=directory, generator=random.Random(seed))
    async with run_world(make=make) as world:
        await world.add_services(dice=random.Random(seed))
        for _ in range(routers):
            world.add_router(source=source).shutdown_seconds = GRACE_SECONDS
        await world.start_all(first_start=True)
        yield world
