"""Most new connections go to one router, and callers open more of them.

For some seconds a load balancer hands nine of ten new connections to one router, then
to another one. Of the requests that routers read, the share that is served at the first
attempt may not fall below three quarters of what it was before.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpcore
import pytest

from dotterelpaddle.tests.forwarding.harness import run_fleet

if TYPE_CHECKING:
    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = pytest.mark.anyio

ROUTERS, RUNNERS = 3, 4
ROOM = 6
"""Requests that an endpoint serves at a time; it rejects others."""

EVENTS, EVENT_PAUSE_SECONDS = 4, 0.01
PATHS = ("/safe/1", "/unsafe/1", "/stream/1", "/stream/again/1")
CALLS, INTERVAL_SECONDS = 120, 0.02
"""Requests of a phase at the usual rate, and the seconds between two of them."""

SKEWED_SHARE, SKEWED_RATE = 0.9, 1.5
MIN_SHARE_OF_BEFORE = 0.75
SUCCESS = 200


@dataclass(kw_only=True)
class Balancer:
    """Hands each request to a router over a new connection; its first try counts.

    Attributes:
        fleet: The routers and the endpoints.
        generator: Chooses routers and paths.
        answers: Requests by phase, and whether they were served.
    """

    fleet: Fleet
    generator: random.Random
    answers: dict[str, Counter[bool]] = field(default_factory=dict)

    async def run(self, *, phase: str, to: int | None = None) -> None:
        """Send the requests of one phase.

        Args:
            phase: Its name.
            to: Router that most of them go to, at a higher rate; None for none.
        """
        self.answers[phase] = Counter()
        faster = 1.0 if to is None else SKEWED_RATE
        async with anyio.create_task_group() as tasks:
            for _ in range(round(CALLS * faster)):
                router = self.generator.randrange(ROUTERS)
                if to is not None and self.generator.random() < SKEWED_SHARE:
                    router = to
                path = self.generator.choice(PATHS)
                tasks.start_soon(self._call, phase, router, path)
                await anyio.sleep(INTERVAL_SECONDS / faster)

    def share(self, *, phase: str) -> float:
        """Return the share of requests served at the first attempt."""
        counts = self.answers[phase]
        return counts[True] / counts.total()

    async def _call(self, phase: str, router: int, path: str) -> None:
        headers = list(self.fleet.headers().items())
        url = self.fleet.url(path, router=router)
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                answer = await pool.request("POST", url, headers=headers)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                self.answers[phase][False] += 1
                return
        self.answers[phase][answer.status == SUCCESS] += 1


# Guards against a router that serves less as soon as most new connections go to it.
@pytest.mark.parametrize("seed", [1, 2])
async def test_requests_are_served_while_most_connections_go_to_one_router(
    seed: int,
) -> None:
    async with run_fleet(routers=ROUTERS, runners=RUNNERS) as fleet:
        for runner in fleet.runners.values():
            runner.room = ROOM
            runner.events, runner.pause = EVENTS, EVENT_PAUSE_SECONDS
        balancer = Balancer(fleet=fleet, generator=random.Random(seed))
        await balancer.run(phase="before")
        for router in range(ROUTERS):
            await balancer.run(phase=f"router-{router}", to=router)

    required = MIN_SHARE_OF_BEFORE * balancer.share(phase="before")
    for router in range(ROUTERS):
        assert balancer.share(phase=f"router-{router}") >= required, balancer.answers
