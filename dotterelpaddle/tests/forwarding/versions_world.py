"""Router processes before endpoints of two software versions, and callers of streams.

Routers are real processes that are killed, frozen, stopped and started again. The store
and the endpoints are stand-ins in the test's own process.
"""

from __future__ import annotations

import os
import random
import re
import signal
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import httpcore

from dotterelpaddle.address import Address
from dotterelpaddle.listening import address_of, bind
from dotterelpaddle.platform.names import Header, Table
from dotterelpaddle.standins.behaviours import CutAnswer
from dotterelpaddle.standins.runner import RunnerStandin, run_runner
from dotterelpaddle.standins.store import StoreStandin, run_store
from dotterelpaddle.tests.forwarding.harness import (
    ANY_LOCAL_ADDRESS,
    HOST,
    KEY,
    SERVICE,
    configuration,
)
from dotterelpaddle.tests.forwarding.router_processes import RouterProcess
from dotterelpaddle.tests.forwarding.versions_counts import Counts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from pathlib import Path

    from anyio.abc import TaskGroup

World = TypeVar("World", bound="VersionsWorld")

START_LIMIT_SECONDS = 30.0
RESTART_SECONDS = 0.3
"""Seconds after which the platform starts a process again that has ended."""

EVENT = re.compile(rb"id: (\d+)\ndata: e\d+ (\S+)\n\n")
EVENTS, EVENT_PAUSE_SECONDS = 24, 0.06
TIME_LEFT_SECONDS = 8.0
"""Seconds that a caller waits for all of its stream."""

MAX_SILENCE_SECONDS = 2.0
"""Seconds without an event after which a caller gives a connection up."""

MAX_RETRY_SECONDS = 0.5
SLOTS = 64


