"""A router that relies on aggregators receives all updates from them."""

from __future__ import annotations

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.ids import EndpointId, ServiceName
from dotterelpaddle.peers import plan
from dotterelpaddle.tests.forwarding.harness import (
    SERVICE,
    Fleet,
    configuration,
    run_fleet,
    wait_until,
)

pytestmark = pytest.mark.anyio

NO_STORE = Address(host="127.0.0.1", port=1)


@pytest.fixture(autouse=True)
def small_mesh(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make two routers aggregate for a third one."""
    monkeypatch.setattr(plan, "MAX_MESH_ROUTERS", 2)


async def _add_member(fleet: Fleet) -> int:
    """Add two routers with fast links, and one that relies on them as aggregators.

    The last one can't connect to the store, so all its state comes from the others.
    """
    fleet_links = (100, 100)
    for link in fleet_links:
        await fleet.add_router(link_mbps=link)
    member = await fleet.add_router(link_mbps=1, store=NO_STORE)
    state = member.components.state
    await wait_until(
        lambda: not state.totals.is_aggregator and member.components.app.ready
    )
    return len(fleet.routers) - 1


async def test_member_receives_configuration_and_endpoints_from_others() -> None:
    async with run_fleet(routers=0) as fleet:
        member = await _add_member(fleet)
        view = fleet.routers[member].components.state.view

        fleet.store.configure(configuration=configuration(version=2))
        await wait_until(lambda: view.version == 2)
        await fleet.add_runner("runner-2")
        await wait_until(lambda: len(view.ready(service=ServiceName(SERVICE))) == 2)
        fleet.register("runner-1", state="draining")
        await wait_until(lambda: len(view.ready(service=ServiceName(SERVICE))) == 1)
        answer = await fleet.call("/safe/", router=member)

    assert answer.status == 200


async def test_member_counts_the_requests_of_all_routers() -> None:
    async with run_fleet(routers=0) as fleet:
        member = await _add_member(fleet)
        trackers = [router.components.state.loads for router in fleet.routers]
        endpoint = EndpointId("runner-1")
        with (
            trackers[0].track(endpoint=endpoint),
            trackers[1].track(endpoint=endpoint),
            trackers[member].track(endpoint=endpoint),
        ):
            await wait_until(
                lambda: all(tracker.loads()[endpoint] == 3 for tracker in trackers)
            )


async def test_member_continues_without_aggregators() -> None:
    async with run_fleet(routers=0) as fleet:
        member = await _add_member(fleet)
        components = fleet.routers[member].components
        for router in fleet.routers[:member]:
            router.components.exchange._plan.recipients = list  # type: ignore[method-assign]

        await wait_until(lambda: components.state.totals.is_aggregator)
        answer = await fleet.call("/safe/", router=member)

    assert answer.status == 200
