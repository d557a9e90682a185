"""Tests that failure domains that the operator has evacuated get no new requests.

Guards against an incident in which 2,796 requests from all routers reached endpoints of
a domain more than 5 s after the operator's evacuation was acknowledged. The routers
read only the configuration from the operator's rows, not the evacuations.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.candidates import EVACUATED_RETRY_AFTER_SECONDS
from dotterelpaddle.platform.names import Header, Table
from dotterelpaddle.tests.forwarding.harness import run_fleet, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = pytest.mark.anyio

NO_STORE = Address(host="127.0.0.1", port=9)
HERE, THERE = "here", "there"
CALLS_PER_CHECK = 12
"""Number of requests that would all go to an endpoint near the router."""


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
    await wait_until(lambda: router.components.app.ready)


def _evacuate(fleet: Fleet, domain: str) -> None:
    fleet.store.put(table=Table.OPERATOR, key=f"evacuate/{domain}", value={})


async def _reached(fleet: Fleet, *, router: int = 0) -> set[str]:
    """Send some requests and return the endpoints that they reach."""
    before = {name: len(each.received) for name, each in fleet.runners.items()}
    for _ in range(CALLS_PER_CHECK):
        await fleet.call("/safe/", router=router)
    return {
        name
        for name, each in fleet.runners.items()
        if len(each.received) > before[name]
    }


async def test_starting_router_applies_evacuations_before_its_first_request() -> None:
    """Guards against requests to an evacuated domain from routers that just started."""
    async with _two_domains(routers=0) as fleet:
        _evacuate(fleet, HERE)
        await _start_router(fleet)

        assert await _reached(fleet) == {THERE}


async def test_running_router_applies_an_evacuation() -> None:
    """Guards against requests to a domain that was evacuated while routers ran."""
    async with _two_domains() as fleet:
        _evacuate(fleet, HERE)
        for _ in range(20):
            reached = await _reached(fleet)

    assert reached == {THERE}


async def test_router_receives_evacuations_from_peers() -> None:
    """Guards against requests to an evacuated domain while a router has no store."""
    async with _two_domains() as fleet:
        router = await fleet.add_router(store=NO_STORE)
        await wait_until(lambda: router.components.app.ready)
        view = router.components.state.view
        _evacuate(fleet, HERE)
        await wait_until(lambda: view.evacuations.domains)

        assert await _reached(fleet, router=1) == {THERE}


async def test_domain_gets_requests_again_after_its_evacuation() -> None:
    """Guards against endpoints that get no requests after an evacuation."""
    async with _two_domains() as fleet:
        view = fleet.routers[0].components.state.view
        _evacuate(fleet, HERE)
        await wait_until(lambda: view.evacuations.domains)
        fleet.store.remove(table=Table.OPERATOR, key=f"evacuate/{HERE}")
        await wait_until(lambda: not view.evacuations.domains)

        assert await _reached(fleet) == {HERE}


async def test_requests_are_refused_at_once_if_all_domains_are_evacuated() -> None:
    """Guards against requests that wait or run while all domains are evacuated."""
    async with _two_domains() as fleet:
        view = fleet.routers[0].components.state.view
        for domain in (HERE, THERE):
            _evacuate(fleet, domain)
        await wait_until(lambda: len(view.evacuations.domains) == 2)
        answer = await fleet.call("/unsafe/")
        headers = {name.lower(): value for name, value in answer.headers}

        assert answer.status == 503
        assert float(headers[Header.RETRY_AFTER]) == EVACUATED_RETRY_AFTER_SECONDS
        assert not any(each.received for each in fleet.runners.values())
