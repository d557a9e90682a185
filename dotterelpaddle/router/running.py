"""A router that runs, as its owner sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.catalog.live import LiveCatalog
    from dotterelpaddle.control.channel import DatagramChannel
    from dotterelpaddle.entry.app import EntryApp
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.service import Membership
    from dotterelpaddle.metrics import Metrics
    from dotterelpaddle.orders.service import Orders
    from dotterelpaddle.placement.service import PlacementService


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningRouter:
    """A router that runs.

    Attributes:
        router: Its name.
        entry_address: Where callers reach it.
        operator_address: Where operators reach it.
        control_address: Where other routers reach it.
        entry: The application for callers.
        catalog: The records in force.
        membership: Its list of members.
        placement: Chooses endpoints.
        orders: Gives engines orders while it holds their pool's lease.
        channel: The way to other routers.
        metrics: Its metrics.
    """

    router: RouterId
    entry_address: Address
    operator_address: Address
    control_address: Address
    entry: EntryApp
    catalog: LiveCatalog
    membership: Membership
    placement: PlacementService
    orders: Orders
    channel: DatagramChannel
    metrics: Metrics
