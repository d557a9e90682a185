"""Real routers whose links to endpoints come and go while others stop and start.

The environment variable CUT_SEEDS sets the first seed, the number of seeds and the
number of routers, such as "1 50 4".
"""

from __future__ import annotations

import os
import random
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpcore
import pytest

from dotterelpaddle.platform.names import Header
from dotterelpaddle.tests.forwarding.harness import run_fleet, wait_until

if TYPE_CHECKING:
    from dotterelpaddle.tests.forwarding.harness import Fleet, Headers

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

FIRST_SEED, SEED_COUNT, ROUTERS = (
    int(each) for each in os.environ.get("CUT_SEEDS", "1 2 3").split()
)
RUNNERS = 3
STEPS = 14
MAX_PAUSE_SECONDS = 0.4
CALLERS_PER_ROUTER = 2
PATHS = ("/safe/1", "/unsafe/1", "/stream/1", "/stream/again/1")
EVENTS, EVENT_PAUSE_SECONDS = 4, 0.02
MAX_SILENCE_SECONDS = 1.0
NOT_EXECUTED_STATUSES = frozenset({429, 503})


@dataclass(kw_only=True)
class Faults:
    """What happens to the links, the endpoints and one router that comes and goes.

    Attributes:
        fleet: The routers and the endpoints.
        generator: Source of the faults, and of nothing else: how often callers draw
            depends on the speed of the machine.
        paths: Source of the paths that callers ask for.
        refused: Ids of requests whose callers were told that they had not run.
        statuses: Number of answers by status; 0 for a broken connection. Only calls
            during all of which a running router had a link to an endpoint count.
        outages: Number of times at which the last link of all running routers broke.
    """

    fleet: Fleet
    generator: random.Random
    paths: random.Random
    refused: set[bytes] = field(default_factory=set)
    statuses: Counter[int] = field(default_factory=Counter)
    outages: int = 0
    _had_link: bool = True

    def step(self) -> None:
        """Let one thing happen."""
        self.generator.choice((self.cut, self.refuse, self.heal, self.silence))()
        self.note_links()

    def note_links(self) -> None:
        """Record whether any running router still has a link to an endpoint."""
        has_link = any(
            links.is_open(peer=address) and not links.is_refused(peer=address)
            for links in self.fleet.links
            for address in self.fleet.addresses.values()
        )
        self.outages += self._had_link and not has_link
        self._had_link = has_link

    def cut(self) -> None:
        """Connections of a router to some endpoints hang."""
        self._links().cut(peers=self._some_endpoints())

    def refuse(self) -> None:
        """New connections of a router to some endpoints are refused."""
        self._links().refuse(peers=self._some_endpoints())

    def heal(self) -> None:
        """A router reaches all endpoints again."""
        self._links().heal()

    def silence(self) -> None:
        """An endpoint falls silent for a moment."""
        runner = self.generator.choice(list(self.fleet.runners.values()))
        seconds = self.generator.uniform(0.1, MAX_SILENCE_SECONDS)
        runner.silent_until = anyio.current_time() + seconds

    def heal_all(self) -> None:
        """End all faults."""
        for links in self.fleet.links:
            links.heal()
        for runner in self.fleet.runners.values():
            runner.silent_until = 0.0

    def _links(self):
        # One draw for any number of routers, as the last one comes and goes.
        links = self.fleet.links
        return links[int(self.generator.random() * len(links))]

    def _some_endpoints(self):
        addresses = list(self.fleet.addresses.values())
        # All of them as a rule: that is the fault in question.
        count = self.generator.choice((RUNNERS, RUNNERS, 1))
        return frozenset(self.generator.sample(addresses, count))

    async def call_until_cancelled(self, *, router: int) -> None:
        """Send requests to one router, one after the other."""
        while True:
            await self.call(router=router, path=self.paths.choice(PATHS))
            await anyio.sleep(0.01)

    async def call(self, *, router: int, path: str) -> int:
        """Send a request and check what can be checked at once."""
        headers = self.fleet.headers()
        had_link, outages = self._had_link, self.outages
        status = await self._send(router=router, path=path, headers=headers)
        if had_link and outages == self.outages:
            self.statuses[status] += 1
        return status

    async def _send(self, *, router: int, path: str, headers: Headers) -> int:
        try:
            response = await self.fleet.http.request(
                "POST",
                self.fleet.url(path, router=router),
                headers=list(headers.items()),
                content=b"",
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0
        request_id = headers[Header.REQUEST_ID]
        if response.status == 200:
            assert dict(response.headers)[Header.REQUEST_ID] == request_id
        if response.status in NOT_EXECUTED_STATUSES and "unsafe" in path:
            self.refused.add(request_id)
        return response.status

    def check(self) -> None:
        """Check that nothing ran twice, or though its caller was told otherwise."""
        runs = Counter(
            run.request_id
            for runner in self.fleet.runners.values()
            for run in runner.runs
            if b"/unsafe/" in run.target
        )
        assert all(count == 1 for count in runs.values())
        assert not self.refused & runs.keys()


async def _stop_and_start(faults: Faults, generator: random.Random) -> None:
    """Let one more router come and go; it carries connections of others."""
    fleet = faults.fleet
    while True:
        async with AsyncExitStack() as stack:
            outer, fleet.stack = fleet.stack, stack
            router = await fleet.add_router(shutdown_timeout=3.0)
            fleet.stack = outer
            faults.note_links()
            await anyio.sleep(generator.uniform(0.5, 1.5))
            fleet.routers.remove(router)
            fleet.links.pop()
            faults.note_links()


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
async def test_requests_survive_links_that_come_and_go(seed: int) -> None:
    """Guards against answers and promises that break on the way through a router."""
    generator = random.Random(seed)
    stops = random.Random(f"{seed} stops")
    async with run_fleet(runners=RUNNERS, routers=ROUTERS) as fleet:
        for runner in fleet.runners.values():
            runner.events, runner.pause = EVENTS, EVENT_PAUSE_SECONDS
        faults = Faults(
            fleet=fleet, generator=generator, paths=random.Random(f"{seed} paths")
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_and_start, faults, stops)
            for router in range(ROUTERS):
                for _ in range(CALLERS_PER_ROUTER):
                    tasks.start_soon(_call_forever, faults, router)
            for _ in range(STEPS):
                faults.step()
                await anyio.sleep(generator.uniform(0.05, MAX_PAUSE_SECONDS))
            faults.heal_all()
            tasks.cancel_scope.cancel()
        await wait_until(lambda: not _any_lost(fleet))
        statuses = [
            await faults.call(router=router, path=path)
            for router in range(ROUTERS)
            for path in PATHS
        ]
        faults.check()

    assert set(statuses) == {200}
    assert faults.statuses[200] > faults.statuses.total() / 2, faults.statuses


async def _call_forever(faults: Faults, router: int) -> None:
    await faults.call_until_cancelled(router=router)


def _any_lost(fleet: Fleet) -> bool:
    return any(
        router.components.reachability.is_suspect(endpoint=entry.endpoint)
        for router in fleet.routers[:ROUTERS]
        for entry in router.components.state.view.entries
    )