@dataclass(kw_only=True)
class VersionsWorld:
    """A fleet of router processes before endpoints of two versions.

    Attributes:
        directory: Directory for settings and logs.
        generator: Source of all random choices.
        ports: Ports of all routers: callers, readiness, control, peers.
        counts: What became of the callers' streams.
        cut_off: Failure domains whose routers start with seeds of their own failure
            domain alone, so that they hear no others that start at the same time.
        names_last_try: Whether callers name the last try that brought events as the
            one that they resume, not the first.
    """

    directory: Path
    generator: random.Random
    stack: AsyncExitStack
    tasks: TaskGroup
    http: httpcore.AsyncConnectionPool
    ports: list[int] = field(default_factory=lambda: _free_ports(4))
    store: StoreStandin = field(default_factory=StoreStandin)
    store_address: Address = ANY_LOCAL_ADDRESS
    routers: list[RouterProcess] = field(default_factory=list)
    runners: list[RunnerStandin] = field(default_factory=list)
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    counts: Counts = field(default_factory=Counts)
    calling: bool = True
    cut_off: set[str] = field(default_factory=set)
    names_last_try: bool = False
    _callers: int = 0
    _requests: int = 0

    async def add_runner(
        self, version: str, *, service: str = SERVICE
    ) -> RunnerStandin:
        """Start an endpoint and register it."""
        runner = RunnerStandin(
            name=f"runner-{len(self.runners) + 1}",
            version=version,
            events=EVENTS,
            pause=EVENT_PAUSE_SECONDS,
        )
        address = await self.stack.enter_async_context(run_runner(runner=runner))
        self.runners.append(runner)
        entry = runner.entry(address=address, service=service, slots=SLOTS)
        self.entries[runner.name] = entry
        self.register(runner)
        return runner

    def register(self, runner: RunnerStandin) -> None:
        """Write the row of an endpoint."""
        entry = self.entries[runner.name]
        self.store.put(table=Table.ENDPOINTS, key=runner.name, value=entry)

    def add_router(self, *, source: str = "") -> RouterProcess:
        """Add a router that is started later."""
        number = len(self.routers) + 1
        name = f"router-{number}"
        router = RouterProcess(
            name=name,
            callers=self._address(number, 0),
            readiness=self._address(number, 1),
            control=self._address(number, 2),
            peers=self._address(number, 3),
            settings=self.directory / f"{name}.json",
            source=source,
        )
        self.routers.append(router)
        return router

    def _address(self, number: int, port: int) -> Address:
        """Address of a router; each has a host of its own and the same ports.

        Plays side by side have other hosts, as they may choose the same ports.
        """
        high, low = divmod(os.getpid() % 62500, 250)
        return Address(host=f"127.{high + 1}.{low}.{number}", port=self.ports[port])

    def start(self, router: RouterProcess, *, first_start: bool = False) -> None:
        """Start a router with others as its seeds, in a cut those that it reaches."""
        domain = router.failure_domain
        seeds = [
            each.control
            for each in self.routers
            if each is not router
            and (domain not in self.cut_off or each.failure_domain == domain)
        ]
        router.start(first_start=first_start, seeds=seeds[:3], store=self.store_address)

    async def start_all(self, *, first_start: bool = False) -> None:
        """Start all routers, and wait until they are ready."""
        for router in self.routers:
            self.start(router, first_start=first_start)
        for router in self.routers:
            await self.until_ready(router)

    async def until_ready(self, router: RouterProcess) -> None:
        """Wait until a router is ready."""
        with anyio.fail_after(START_LIMIT_SECONDS):
            while True:
                try:
                    url = f"http://{router.readiness}/-/ready"
                    answer = await self.http.request("GET", url)
                    if answer.status == 200:
                        return
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    pass
                await anyio.sleep(0.02)

    async def kill(self, *routers: RouterProcess) -> None:
        """Kill routers at once and start them again."""
        for router in routers:
            router.send(signal.SIGKILL)
        for router in routers:
            await router.wait()
        await anyio.sleep(RESTART_SECONDS)
        for router in routers:
            self.start(router)
        for router in routers:
            await self.until_ready(router)

    async def lose_all(
        self,
        *,
        meanwhile: Callable[[VersionsWorld], Awaitable[None]] | None = None,
        first_start: bool = False,
    ) -> None:
        """Kill all routers at once and start them again.

        Args:
            meanwhile: What changes while no router runs.
            first_start: Whether the routers are told that the whole fleet starts for
                the first time.
        """
        for router in self.routers:
            router.send(signal.SIGKILL)
        for router in self.routers:
            await router.wait()
        if meanwhile is not None:
            await meanwhile(self)
        await anyio.sleep(RESTART_SECONDS)
        await self.start_all(first_start=first_start)

    async def stop(self, router: RouterProcess) -> None:
        """Stop a router gracefully and start it again."""
        router.send(signal.SIGTERM)
        await router.wait()
        self.start(router)
        await self.until_ready(router)

    async def freeze(self, router: RouterProcess, *, seconds: float) -> None:
        """Stop all activity of a router for a while."""
        router.send(signal.SIGSTOP)
        await anyio.sleep(seconds)
        router.send(signal.SIGCONT)

    def break_streams(self) -> None:
        """Let each endpoint break its next stream off."""
        for runner in self.runners:
            runner.plan.append(CutAnswer(events=self.generator.randint(1, 6)))

    async def call(self, *, delay: float, hang_up_share: float) -> None:
        """Read one stream after the other, as a caller that comes back."""
        self._callers += 1
        await anyio.sleep(delay)
        while self.calling:
            await self._read_stream(hang_up_share=hang_up_share)
        self._callers -= 1

    def start_callers(self, *, count: int, hang_up_share: float = 0.0) -> None:
        """Start callers.

        Args:
            count: Number of callers.
            hang_up_share: Share of their connections that break on their side.
        """
        for number in range(count):
            delay = number / count * EVENTS * EVENT_PAUSE_SECONDS
            self.tasks.start_soon(
                partial(self.call, delay=delay, hang_up_share=hang_up_share)
            )

    async def finish(self) -> None:
        """Let all callers finish their streams."""
        self.calling = False
        while self._callers:
            await anyio.sleep(0.02)

    async def _read_stream(self, *, hang_up_share: float) -> None:
        counts, deadline = self.counts, anyio.current_time() + TIME_LEFT_SECONDS
        events: list[tuple[int, bytes]] = []
        first_id = b""
        taken_up = resumed = False
        counts.tried += 1
        while anyio.current_time() < deadline and len(events) < EVENTS:
            before = len(events)
            limit = EVENTS
            if self.generator.random() < hang_up_share:
                limit = before + self.generator.randint(1, EVENTS)
            if before and not taken_up:
                taken_up = True
                counts.taken_up += 1
            self._requests += 1
            request_id = b"%x-%d" % (os.getpid(), self._requests)
            wait = await self._try(events, request_id, first_id, limit, deadline)
            if len(events) > before:
                if before:
                    counts.gone_on += 1
                    counts.gone_on_again += resumed
                    taken_up, resumed = False, True
                else:
                    counts.begun += 1
                if not before or self.names_last_try:
                    first_id = request_id
            await anyio.sleep(wait)
        counts.whole += [number for number, _ in events] == list(range(1, EVENTS + 1))
        counts.mixed += len({version for _, version in events}) > 1

    async def _try(
        self,
        events: list[tuple[int, bytes]],
        request_id: bytes,
        first_id: bytes,
        limit: int,
        deadline: float,
    ) -> float:
        """Send one try, add its events, and return the seconds until the next."""
        left = deadline - anyio.current_time()
        headers = {
            b"host": HOST.encode(),
            Header.REQUEST_ID: request_id,
            Header.TIME_LEFT_MS: b"%d" % (1000 * left),
            Header.KEY: KEY.encode(),
        }
        if events:
            headers[Header.LAST_EVENT_ID] = b"%d" % events[-1][0]
            headers[Header.RESUMES] = first_id
        router = self.generator.choice(self.routers)
        url = f"http://{router.callers}/stream/again/x"
        received, before = b"", list(events)
        try:
            with anyio.move_on_after(left):
                async with (
                    httpcore.AsyncConnectionPool() as http,
                    http.stream("POST", url, headers=list(headers.items())) as answer,
                ):
                    if answer.status != 200:
                        await answer.aread()
                        return _retry_after(answer)
                    chunks = aiter(answer.aiter_stream())
                    while chunk := await _next_chunk(chunks):
                        received += chunk
                        events[:] = before + [
                            (int(number), version)
                            for number, version in EVENT.findall(received)
                        ]
                        if len(events) >= limit:
                            return 0.0
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0.02
        return 0.0


