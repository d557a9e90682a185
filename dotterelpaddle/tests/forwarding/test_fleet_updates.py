"""Tests how routers receive configuration and endpoints, and keep them in outages."""

from __future__ import annotations

import orjson
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.platform.names import Header, Table
from dotterelpaddle.standins.store import Answering, Cutting, Refusing, Silent
from dotterelpaddle.tests.forwarding.harness import (
    Fleet,
    configuration,
    route,
    run_fleet,
    wait_until,
)

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

NO_STORE = Address(host="127.0.0.1", port=1)
FAULTS = [Refusing(status=503), Refusing(status=429), Silent(), Cutting()]


def _view(fleet: Fleet, router: int = 0):  # type: ignore[no-untyped-def]
    return fleet.routers[router].components.state.view


def _names(fleet: Fleet, router: int = 0) -> set[str]:
    ready = _view(fleet, router).ready(service="records")
    return {entry.endpoint for entry in ready}


async def test_router_without_configuration_is_not_ready_and_refuses() -> None:
    async with run_fleet(runners=0, routers=0) as fleet:
        fleet.store.condition = Refusing(status=503)
        router = await fleet.add_router()
        answer = await fleet.call("/safe/")

        assert not router.components.app.ready
        assert answer.status == 503
        assert float(dict(answer.headers)[b"retry-after"]) > 0


async def test_new_configuration_is_in_force() -> None:
    async with run_fleet() as fleet:
        routes = [route("new", "idempotent")]
        fleet.store.configure(configuration=configuration(version=2, routes=routes))
        await wait_until(lambda: _view(fleet).version == 2)

        assert (await fleet.call("/new/")).status == 200
        assert (await fleet.call("/safe/")).status == 404


async def test_removed_key_is_refused() -> None:
    async with run_fleet() as fleet:
        tenants = [{"name": "acme", "apiKeys": ["key-2"]}]
        changed = configuration(version=2, tenants=tenants)
        fleet.store.configure(configuration=changed)
        await wait_until(lambda: _view(fleet).version == 2)

        assert (await fleet.call("/safe/")).status == 401
        new = {Header.KEY: b"key-2"}
        assert (await fleet.call("/safe/", headers=new)).status == 200


async def test_newest_of_several_changes_is_taken() -> None:
    async with run_fleet() as fleet:
        for version in range(2, 9):
            fleet.store.configure(configuration=configuration(version=version))
        await wait_until(lambda: _view(fleet).version == 8)


async def test_older_version_is_never_in_force_again() -> None:
    async with run_fleet() as fleet:
        fleet.store.configure(configuration=configuration(version=5))
        await wait_until(lambda: _view(fleet).version == 5)
        fleet.store.configure(configuration=configuration(version=4))
        fleet.store.configure(configuration=configuration(version=6))
        seen = []

        def _reached_the_last() -> bool:
            seen.append(_view(fleet).version)
            return seen[-1] == 6

        await wait_until(_reached_the_last)

    assert 4 not in seen


@pytest.mark.parametrize(
    "document",
    [
        b"no json",
        b"[]",
        b"{}",
        orjson.dumps({**configuration(version=9), "routes": [{"name": "x"}]}),
        orjson.dumps({**configuration(version=9), "routes": "none"}),
        orjson.dumps(
            {**configuration(version=9), "routes": [route("x", "of-no-kind")]}
        ),
    ],
)
async def test_malformed_configuration_is_ignored(document: bytes) -> None:
    async with run_fleet() as fleet:
        calls = len(fleet.store.calls)
        fleet.store.configure(configuration=document)
        await wait_until(lambda: len(fleet.store.calls) > calls + 2)

        assert _view(fleet).version == 1
        assert (await fleet.call("/safe/")).status == 200
        fleet.store.configure(configuration=configuration(version=10))
        await wait_until(lambda: _view(fleet).version == 10)


async def test_unknown_fields_are_ignored() -> None:
    async with run_fleet() as fleet:
        newer = configuration(version=2, shapeOfThings={"to": "come"})
        newer["routes"][0]["colour"] = "red"
        fleet.store.configure(configuration=newer)
        await wait_until(lambda: _view(fleet).version == 2)


