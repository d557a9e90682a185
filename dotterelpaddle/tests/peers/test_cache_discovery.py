"""Who asks engines what they have cached, after all routers stopped at once."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.interface import CachedParts, EndpointsUpdate
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointId, FailureDomain, ModelId, Revision
from dotterelpaddle.owners.shards import ShardMap
from dotterelpaddle.peers.cache_discovery import (
    GIVE_UP_SECONDS,
    MAX_ENGINES_QUERIED_BY_ALL,
    QUERY_DELAY_SECONDS,
    READER_SETTLED_SECONDS,
    CacheDiscovery,
)
from dotterelpaddle.tests.forwarding.entries import make_entry

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry

pytestmark = pytest.mark.anyio

PART = 7

LIMIT = 30.0
"""Seconds after which a wait fails; it takes a tenth of one."""


class World:
    """One router that has just started, and its engines."""

    def __init__(self, *, engines: int, first: bool) -> None:
        self.now = 0.0
        self.asked: set[str] = set()
        self.silent: set[str] = set()
        self.leaving: set[str] = set()
        self.view = FleetView(clock=lambda: self.now)
        entries = tuple(
            make_entry(
                f"engine-{number}",
                models=frozenset({ModelId("m")}),
                failure_domain=FailureDomain("here" if number % 5 == 0 else "there"),
            )
            for number in range(engines)
        )
        read = EndpointsUpdate(revision=Revision(1), entries=entries, is_snapshot=True)
        self.view.apply_endpoints_update(update=read)
        route = SimpleNamespace(
            host="a.example",
            prefix="/",
            services=(SimpleNamespace(service=entries[0].service),),
        )
        self.view.apply_configuration(
            configuration=SimpleNamespace(version=1, routes=(route,))  # type: ignore[arg-type]
        )
        self.caches = CacheMap(clock=lambda: self.now)
        self.word = SimpleNamespace(is_platform_reader=first, is_domain_owner=None)
        self.quiet = EndpointBackoffs(clock=lambda: self.now)
        self.lists = CacheDiscovery(
            view=self.view,
            caches=self.caches,
            peer_summary=self.word,  # type: ignore[arg-type]
            shards=ShardMap(view=self.view),
            quiet=self.quiet,
            reader=SimpleNamespace(cached_parts=self._cached),
            failure_domain=FailureDomain("here"),
            clock=lambda: self.now,
        )

    async def _cached(self, *, entry: EndpointEntry) -> CachedParts:
        self.asked.add(entry.endpoint)
        if entry.endpoint in self.silent:
            await anyio.sleep_forever()
        return CachedParts(
            endpoint=entry.endpoint,
            parts=(PART,),
            leaving=entry.endpoint in self.leaving,
        )

    async def look(self, at: float) -> None:
        self.now = at
        await self.lists.discover()


async def test_each_router_asks_a_few_engines() -> None:
    world = World(engines=MAX_ENGINES_QUERIED_BY_ALL, first=False)

    await world.look(QUERY_DELAY_SECONDS)

    assert len(world.asked) == MAX_ENGINES_QUERIED_BY_ALL
    assert world.caches.is_populated


async def test_one_router_asks_many_engines() -> None:
    world = World(engines=MAX_ENGINES_QUERIED_BY_ALL + 1, first=True)

    await world.look(QUERY_DELAY_SECONDS)
    early = len(world.asked)
    await world.look(READER_SETTLED_SECONDS)

    assert early == 0
    assert len(world.asked) == MAX_ENGINES_QUERIED_BY_ALL + 1
    assert world.caches.part_count == 1


async def test_the_others_wait_for_it_and_not_for_ever() -> None:
    world = World(engines=MAX_ENGINES_QUERIED_BY_ALL + 1, first=False)

    await world.look(READER_SETTLED_SECONDS)
    waiting = world.caches.is_populated
    await world.look(GIVE_UP_SECONDS)

    assert not waiting
    assert world.caches.is_populated
    assert not world.asked


async def test_engine_that_does_not_answer_keeps_nobody_waiting() -> None:
    """All routers start behind a cut that some engines lie beyond."""
    world = World(engines=3, first=False)
    world.silent.add("engine-1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.look, QUERY_DELAY_SECONDS)
        with anyio.fail_after(LIMIT):
            await world.caches._populated.wait()
        read = len(world.caches.all_uses())
        tasks.cancel_scope.cancel()

    assert world.asked == {"engine-0", "engine-1", "engine-2"}
    assert read == 2


async def test_member_of_a_large_fleet_asks_no_engine() -> None:
    """Hundreds of routers start at once; each hears of few others at first."""
    world = World(engines=59, first=True)
    await world.look(QUERY_DELAY_SECONDS)
    world.word.is_domain_owner = False
    await world.look(READER_SETTLED_SECONDS)

    assert world.caches.is_populated
    assert not world.asked


async def test_owner_asks_the_engines_of_its_failure_domain_once() -> None:
    world = World(engines=59, first=False)
    world.word.is_domain_owner = False
    await world.look(QUERY_DELAY_SECONDS)
    world.word.is_domain_owner = True
    await world.look(READER_SETTLED_SECONDS)
    asked = set(world.asked)
    world.asked.clear()
    await world.look(GIVE_UP_SECONDS)

    assert asked == {f"engine-{number}" for number in range(0, 59, 5)}
    assert not world.asked


async def test_engine_that_wants_quiet_is_not_asked() -> None:
    world = World(engines=3, first=True)
    quiet = EndpointId("engine-1")
    world.quiet.record(endpoint=quiet, seconds=5.0)
    await world.look(QUERY_DELAY_SECONDS)

    assert world.asked == {"engine-0", "engine-2"}


async def test_engine_whose_list_says_that_it_leaves_gets_no_work() -> None:
    world = World(engines=3, first=True)
    world.leaving.add("engine-1")
    await world.look(QUERY_DELAY_SECONDS)
    entry = world.view.entries[0]

    ready = world.view.ready(service=entry.service)
    assert [each.endpoint for each in ready] == ["engine-0", "engine-2"]
