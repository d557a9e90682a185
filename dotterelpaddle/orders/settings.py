"""How orders are given."""

from __future__ import annotations

from dataclasses import dataclass, field

from dotterelpaddle.leases.settings import LeaseSettings


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderSettings:
    """Times and bounds of orders.

    Attributes:
        lease: Times of the pools' leases.
        lease_writes_per_second: Renewals of all pools' leases together.
        contenders: Routers that contend for one pool's lease.
        idle_period: Seconds between two looks at a pool without changes.
        busy_period: Seconds between two looks while engines change.
        inspections_per_second: States of engines read for one pool.
        order_timeout: Seconds within which an order has reached its engine or
            never will.
        settle_time: Further seconds that a new holder waits before its first
            order to engines that don't check fencing numbers.
        follow_timeout: Seconds after which an order that was not followed is
            given again.
        resign_after: Seconds without an answer from most of the pool's engines
            after which a holder leaves the lease to others.
        resign_for: How long it does so, in seconds.
        max_share: Share of a pool's engines that change at a time; at least
            one does.
    """

    lease: LeaseSettings = field(default_factory=LeaseSettings)
    lease_writes_per_second: float = 20.0
    contenders: int = 2
    idle_period: float = 5.0
    busy_period: float = 0.5
    inspections_per_second: float = 4.0
    order_timeout: float = 3.0
    settle_time: float = 3.0
    follow_timeout: float = 120.0
    resign_after: float = 15.0
    resign_for: float = 30.0
    max_share: float = 0.2

    @property
    def first_order_delay(self) -> float:
        """Seconds between taking a lease and the first order to such engines."""
        return self.order_timeout + self.settle_time
