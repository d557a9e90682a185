"""Runs the orders of all pools on one router."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.clock import monotonic
from dotterelpaddle.endpoint.caller import EndpointCaller
from dotterelpaddle.endpoint.engine import EngineClient
from dotterelpaddle.leases.service import run_lease
from dotterelpaddle.orders.candidates import Candidates
from dotterelpaddle.orders.pool import PoolOrders
from dotterelpaddle.orders.report import OrderMetrics
from dotterelpaddle.orders.settings import OrderSettings
from dotterelpaddle.records.model import PoolKind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.backing.interface import Platform
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import PoolId, RouterId
    from dotterelpaddle.links import Links
    from dotterelpaddle.membership.view import View
    from dotterelpaddle.metrics import Metrics
    from dotterelpaddle.orders.report import PoolReport

VIEW_PERIOD = 2.0
"""Seconds between two looks at the list of members."""

LEASE_PREFIX = "orders/"


@asynccontextmanager
async def run_orders(
    *,
    router: RouterId,
    catalog: Catalog,
    platform: Platform,
    view: View,
    links: Links,
    metrics: Metrics,
    settings: OrderSettings | None = None,
    clock: Clock = monotonic,
) -> AsyncIterator[Orders]:
    """Contend for the pools' leases and give orders until the context ends.

    Leases that are held are released at the end.

    Args:
        router: This router.
        catalog: The records in force.
        platform: The platform.
        view: This router's list of members.
        links: The process's links.
        metrics: The router's metrics.
        settings: Times and bounds of orders.
        clock: Source of time.

    Yields:
        The running orders.
    """
    caller = EndpointCaller(links=links, clock=clock)
    orders = Orders(
        router=router,
        catalog=catalog,
        platform=platform,
        view=view,
        engines=EngineClient(caller=caller),
        metrics=OrderMetrics(metrics=metrics),
        settings=settings or OrderSettings(),
        clock=clock,
    )
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(orders.run)
            yield orders
            orders.stop()
    finally:
        await caller.aclose()


class Orders:
    """The pools for which this router contends or gives orders.

    Args:
        router: This router.
        catalog: The records in force.
        platform: The platform.
        view: This router's list of members.
        engines: Client of engines.
        metrics: Metrics of orders.
        settings: Times and bounds of orders.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        router: RouterId,
        catalog: Catalog,
        platform: Platform,
        view: View,
        engines: EngineClient,
        metrics: OrderMetrics,
        settings: OrderSettings,
        clock: Clock,
    ) -> None:
        self._router = router
        self._catalog = catalog
        self._platform = platform
        self._candidates = Candidates(view=view, contenders=settings.contenders)
        self._engines = engines
        self._metrics = metrics
        self._settings = settings
        self._clock = clock
        self._running: dict[PoolId, PoolOrders] = {}
        self._ends: dict[PoolId, anyio.Event] = {}
        self._stopping = False
        self._wake = anyio.Event()
        catalog.on_change(handler=self._on_change)

    def report(self) -> tuple[PoolReport, ...]:
        """Tell operators how the orders of the pools stand."""
        return tuple(running.report() for running in self._running.values())

    async def run(self) -> None:
        """Follow the records and the list of members until stopped."""
        async with anyio.create_task_group() as tasks:
            while not self._stopping:
                for pool in self._missing():
                    end = self._ends[pool] = anyio.Event()
                    tasks.start_soon(partial(self._run_pool, pool=pool, end=end))
                self._update()
                with anyio.move_on_after(VIEW_PERIOD):
                    await self._wake.wait()
                self._wake = anyio.Event()
            for end in self._ends.values():
                end.set()

    def stop(self) -> None:
        """Give no more orders and release the leases."""
        self._stopping = True
        self._wake.set()

    def _on_change(self) -> None:
        self._wake.set()
        for running in self._running.values():
            running.wake()

    def _engine_pools(self) -> frozenset[PoolId]:
        pools = self._catalog.pools()
        return frozenset(pool.name for pool in pools if pool.kind is PoolKind.ENGINE)

    def _missing(self) -> tuple[PoolId, ...]:
        """Return the pools that this router should begin to contend for."""
        return tuple(
            pool
            for pool in sorted(self._engine_pools())
            if pool not in self._ends and self._contends(pool=pool)
        )

    def _update(self) -> None:
        """Contend or not as the members ask, and end what is not needed."""
        pools = self._engine_pools()
        for pool, running in self._running.items():
            lease = running.lease
            lease.contending = self._contends(pool=pool)
            if pool not in pools or not (lease.contending or lease.held):
                self._ends[pool].set()

    def _contends(self, *, pool: PoolId) -> bool:
        endpoints = self._catalog.endpoints(pool=pool)
        near = frozenset(endpoint.failure_domain for endpoint in endpoints)
        return self._candidates.contends(pool=pool, near=near)

    async def _run_pool(self, *, pool: PoolId, end: anyio.Event) -> None:
        settings = self._settings.lease.for_leases(
            count=len(self._engine_pools()),
            writes_per_second=self._settings.lease_writes_per_second,
        )
        async with run_lease(
            name=LEASE_PREFIX + pool,
            holder=self._router,
            table=self._platform.leases,
            clock=self._clock,
            settings=settings,
        ) as lease:
            running = PoolOrders(
                pool=pool,
                lease=lease,
                catalog=self._catalog,
                engines=self._engines,
                weights=self._platform.weights,
                settings=self._settings,
                metrics=self._metrics,
                clock=self._clock,
            )
            self._running[pool] = running
            try:
                await _run_until(running=running, end=end)
            finally:
                del self._running[pool]
                self._metrics.show_holder(pool=pool, held=False)
        del self._ends[pool]


async def _run_until(*, running: PoolOrders, end: anyio.Event) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(running.run)
        await end.wait()
        running.stop()