async def _next_chunk(chunks: AsyncIterator[bytes]) -> bytes:
    """Return the next part of an answer, empty at its end or after a long silence."""
    with anyio.move_on_after(MAX_SILENCE_SECONDS):
        return await anext(chunks, b"")
    return b""


def _retry_after(answer: httpcore.Response) -> float:
    for name, value in answer.headers:
        if name.lower() == b"retry-after":
            return min(MAX_RETRY_SECONDS, float(value))
    return 0.05


def _free_ports(count: int) -> list[int]:
    listeners = [bind(address=ANY_LOCAL_ADDRESS) for _ in range(count)]
    ports = [address_of(listener=listener).port for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


@asynccontextmanager
async def run_world(*, make: Callable[..., World]) -> AsyncIterator[World]:
    """Run the store of a world; its routers and tasks end with the context.

    Args:
        make: Makes the world; is given what ends with the context.
    """
    async with (
        httpcore.AsyncConnectionPool(max_connections=None) as http,
        anyio.create_task_group() as tasks,
    ):
        async with AsyncExitStack() as stack:
            world = make(stack=stack, tasks=tasks, http=http)
            world.store_address = await stack.enter_async_context(
                run_store(store=world.store)
            )
            try:
                yield world
            finally:
                for router in world.routers:
                    router.end()
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def run_versions_world(
    *,
    directory: Path,
    seed: int,
    routers: int,
    sources: tuple[str, ...] = (),
    versions: tuple[str, ...] = ("v1", "v1.1"),
) -> AsyncIterator[VersionsWorld]:
    """Run router processes before three endpoints of each version.

    Args:
        directory: Directory for settings and logs.
        seed: Seed of all random choices.
        routers: Number of routers.
        sources: Directories with the releases that the first routers run.
        versions: Versions of the endpoints at the start.
    """
    make = partial(VersionsWorld, directory=directory, generator=random.Random(seed))
    async with run_world(make=make) as world:
        world.store.configure(configuration=configuration())
        for _ in range(3):
            for version in versions:
                await world.add_runner(version)
        for number in range(routers):
            source = sources[number] if number < len(sources) else ""
            world.add_router(source=source)
        await world.start_all(first_start=True)
        yield world
