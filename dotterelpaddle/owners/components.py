"""Builds the components with which a router asks owners, and is one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.settings import AdmissionSettings
from dotterelpaddle.owners.admission import SlotAdmission
from dotterelpaddle.owners.counts import ShardCounts
from dotterelpaddle.owners.exchange import OwnerExchange
from dotterelpaddle.owners.handovers import Handovers
from dotterelpaddle.owners.owner import Owner
from dotterelpaddle.owners.owner_role import OwnerRole
from dotterelpaddle.owners.placer import OwnerPlacer
from dotterelpaddle.owners.reporting import InFlightReporter
from dotterelpaddle.owners.shards import ShardMap
from dotterelpaddle.owners.slot_lease import SlotLease
from dotterelpaddle.peers.directory import PEER_EXPIRY_SECONDS
from dotterelpaddle.registry.fleet_size import FleetSize

if TYPE_CHECKING:
    import random

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.placement import ForwardPlacer
    from dotterelpaddle.forwarding.settings import ForwardSettings
    from dotterelpaddle.forwarding.shared_state import SharedState


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerComponents:
    """Components that ask owners, and those of an owner.

    Attributes:
        shards: The shards of all services.
        exchange: Exchanges messages with owners and with routers that ask this one.
        placer: Asks owners to choose endpoints.
    """

    shards: ShardMap
    exchange: OwnerExchange
    placer: OwnerPlacer


def build_owner_components(
    *,
    settings: ForwardSettings,
    state: SharedState,
    placer: ForwardPlacer,
    metrics: ForwardMetrics,
    generator: random.Random,
    clock: Clock,
) -> OwnerComponents:
    """Build the components of a router that deal with owners.

    Args:
        settings: Settings of the router.
        state: State that its components share.
        placer: Chooses endpoints where this router decides.
        metrics: Counts what owners grant and refuse.
        generator: Source of random retry times.
        clock: Monotonic clock.
    """
    registry = state.registry
    shards = ShardMap(view=state.view)
    reporter = InFlightReporter(
        router=settings.router, loads=state.loads, shards=shards, clock=clock
    )
    state.loads.on_change(state.service_times.record_change)
    counts = ShardCounts(clock=clock, service_times=state.service_times)
    lease = SlotLease(
        directory=state.directory,
        heard=lambda: max(state.totals.router_count, 1 + len(counts.routers)),
        fleet_size=FleetSize(
            heard=lambda: max(state.directory.router_count, state.totals.router_count),
            has_seeds=state.directory.has_seeds,
            registered=None if registry is None else lambda: registry.active_routers,
            clock=clock,
            use="slot_lease",
            memory=PEER_EXPIRY_SECONDS,
        ),
        clock=clock,
    )
    owner = Owner(
        router=settings.router,
        view=state.view,
        placer=placer,
        shards=shards,
        loads=state.loads,
        counts=counts,
        brittle=state.brittle,
        failure_domain=settings.failure_domain,
        own_grants=lambda: reporter.granted,
        role=OwnerRole(directory=state.directory, totals=state.totals, counts=counts),
        slowdowns=state.slowdowns,
        service_times=state.service_times,
        lease=lease,
    )
    admission = SlotAdmission(
        owner=owner,
        counts=counts,
        loads=state.loads,
        shards=shards,
        # Also without the section, as owners queue requests to brittle endpoints.
        limit=(settings.admission or AdmissionSettings()).max_waiting,
        reporter=reporter,
        clock=clock,
        generator=generator,
    )
    exchange = OwnerExchange(
        directory=state.directory,
        reporter=reporter,
        owner=owner,
        admission=admission,
        lease=lease,
        handovers=Handovers(
            router=settings.router, lease=lease, counts=counts, reporter=reporter
        ),
        slowdowns=state.slowdowns,
        metrics=metrics,
        clock=clock,
    )
    return OwnerComponents(
        shards=shards,
        exchange=exchange,
        placer=OwnerPlacer(
            view=state.view,
            placer=placer,
            cold=state.cold,
            brittle=state.brittle,
            shards=shards,
            directory=state.directory,
            exchange=exchange,
            reporter=reporter,
            slowdowns=state.slowdowns,
            limits_slots=settings.admission is not None,
            metrics=metrics,
            clock=clock,
        ),
    )