async def test_leaving_endpoint_gets_no_new_requests() -> None:
    async with run_fleet(runners=2) as fleet:
        fleet.register("runner-1", state="draining")
        await wait_until(lambda: _names(fleet) == {"runner-2"})
        for _ in range(6):
            await fleet.call("/safe/")

    assert not fleet.runners["runner-1"].received


async def test_endpoint_without_entry_serves_while_no_other_can() -> None:
    async with run_fleet() as fleet:
        fleet.store.remove(table=Table.ENDPOINTS, key="runner-1")
        await wait_until(lambda: not _names(fleet))

        assert (await fleet.call("/safe/")).status == 200


async def test_malformed_entry_is_ignored() -> None:
    async with run_fleet() as fleet:
        fleet.store.put(table=Table.ENDPOINTS, key="broken", value={"service": 3})
        await fleet.add_runner("runner-2")
        await wait_until(lambda: _names(fleet) == {"runner-1", "runner-2"})


@pytest.mark.parametrize("fault", FAULTS, ids=repr)
async def test_router_keeps_serving_while_the_store_fails(fault) -> None:  # type: ignore[no-untyped-def]
    async with run_fleet() as fleet:
        fleet.store.condition = fault
        fleet.store.wake()
        follower = fleet.routers[0].components.follower
        await wait_until(lambda: follower.age > 1.0)
        assert (await fleet.call("/safe/")).status == 200

        fleet.store.condition = Answering()
        fleet.store.configure(configuration=configuration(version=2))
        await wait_until(lambda: _view(fleet).version == 2)


async def test_router_reads_a_snapshot_after_lost_history() -> None:
    async with run_fleet(runners=2) as fleet:
        fleet.store.condition = Refusing(status=503)
        fleet.store.wake()
        fleet.store.configure(configuration=configuration(version=2))
        fleet.register("runner-1", state="draining")
        fleet.store.remove(table=Table.ENDPOINTS, key="runner-2")
        fleet.store.forget_history()
        fleet.store.condition = Answering()

        await wait_until(lambda: _view(fleet).version == 2)
        await wait_until(lambda: not _names(fleet))


async def test_entries_that_expired_in_a_store_outage_keep_serving() -> None:
    async with run_fleet(runners=2) as fleet:
        fleet.store.condition = Refusing(status=503)
        fleet.store.wake()
        follower = fleet.routers[0].components.follower
        await wait_until(lambda: follower.age > 1.2)
        fleet.store.remove(table=Table.ENDPOINTS, key="runner-1")
        fleet.store.condition = Answering()
        await wait_until(lambda: follower.age < 0.5)

        assert _names(fleet) == {"runner-1", "runner-2"}
        await wait_until(lambda: _names(fleet) == {"runner-2"})


async def test_router_without_store_access_gets_updates_from_peers() -> None:
    async with run_fleet() as fleet:
        storeless = await fleet.add_router(store=NO_STORE)
        await wait_until(lambda: storeless.components.app.ready)
        assert (await fleet.call("/safe/", router=1)).status == 200

        fleet.store.configure(configuration=configuration(version=2))
        await wait_until(lambda: _view(fleet, 1).version == 2)
        fleet.register("runner-1", state="draining")
        await wait_until(lambda: not _names(fleet, 1))


async def test_routers_count_each_others_requests() -> None:
    async with run_fleet(routers=2) as fleet:
        first, second = (router.components.state for router in fleet.routers)
        endpoint = EndpointId("runner-1")
        with first.loads.track(endpoint=endpoint):
            await wait_until(lambda: second.loads.loads()[endpoint] == 1)
        await wait_until(lambda: second.loads.loads()[endpoint] == 0)


async def test_stopping_router_is_not_ready() -> None:
    async with run_fleet() as fleet:
        app = fleet.routers[0].components.app
        assert app.ready
        app.start_draining()
        answer = await fleet.call("/safe/")

    assert not app.ready
    assert answer.status == 200
    assert dict(answer.headers)[b"connection"] == b"close"
