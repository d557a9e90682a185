"""Failure domains that the operator has evacuated get no new work.

What was seen: 2,796 requests reached endpoints of a domain more than 5 s after its
evacuation was acknowledged, from all routers alike.

How it came about: of the operator's rows only the configuration was read.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.platform.names import Table
from dotterelpaddle.tests.forwarding.harness import run_fleet, until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = pytest.mark.anyio

HERE, THERE = "here", "there"
CALLS = 12
"""Requests that would all go to an endpoint near the router."""


@asynccontextmanager
async def _two_domains(*, routers: int = 1) -> AsyncIterator[Fleet]:
    """Run a fleet with one endpoint in each of two failure domains."""
    async with run_fleet(runners=0, routers=0) as fleet:
        for domain in (HERE, THERE):
            await fleet.add_runner(domain, zone=domain)
        for _ in range(routers):
            await _start_router(fleet)
        yield fleet


async def _start_router(fleet: Fleet) -> None:
    router = await fleet.add_router()
    await until(lambda: router.parts.app.ready)


def _evacuate(fleet: Fleet, domain: str) -> None:
    fleet.store.put(table=Table.OPERATOR, key=f"evacuate/{domain}", value={})


async def _reached(fleet: Fleet, *, router: int = 0) -> set[str]:
    """Send some requests, and tell which endpoints they reach."""
    before = {name: len(each.received) for name, each in fleet.runners.items()}
    for _ in range(CALLS):
        await fleet.call("/safe/", router=router)
    return {
        name
        for name, each in fleet.runners.items()
        if len(each.received) > before[name]
    }


async def test_router_that_starts_knows_evacuations_before_its_first_request() -> None:
    """Guards against work for an evacuated domain from routers that just started."""
    async with _two_domains(routers=0) as fleet:
        _evacuate(fleet, HERE)
        await _start_router(fleet)

        assert await _reached(fleet) == {THERE}


async def test_evacuation_is_heeded_by_a_router_that_runs() -> None:
    """Guards against work for a domain that was evacuated while routers ran."""
    async with _two_domains() as fleet:
        _evacuate(fleet, HERE)
        for _ in range(20):
            reached = await _reached(fleet)

    assert reached == {THERE}
