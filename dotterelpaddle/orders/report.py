"""What orders show to operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dotterelpaddle.ids import EndpointId, LeaseEpoch, PoolId
    from dotterelpaddle.metrics import Metrics
    from dotterelpaddle.orders.planner import Plan


class BlockedEngine(NamedTuple):
    """An engine that has to wait for its order; a pair in the JSON of a status.

    Attributes:
        endpoint: Its name.
        reason: Why.
    """

    endpoint: EndpointId
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolReport:
    """Orders of one pool as this router sees them.

    Attributes:
        pool: The pool.
        held: Whether this router gives the pool's engines orders.
        epoch: Fencing number of its current or last tenure.
        serving: Engines that serve.
        moving: Engines that get an order or follow one.
        blocked: Engines that have to wait, with the reason.
    """

    pool: PoolId
    held: bool
    epoch: LeaseEpoch
    serving: int = 0
    moving: tuple[EndpointId, ...] = ()
    blocked: tuple[BlockedEngine, ...] = ()


class OrderMetrics:
    """Metrics of orders.

    Args:
        metrics: The router's metrics.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._orders = metrics.counter(
            name="orders_total", doc="Orders to engines, by pool and result."
        )
        self._held = metrics.gauge(
            name="order_lease_held",
            doc="Whether this router gives the pool's engines orders.",
        )
        self._blocked = metrics.gauge(
            name="orders_blocked",
            doc="Engines that differ from their record and have to wait.",
        )

    def count(self, *, pool: PoolId, result: str) -> None:
        """Count an order."""
        self._orders.inc({"pool": pool, "result": result})

    def show_holder(self, *, pool: PoolId, held: bool) -> None:
        """Show whether this router holds a pool's lease."""
        self._held.set({"pool": pool}, int(held))

    def show_plan(self, *, pool: PoolId, plan: Plan) -> None:
        """Show how many engines have to wait."""
        self._blocked.set({"pool": pool}, len(plan.blocked))
