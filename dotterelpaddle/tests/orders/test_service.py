from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace

import anyio
import pytest

from dotterelpaddle.backing.http import open_platform
from dotterelpaddle.ids import EndpointId, RouterId, VersionId
from dotterelpaddle.leases.settings import LeaseSettings
from dotterelpaddle.links import Links
from dotterelpaddle.metrics import Metrics
from dotterelpaddle.orders.service import run_orders
from dotterelpaddle.orders.settings import OrderSettings
from dotterelpaddle.records.model import Version
from dotterelpaddle.standins.engine import EngineSettings, EngineStandin, run_engine
from dotterelpaddle.standins.engine_state import EngineState
from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.standins.platform import (
    PlatformSettings,
    PlatformStandin,
    run_platform,
)
from dotterelpaddle.tests.orders.fakes import FakeCatalog, FixedView, member
from dotterelpaddle.tests.orders.samples import MODEL, endpoint
from dotterelpaddle.tests.standins.calls import ANYWHERE, quick, until

pytestmark = pytest.mark.anyio

QUICK = OrderSettings(
    lease=LeaseSettings(
        duration=0.6, margin=0.2, renew_every=0.1, poll_every=0.05, retry_every=0.02
    ),
    idle_period=0.1,
    busy_period=0.02,
    inspections_per_second=500.0,
    order_timeout=0.15,
    settle_time=0.1,
    follow_timeout=5.0,
)
LOADED = EngineState(model=MODEL, version="v1")
BIG = 10**9


@dataclass
class Setting:
    """A platform, engines, and their records."""

    platform: PlatformStandin
    engines: list[EngineStandin]

    def records(self, *, version):
        return [
            endpoint(
                engine.name,
                version=version,
                address=engine.address,
                checks_fencing=engine.checks_fencing,
            )
            for engine in self.engines
        ]

    def versions(self):
        return {engine.state.version for engine in self.engines}


@asynccontextmanager
async def setting(*, count=4, load_time=0.03, checks=True, **platform):
    async with AsyncExitStack() as stack:
        standin = await stack.enter_async_context(
            quick(run_platform(address=ANYWHERE, **platform))
        )
        settings = EngineSettings(
            step=0.001, load_time=load_time, state=LOADED, checks_fencing=checks
        )
        engines = [
            await stack.enter_async_context(
                quick(run_engine(address=ANYWHERE, name=f"e{index}", settings=settings))
            )
            for index in range(count)
        ]
        yield Setting(platform=standin, engines=engines)


@asynccontextmanager
async def router(s, catalog, name="a", links=None, settings=QUICK):
    links = links or Links()
    url = f"http://{s.platform.address}"
    async with (
        open_platform(url=url, token="", timeout=0.2, links=links) as platform,
        run_orders(
            router=RouterId(name),
            catalog=catalog,
            platform=platform,
            view=FixedView(own=member(name)),
            links=links,
            metrics=Metrics(),
            settings=settings,
        ) as orders,
    ):
        yield orders


def holds(orders):
    return any(report.held for report in orders.report())


async def test_a_new_version_rolls_through_one_order_each():
    async with setting() as s:
        catalog = FakeCatalog(endpoints=s.records(version="v1"), min_serving=3)
        async with router(s, catalog) as orders:
            await until(lambda: holds(orders))
            catalog.change(endpoints=s.records(version="v2"))
            fewest = len(s.engines)
            with anyio.fail_after(10):
                while s.versions() != {"v2"}:
                    fewest = min(fewest, sum(not e.loading for e in s.engines))
                    await anyio.sleep(0.001)
        assert fewest == 3
        assert [len(engine.orders_obeyed) for engine in s.engines] == [1] * 4


async def test_min_serving_is_never_undercut_and_operators_are_told():
    async with setting(count=2) as s:
        catalog = FakeCatalog(endpoints=s.records(version="v2"), min_serving=2)
        async with router(s, catalog) as orders:
            await until(
                lambda: any(len(report.blocked) == 2 for report in orders.report())
            )
            (report,) = orders.report()
    assert {reason for _, reason in report.blocked} == {"min_serving"}
    assert s.versions() == {"v1"}


@pytest.mark.parametrize(
    "kind", [FaultKind.ORDER_LOST, FaultKind.ORDER_ANSWER_LOST, FaultKind.ORDER_LATE]
)
async def test_orders_are_read_back_until_they_are_followed(kind):
    async with setting(count=2) as s:
        for engine in s.engines:
            engine.faults.switch_on(kind=kind, count=1, seconds=0.3)
        catalog = FakeCatalog(endpoints=s.records(version="v2"))
        async with router(s, catalog):
            await until(lambda: s.versions() == {"v2"})
        assert all(engine.faults.hits == {kind: 1} for engine in s.engines)


