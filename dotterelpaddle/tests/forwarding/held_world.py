"""Router processes with little memory before endpoints that send large bodies.

A second, sound service is called beside them. What a router holds is read from the
kernel, whatever its metrics tell.
"""

from __future__ import annotations

import random
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import httpcore

from dotterelpaddle.platform.names import Header
from dotterelpaddle.standins.runner import RunnerStandin, run_runner
from dotterelpaddle.tests.forwarding.harness import (
    HOST,
    KEY,
    configuration,
    route,
)
from dotterelpaddle.tests.forwarding.versions_world import VersionsWorld, run_world

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    from anyio.abc import SocketStream

    from dotterelpaddle.standins.behaviours import Behaviour
    from dotterelpaddle.standins.runner import Received


MEMORY_MB = 300
BULK, SAFE_BULK, STREAM_BULK, SOUND = "bulk", "safe", "stream", "sound"
ENDPOINTS = 3
SLOTS = 64
TIMEOUT_MS = 15_000
SAMPLE_SECONDS = 0.02
KB = 1024
PATHS = {
    BULK: "/unsafe/bulk/x",
    SAFE_BULK: "/safe/bulk/x",
    STREAM_BULK: "/stream/bulk/x",
    SOUND: "/safe/sound/x",
}


@dataclass(kw_only=True)
class BulkRunner(RunnerStandin):
    """An endpoint that answers as planned once it is told to.

    Attributes:
        behaviour: What it does with each request, None to serve it.
    """

    behaviour: Behaviour | None = None

    async def _answer(
        self, stream: SocketStream, request: Received, behaviour: Behaviour
    ) -> bool:
        return await super()._answer(stream, request, self.behaviour or behaviour)


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What became of a request.

    Attributes:
        kind: Key of its path.
        status: Status of its answer, 0 for none.
        size: Bytes of its body.
        seconds: Time until its end.
    """

    kind: str
    status: int
    size: int
    seconds: float


@dataclass(kw_only=True)
class HeldWorld(VersionsWorld):
    """A fleet of router processes before a service with large bodies and a sound one.

    Attributes:
        bulk: Endpoints of the service with large bodies.
        outcomes: What became of all requests.
        peaks: Highest resident memory of each router, bytes.
    """

    bulk: list[BulkRunner] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    peaks: dict[str, int] = field(default_factory=dict)

    async def add_services(self) -> None:
        """Start and register all endpoints."""
        routes = [
            route(f"{prefix}/{service}", kind, service=service, timeoutMs=TIMEOUT_MS)
            for prefix, kind in (
                ("safe", "idempotent"),
                ("unsafe", "non_idempotent"),
                ("stream", "stream"),
            )
            for service in (BULK, SOUND)
        ]
        services = [
            {"name": name, "healthPath": "/health", "maxConns": 400}
            for name in (BULK, SOUND)
        ]
        self.store.configure(
            configuration=configuration(routes=routes, services=services)
        )
        for service in (BULK, SOUND):
            for _ in range(ENDPOINTS):
                runner = BulkRunner(name=f"runner-{len(self.runners) + 1}")
                address = await self.stack.enter_async_context(
                    run_runner(runner=runner)
                )
                self.runners.append(runner)
                self.entries[runner.name] = runner.entry(
                    address=address, service=service, slots=SLOTS
                )
                self.register(runner)
                if service == BULK:
                    self.bulk.append(runner)

    async def send(
        self, kind: str, *, per_second: float, routers: Sequence[int] | None = None
    ) -> None:
        """Send requests at a rate, however long they take.

        Args:
            kind: Key of their path.
            per_second: Requests a second.
            routers: Numbers of the routers to call, None for all.
        """
        chosen = list(range(len(self.routers)) if routers is None else routers)
        while self.calling:
            self.tasks.start_soon(self._send_one, kind, self.generator.choice(chosen))
            await anyio.sleep(self.generator.expovariate(per_second))

    async def sample_memory(self) -> None:
        """Record the highest resident memory of each router."""
        while True:
            for router in self.routers:
                assert router.process is not None
                peak = _peak_bytes(process=router.process.pid)
                self.peaks[router.name] = max(self.peaks.get(router.name, 0), peak)
            await anyio.sleep(SAMPLE_SECONDS)

    def statuses(self, kind: str) -> Counter[int]:
        """Return the statuses of the answers to one kind of request."""
        return Counter(each.status for each in self.outcomes if each.kind == kind)

    def longest(self, kind: str) -> float:
        """Return the seconds of the request that took longest."""
        return max((e.seconds for e in self.outcomes if e.kind == kind), default=0.0)

    def summary(self) -> str:
        """Return the highest memory and what became of all requests."""
        peaks = ", ".join(f"{peak / 1e6:.0f}" for peak in self.peaks.values())
        kinds = sorted({each.kind for each in self.outcomes})
        return f"highest {peaks} MB; " + "; ".join(
            f"{kind} {dict(self.statuses(kind))} longest {self.longest(kind):.2f} s"
            for kind in kinds
        )

    async def _send_one(self, kind: str, number: int) -> None:
        self._requests += 1
        headers = [
            (b"host", HOST.encode()),
            (Header.REQUEST_ID, b"held-%d" % self._requests),
            (Header.TIME_LEFT_MS, b"%d" % TIMEOUT_MS),
            (Header.KEY, KEY.encode()),
        ]
        started_at = anyio.current_time()
        status = size = 0
        url = f"http://{self.routers[number].callers}{PATHS[kind]}"
        try:
            async with self.http.stream("POST", url, headers=headers) as answer:
                async for part in answer.aiter_stream():
                    size += len(part)
                status = answer.status
        except (httpcore.NetworkError, httpcore.ProtocolError):
            status = 0
        self.outcomes.append(
            Outcome(
                kind=kind,
                status=status,
                size=size,
                seconds=anyio.current_time() - started_at,
            )
        )


def _peak_bytes(*, process: int) -> int:
    """Return the highest resident memory of a process, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{process}/status").read_text().splitlines()
    except OSError:
        return 0
    return next(
        (int(line.split()[1]) * KB for line in lines if line.startswith("VmHWM")), 0
    )


@asynccontextmanager
async def run_held_world(
    *,
    directory: Path,
    seed: int,
    routers: int = 3,
    source: str = "",
    options: Mapping[str, Any] | None = None,
) -> AsyncIterator[HeldWorld]:
    """Run router processes before sound endpoints that can be told to send bulk.

    Args:
        directory: Directory for settings and logs.
        seed: Seed of all random choices.
        routers: Number of routers.
        source: Directory with the release that the routers run, empty for this one.
        options: Further settings of the routers.
    """
    make = partial(HeldWorld, directory=directory, generator=random.Random(seed))
    async with run_world(make=make) as world:
        await world.add_services()
        for _ in range(routers):
            router = world.add_router(source=source)
            router.options = {"memory_mb": MEMORY_MB, **(options or {})}
        await world.start_all(first_start=True)
        world.tasks.start_soon(world.sample_memory)
        yield world
