"""Turns what a scenario says of its fleet into the fleet's options."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.fleet.options import PLATFORM_TOKEN, FleetOptions
from dotterelpaddle.orders.settings import OrderSettings
from dotterelpaddle.records.model import PoolKind
from dotterelpaddle.scenarios.steps import Pause
from dotterelpaddle.standins.batching import BatchLimits
from dotterelpaddle.standins.engine import EngineSettings
from dotterelpaddle.standins.platform import PlatformSettings
from dotterelpaddle.standins.service import ServiceSettings

if TYPE_CHECKING:
    from dotterelpaddle.fleet.shape import PoolShape, Shape
    from dotterelpaddle.scenarios.language import FleetSpec, Scenario


def shape_for(*, spec: FleetSpec) -> Shape:
    """Return the deployment that a scenario asks for."""
    shape = spec.sized_shape()
    pools = tuple(
        _engine_pool(pool=pool, spec=spec) if pool.kind is PoolKind.ENGINE else pool
        for pool in shape.pools
    )
    return replace(shape, pools=pools)


def _engine_pool(*, pool: PoolShape, spec: FleetSpec) -> PoolShape:
    return replace(
        pool,
        load_multiple=spec.load_multiple or pool.load_multiple,
        max_in_flight=spec.max_in_flight or pool.max_in_flight,
    )


def options_for(*, scenario: Scenario) -> FleetOptions:
    """Return the options of a scenario's fleet.

    Routers that are paused run in threads of their own.
    """
    spec = scenario.fleet
    return FleetOptions(
        threaded=_paused(scenario=scenario),
        all_threaded=_pauses_a_role(scenario=scenario),
        policy=spec.policy,
        control_bytes_per_second=spec.control_bytes_per_second,
        platform=PlatformSettings(token=PLATFORM_TOKEN, host_lag=spec.host_lag),
        engine=EngineSettings(
            step=spec.step,
            limits=_limits(spec=spec),
            cache_capacity=spec.cache_capacity,
            load_time=spec.load_time,
            event_loss=spec.event_loss,
            seed=spec.seed,
        ),
        service=ServiceSettings(latency=spec.service_latency, seed=spec.seed),
        orders=_orders(spec=spec),
        without_records=not spec.records,
        absent=frozenset(spec.absent),
        seed=spec.seed,
    )


def _limits(*, spec: FleetSpec) -> BatchLimits:
    usual = BatchLimits()
    return replace(usual, max_batch=spec.max_in_flight or usual.max_batch)


def _orders(*, spec: FleetSpec) -> OrderSettings | None:
    """Shorten all times of orders in proportion to the lease."""
    if spec.lease is None:
        return None
    usual = OrderSettings()
    factor = spec.lease / usual.lease.duration
    return replace(
        usual,
        lease=replace(
            usual.lease,
            duration=spec.lease,
            margin=usual.lease.margin * factor,
            renew_every=usual.lease.renew_every * factor,
            poll_every=usual.lease.poll_every * factor,
            retry_every=usual.lease.retry_every * factor,
        ),
        idle_period=usual.idle_period * factor,
        busy_period=usual.busy_period * factor,
        order_timeout=usual.order_timeout * factor,
        settle_time=usual.settle_time * factor,
        inspections_per_second=usual.inspections_per_second / factor,
    )


def _paused(*, scenario: Scenario) -> frozenset[str]:
    return frozenset(
        name
        for step in scenario.steps
        if isinstance(step.action, Pause)
        for name in step.action.nodes
    )


def _pauses_a_role(*, scenario: Scenario) -> bool:
    """Tell whether a router is paused that is only known while it runs."""
    routers = {str(router.name) for router in scenario.fleet.sized_shape().routers}
    return bool(_paused(scenario=scenario) - routers)