async def test_an_engine_that_lost_its_state_is_repaired():
    async with setting(count=1) as s:
        catalog = FakeCatalog(endpoints=s.records(version="v1"))
        async with router(s, catalog) as orders:
            await until(lambda: holds(orders))
            s.engines[0].state = EngineState()
            await until(lambda: s.engines[0].state.model == MODEL)


async def test_transfers_wait_for_the_weight_store():
    # The platform's clock stands still, so only the first transfer may start.
    async with setting(
        count=3,
        settings=PlatformSettings(weight_bytes_per_second=BIG, writes_per_second=0),
        clock=lambda: 0.0,
    ) as s:
        version = Version(name=VersionId("v2"), model=MODEL, weight_bytes=100 * BIG)
        catalog = FakeCatalog(endpoints=s.records(version="v2"), versions=[version])
        async with router(s, catalog) as orders:
            await until(lambda: "v2" in s.versions())
            await until(lambda: orders.report()[0].moving == ())
            ordered = [len(engine.orders_obeyed) for engine in s.engines]
    assert ordered == [1, 0, 0]


@pytest.mark.parametrize("checks", [True, False])
async def test_a_late_order_of_a_paused_holder_does_no_lasting_harm(checks):
    async with setting(count=2, load_time=0.0, checks=checks) as s:
        late = s.engines[0]
        late.faults.switch_on(kind=FaultKind.ORDER_LATE, count=1, seconds=1.5)
        old = FakeCatalog(endpoints=s.records(version="old"))
        new = FakeCatalog(endpoints=s.records(version="new"))
        async with anyio.create_task_group() as tasks:

            async def _paused():
                async with router(s, old, name="a"):
                    await anyio.sleep_forever()

            tasks.start_soon(_paused)
            await until(lambda: late.faults.hits)
            tasks.cancel_scope.cancel()
        async with router(s, new, name="b") as orders:
            await until(lambda: holds(orders))
            assert orders.report()[0].epoch == 2
            await until(lambda: s.versions() == {"new"})
            # Now the order of the first holder arrives.
            await until(lambda: late.orders_refused or len(late.orders_obeyed) > 2)
            await until(lambda: s.versions() == {"new"})
        obeyed = [order.version for order in late.orders_obeyed]
        if checks:
            assert obeyed == ["new"]
            assert [order.version for order in late.orders_refused] == ["old"]
        else:
            assert obeyed == ["new", "old", "new"]


async def test_a_new_holder_waits_for_endpoints_that_ignore_fencing():
    patient = replace(QUICK, settle_time=60.0)
    async with setting(count=2, load_time=0.0) as s:
        s.engines[1].checks_fencing = False
        catalog = FakeCatalog(endpoints=s.records(version="v2"))
        async with router(s, catalog, settings=patient) as orders:
            await until(lambda: s.engines[0].state.version == "v2")
            await until(lambda: orders.report()[0].moving == ())
            (report,) = orders.report()
    assert report.blocked == ((EndpointId("e1"), "new_holder"),)
    assert s.engines[1].orders_obeyed == []


async def test_a_holder_that_reaches_no_engine_leaves_the_lease_to_another():
    links = Links()
    hasty = replace(QUICK, resign_after=0.2, resign_for=60.0)
    async with setting(count=2, load_time=0.0) as s:
        catalog = FakeCatalog(endpoints=s.records(version="v1"))
        async with (
            router(s, catalog, name="a", links=links, settings=hasty) as first,
            router(s, catalog, name="b", settings=hasty) as second,
        ):
            await until(lambda: holds(first) or holds(second))
            links.cut(peers=frozenset(engine.address for engine in s.engines))
            await until(lambda: holds(second))
            catalog.change(endpoints=s.records(version="v2"))
            await until(lambda: s.versions() == {"v2"})


async def test_a_holder_without_the_platform_stops_and_another_takes_over():
    links = Links()
    async with setting(count=2, load_time=0.0) as s:
        first_catalog = FakeCatalog(endpoints=s.records(version="v1"))
        second_catalog = FakeCatalog(endpoints=s.records(version="v2"))
        async with router(s, first_catalog, name="a", links=links) as first:
            await until(lambda: holds(first))
            async with router(s, second_catalog, name="b") as second:
                links.cut(peers=frozenset({s.platform.address}))
                await until(lambda: holds(second))
                assert not holds(first)
                await until(lambda: s.versions() == {"v2"})
                # The first one still has the old records and can reach engines.
                links.heal()
                await until(lambda: second.report()[0].moving == ())
                assert not holds(first)
    assert s.versions() == {"v2"}
