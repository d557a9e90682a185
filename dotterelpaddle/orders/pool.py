"""Gives the engines of one pool their orders while this router holds its lease."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.endpoint.engine import EngineOrder, StaleFencing
from dotterelpaddle.exceptions import (
    EndpointError,
    EndpointUnreachable,
    LeaseLost,
    PlatformError,
)
from dotterelpaddle.logs import get_logger
from dotterelpaddle.orders.knowledge import Knowledge, Progress
from dotterelpaddle.orders.planner import Plan, Tenure, plan_orders
from dotterelpaddle.orders.report import BlockedEngine, PoolReport
from dotterelpaddle.orders.target import WeightSizes, target_of
from dotterelpaddle.orders.weights import TransferSchedule

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import WeightStore
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.endpoint.engine import EngineClient, EngineState
    from dotterelpaddle.ids import LeaseEpoch, PoolId
    from dotterelpaddle.leases.service import LeaseHandle
    from dotterelpaddle.orders.planner import Move
    from dotterelpaddle.orders.report import OrderMetrics
    from dotterelpaddle.orders.settings import OrderSettings
    from dotterelpaddle.records.model import Endpoint, Pool

log = get_logger(name=__name__)

INSPECTION_BURST = 8
"""Engines that are asked at once after a quiet time."""


class PoolOrders:
    """One pool's engines, as the holder of the pool's lease sees them.

    Args:
        pool: The pool.
        lease: The pool's lease.
        catalog: The records in force.
        engines: Client of engines.
        weights: The platform's weight store.
        settings: Times and bounds of orders.
        metrics: Metrics of orders.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        pool: PoolId,
        lease: LeaseHandle,
        catalog: Catalog,
        engines: EngineClient,
        weights: WeightStore,
        settings: OrderSettings,
        metrics: OrderMetrics,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._lease = lease
        self._catalog = catalog
        self._engines = engines
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._transfers = TransferSchedule(
            weights=weights, clock=clock, keep=settings.follow_timeout
        )
        self._knowledge = Knowledge(settings=settings)
        self._epoch: LeaseEpoch | None = None
        self._plan: Plan | None = None
        self._allowance = float(INSPECTION_BURST)
        self._inspected_at = clock()
        self._reached_at = clock()
        self._wake = anyio.Event()
        self._stopping = False

    @property
    def lease(self) -> LeaseHandle:
        """The pool's lease."""
        return self._lease

    def report(self) -> PoolReport:
        """Tell operators how the pool's orders stand."""
        report = PoolReport(
            pool=self._pool, held=self._lease.held, epoch=self._lease.epoch
        )
        if self._plan is None or not report.held:
            return report
        views = self._knowledge.views(endpoints=self._endpoints())
        return replace(
            report,
            serving=self._plan.serving,
            moving=tuple(view.endpoint.name for view in views if view.changing),
            blocked=tuple(
                BlockedEngine(
                    endpoint=blocked.endpoint.name, reason=blocked.obstacle.value
                )
                for blocked in self._plan.blocked
            ),
        )

    def wake(self) -> None:
        """Look at the pool now, as its records may have changed."""
        self._wake.set()

    def stop(self) -> None:
        """Give no further order; one that is being given is finished."""
        self._stopping = True
        self._wake.set()

    async def run(self) -> None:
        """Give orders until stopped."""
        while not self._stopping:
            period = self._settings.idle_period
            try:
                period = await self._round()
            except LeaseLost as error:
                log.info("orders_stopped", pool=self._pool, error=str(error))
            except PlatformError as error:
                log.warning("orders_delayed", pool=self._pool, error=str(error))
            with anyio.move_on_after(period):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def _round(self) -> float:
        """Look at the pool once and give the orders that are due.

        Returns:
            Seconds until the next look.
        """
        pool = self._catalog.pool(name=self._pool)
        self._metrics.show_holder(pool=self._pool, held=self._lease.held)
        if pool is None or not self._lease.held:
            return self._settings.busy_period
        epoch = self._begin_tenure()
        await self._inspect()
        self._resign_out_of_reach()
        plan = self._make_plan(pool=pool, epoch=epoch)
        for move in plan.moves:
            if not self._stopping:
                await self._give(move=move, plan=plan, epoch=epoch)
        finished = plan.finished and not self.report().moving
        return self._settings.idle_period if finished else self._settings.busy_period

    def _begin_tenure(self) -> LeaseEpoch:
        epoch = self._lease.check()
        if epoch != self._epoch:
            # What an earlier tenure knew may have been changed by another holder.
            self._epoch = epoch
            self._knowledge = Knowledge(settings=self._settings)
            self._allowance = float(INSPECTION_BURST)
            self._reached_at = self._clock()
        return epoch

    def _resign_out_of_reach(self) -> None:
        """Leave the pool to a router that reaches its engines, if there is one."""
        now = self._clock()
        if not self._knowledge.out_of_reach(endpoints=self._endpoints()):
            self._reached_at = now
        if now - self._reached_at < self._settings.resign_after:
            return
        self._lease.resign(seconds=self._settings.resign_for)
        raise LeaseLost("most engines of the pool are out of reach; lease given up")

    def _endpoints(self) -> tuple[Endpoint, ...]:
        return self._catalog.endpoints(pool=self._pool)

    def _make_plan(self, *, pool: Pool, epoch: LeaseEpoch) -> Plan:
        settled = self._lease.held_for >= self._settings.first_order_delay
        plan = plan_orders(
            pool=pool,
            engines=self._knowledge.views(endpoints=self._endpoints()),
            sizes=WeightSizes(
                versions=self._catalog.versions(), adapters=self._catalog.adapters()
            ),
            tenure=Tenure(epoch=epoch, settled=settled),
            max_share=self._settings.max_share,
        )
        self._metrics.show_plan(pool=self._pool, plan=plan)
        if self._plan is None or plan.blocked != self._plan.blocked:
            self._log_blocked(plan=plan)
        self._plan = plan
        return plan

    def _log_blocked(self, *, plan: Plan) -> None:
        for blocked in plan.blocked:
            log.info(
                "order_blocked",
                pool=self._pool,
                endpoint=blocked.endpoint.name,
                reason=blocked.obstacle.value,
                serving=plan.serving,
            )

    async def _inspect(self) -> None:
        now = self._clock()
        rate = self._settings.inspections_per_second
        self._allowance += (now - self._inspected_at) * rate
        self._allowance = min(self._allowance, INSPECTION_BURST)
        self._inspected_at = now
        due = self._knowledge.due(
            endpoints=self._endpoints(), now=now, limit=int(self._allowance)
        )
        self._allowance -= len(due)
        async with anyio.create_task_group() as tasks:
            for endpoint in due:
                tasks.start_soon(partial(self._read, endpoint=endpoint))

    async def _read(self, *, endpoint: Endpoint) -> EngineState | None:
        state: EngineState | None = None
        try:
            state = await self._engines.state(endpoint=endpoint)
        except EndpointError as error:
            log.debug("engine_state_unknown", endpoint=endpoint.name, error=str(error))
        self._learn(endpoint=endpoint, state=state)
        return state

    def _learn(self, *, endpoint: Endpoint, state: EngineState | None) -> None:
        progress = self._knowledge.learn(
            endpoint=endpoint, state=state, now=self._clock()
        )
        if progress in (Progress.FOLLOWED, Progress.NOT_FOLLOWED):
            self._metrics.count(pool=self._pool, result=progress.value)
            log.info(f"order_{progress.value}", pool=self._pool, endpoint=endpoint.name)

    async def _give(self, *, move: Move, plan: Plan, epoch: LeaseEpoch) -> None:
        if not await self._transfers.may_start(move=move):
            return
        state = await self._read(endpoint=move.endpoint)
        if state != move.state or not self._still_wanted(move=move):
            # The next round decides anew.
            return
        order = EngineOrder(
            fencing=epoch,
            model=move.target.model,
            version=move.target.version,
            adapters=move.target.adapters,
            role=move.target.role,
        )
        self._lease.check(epoch=epoch, seconds=self._settings.order_timeout)
        self._knowledge.ordered(
            endpoint=move.endpoint, target=move.target, now=self._clock()
        )
        self._transfers.started(move=move)
        self._log_move(move=move, plan=plan, epoch=epoch)
        await self._send(endpoint=move.endpoint, order=order)

    def _still_wanted(self, *, move: Move) -> bool:
        endpoint = self._catalog.endpoint(name=move.endpoint.name)
        if endpoint is None or endpoint.address != move.endpoint.address:
            return False
        return target_of(endpoint=endpoint, state=move.state) == move.target

    def _log_move(self, *, move: Move, plan: Plan, epoch: LeaseEpoch) -> None:
        log.info(
            "order_given",
            pool=self._pool,
            endpoint=move.endpoint.name,
            epoch=epoch,
            model=f"{move.state.model} -> {move.target.model}",
            version=f"{move.state.version} -> {move.target.version}",
            adapters=list(move.target.missing(state=move.state)),
            role=f"{move.state.role} -> {move.target.role.value}",
            transfer_bytes=move.transfer,
            interrupts=move.interrupts,
            serving=plan.serving,
        )

    async def _send(self, *, endpoint: Endpoint, order: EngineOrder) -> None:
        try:
            with anyio.fail_after(self._settings.order_timeout):
                state = await self._engines.order(endpoint=endpoint, order=order)
        except EndpointUnreachable as error:
            self._knowledge.not_sent(endpoint=endpoint)
            self._count_failure(endpoint=endpoint, result="not_sent", error=error)
        except StaleFencing as error:
            # It expires like one that was lost, so that it is not given at once.
            self._count_failure(endpoint=endpoint, result="refused", error=error)
        except (EndpointError, TimeoutError) as error:
            # It may have arrived; the next looks tell.
            self._count_failure(endpoint=endpoint, result="unanswered", error=error)
        else:
            self._metrics.count(pool=self._pool, result="accepted")
            self._knowledge.accepted(endpoint=endpoint, now=self._clock())
            self._learn(endpoint=endpoint, state=state)

    def _count_failure(
        self, *, endpoint: Endpoint, result: str, error: Exception
    ) -> None:
        self._metrics.count(pool=self._pool, result=result)
        log.warning(
            f"order_{result}",
            pool=self._pool,
            endpoint=endpoint.name,
            error=str(error),
        )
