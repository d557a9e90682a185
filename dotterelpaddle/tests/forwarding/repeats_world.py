"""Router processes before endpoints that fail, and the repeats that reach these.

The fleets have the routers, endpoints and kinds of requests of small deployments. What
endpoints see is counted as the bounds on repeats state it, whatever routers log.
"""

from __future__ import annotations

import random
import signal
from bisect import bisect_left
from collections import defaultdict
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.platform.names import Header
from dotterelpaddle.standins.behaviours import Fail, LoseAnswer, Refuse
from dotterelpaddle.standins.runner import RunnerStandin
from dotterelpaddle.tests.forwarding.silence_callers import TIME_LEFT_SECONDS
from dotterelpaddle.tests.forwarding.silence_world import (
    MAX_ATTEMPTS,
    SilenceWorld,
)
from dotterelpaddle.tests.forwarding.versions_world import RESTART_SECONDS, run_world

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
    from pathlib import Path

    from anyio.abc import SocketStream

    from dotterelpaddle.standins.runner import Behaviour, Received
    from dotterelpaddle.tests.forwarding.router_processes import RouterProcess

SHARE, ALLOWANCE, WINDOW_SECONDS = 0.2, 50, 10.0
"""The bound on repeats in the settings of `RouterProcess`."""

LATE_SECONDS = 0.5
"""Seconds by which an endpoint may be told more time than is left."""

FAILURES = (Fail(), LoseAnswer(), Refuse())


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        at: Time on the loop's clock.
        request_id: Request id of the caller's attempt.
        endpoint: Name of the endpoint.
        seconds_left: Time that the endpoint was told to have, seconds.
        run: Whether the endpoint began to work on it.
    """

    at: float
    request_id: bytes
    endpoint: str
    seconds_left: float
    run: bool


@dataclass(kw_only=True)
class FailingRunner(RunnerStandin):
    """An endpoint that fails a share of its requests, in any of several ways."""

    service: str
    world: RepeatsWorld

    async def _answer(
        self, stream: SocketStream, request: Received, behaviour: Behaviour
    ) -> bool:
        world = self.world
        if world.dice.random() < world.failing_share:
            behaviour = world.dice.choice(FAILURES)
        arrival = Arrival(
            at=anyio.current_time(),
            request_id=request.request_id,
            endpoint=self.name,
            seconds_left=int(request.headers[Header.TIME_LEFT_MS]) / 1000,
            run=not isinstance(behaviour, Refuse),
        )
        world.arrivals[self.service].append(arrival)
        return await super()._answer(stream, request, behaviour)


@dataclass(kw_only=True)
class RepeatsWorld(SilenceWorld):
    """A fleet of router processes before endpoints that fail.

    Attributes:
        dice: Decides which requests fail.
        failing_share: Share of their requests that endpoints fail.
        arrivals: What reached the endpoints of each service, in order.
    """

    dice: random.Random
    failing_share: float = 0.0
    arrivals: dict[str, list[Arrival]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def new_runner(self, *, service: str, version: str) -> RunnerStandin:
        """Return an endpoint of a service that is not started yet."""
        fields = self.runner_fields(version=version)
        return FailingRunner(service=service, world=self, **fields)

    async def lose(
        self, routers: Iterable[RouterProcess], *, seconds: float, first_start: bool
    ) -> None:
        """Kill routers at once, and start them again later."""
        chosen = list(routers)
        for router in chosen:
            router.send(signal.SIGKILL)
        for router in chosen:
            await router.wait()
        await anyio.sleep(max(seconds, RESTART_SECONDS))
        for router in chosen:
            self.start(router, first_start=first_start)
        for router in chosen:
            await self.until_ready(router)

    def excess(self) -> dict[str, float]:
        """Return the most repeats of any window beyond its bound, by service."""
        return {
            service: max(
                (repeats - allowed for repeats, allowed in self._windows(service)),
                default=float("-inf"),
            )
            for service in self.arrivals
        }

    def worst_windows(self) -> dict[str, tuple[int, float]]:
        """Return repeats and bound of the window with the largest share, by service."""
        return {
            service: max(
                self._windows(service),
                key=lambda window: window[0] / window[1],
                default=(0, float(ALLOWANCE)),
            )
            for service in self.arrivals
        }

    def _windows(self, service: str) -> list[tuple[int, float]]:
        """Return repeats and bound of each window that begins with a repeat."""
        seen: set[bytes] = set()
        repeats = []
        for arrival in self.arrivals[service]:
            if arrival.request_id in seen:
                repeats.append(arrival.at)
            seen.add(arrival.request_id)
        sent = sorted(
            call.sent_at for call in self.calls if f"/{service}/" in call.path
        )
        return [(_count(repeats, start), _allowed(sent, start)) for start in repeats]

    def run_at_too_many(self) -> list[bytes]:
        """Return requests that ran at more endpoints than the route's attempts."""
        endpoints: dict[bytes, set[str]] = defaultdict(set)
        for arrival in self._all_arrivals():
            if arrival.run:
                endpoints[arrival.request_id].add(arrival.endpoint)
        return [
            request_id
            for request_id, names in endpoints.items()
            if len(names) > MAX_ATTEMPTS
        ]

    def told_too_much_time(self) -> list[Arrival]:
        """Return arrivals told a deadline beyond the first one's and the caller's."""
        ends: dict[bytes, float] = {}
        late = []
        for arrival in self._all_arrivals():
            end = arrival.at + arrival.seconds_left
            first = ends.setdefault(arrival.request_id, end)
            last = min(first, arrival.at + TIME_LEFT_SECONDS)
            if end > last + LATE_SECONDS:
                late.append(arrival)
        return late

    def _all_arrivals(self) -> list[Arrival]:
        return [each for arrivals in self.arrivals.values() for each in arrivals]


def _allowed(sent: Sequence[float], start: float) -> float:
    windows = (start, start - WINDOW_SECONDS / 2, start - WINDOW_SECONDS)
    return SHARE * max(_count(sent, first) for first in windows) + ALLOWANCE


def _count(times: Sequence[float], start: float) -> int:
    return bisect_left(times, start + WINDOW_SECONDS) - bisect_left(times, start)


@asynccontextmanager
async def run_repeats_world(
    *,
    directory: Path,
    seed: int,
    domains: Sequence[str],
    versions: Mapping[str, Sequence[str]],
    callers: int,
    source: str = "",
    options: Mapping[str, Any] | None = None,
) -> AsyncIterator[RepeatsWorld]:
    """Run router processes and callers before endpoints that can fail.

    Args:
        directory: Directory for settings and logs.
        seed: Seed of all random choices.
        domains: Failure domain of each router.
        versions: Software versions of the endpoints of each service.
        callers: Number of callers.
        source: Directory with the release that the routers run, empty for this one.
        options: Further settings of the routers.
    """
    make = partial(
        RepeatsWorld,
        directory=directory,
        generator=random.Random(seed),
        dice=random.Random(seed),
        versions=versions,
    )
    async with run_world(make=make) as world:
        await world.add_endpoints()
        for domain in domains:
            router = world.add_router(source=source)
            router.failure_domain = domain
            router.shutdown_seconds = 8
            router.options = dict(options or {})
            world.callers.routers = [*world.callers.routers, router.callers]
        await world.start_all(first_start=True)
        for _ in range(callers):
            world.tasks.start_soon(world.callers.call)
        yield world
