"""The state that the components of a forwarding router share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.tracker import CrashTracker
from dotterelpaddle.forwarding.abandoned import AbandonedRequests
from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
from dotterelpaddle.forwarding.brittle import BrittleEndpoints
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.cold import ColdEndpoints
from dotterelpaddle.forwarding.connection_limits import ConnectionLimits
from dotterelpaddle.forwarding.health import HealthTracker
from dotterelpaddle.forwarding.leaving import LeavingEndpoints
from dotterelpaddle.forwarding.liveness import EndpointLiveness
from dotterelpaddle.forwarding.loads import LoadTracker
from dotterelpaddle.forwarding.request_totals import TotalsTracker
from dotterelpaddle.forwarding.slowdowns import Slowdowns
from dotterelpaddle.forwarding.startup import (
    INTRODUCTION_WAIT_SECONDS,
    RECALL_WAIT_SECONDS,
    Startup,
)
from dotterelpaddle.forwarding.store_clock import StoreClock
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.memory.bounds import held_bytes_bound
from dotterelpaddle.memory.held_bytes import HeldBytes
from dotterelpaddle.owners.service_times import ServiceTimes
from dotterelpaddle.peers.directory import PeerDirectory
from dotterelpaddle.peers.report import PeerInfo
from dotterelpaddle.registry.fleet_size import FleetSize
from dotterelpaddle.registry.known import KnownRegistry
from dotterelpaddle.retries.budget import RetryBudget
from dotterelpaddle.streams.origins import StreamOrigins
from dotterelpaddle.streams.route_history import RouteHistory
from dotterelpaddle.streams.version_history import VersionHistory

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.settings import ForwardSettings


@dataclass(frozen=True, kw_only=True, slots=True)
class SharedState:
    """State that the components of a router share.

    Attributes:
        view: Current configuration and endpoints.
        store_clock: Estimates the clock of the platform's store.
        totals: Request totals that other routers reported.
        loads: Requests in flight per endpoint.
        abandoned: Holds the counts of requests that endpoints may still run.
        health: Results of recent requests per endpoint.
        liveness: Time of the last bytes from each endpoint.
        backoffs: Endpoints that asked this router to back off.
        brittle: Limits for endpoints that end if they reject too many requests.
        cold: Limits for endpoints that have just started.
        connection_limits: Limits the connections to each endpoint, None without
            admission.
        slowdowns: How much longer work currently takes at endpoints.
        service_times: Mean time in service of endpoints that report no slowdown.
        caches: Prompt parts that each endpoint has cached.
        crashes: Requests and prompt parts that were running when endpoints crashed.
        introduction: Lets the first requests after a start wait for what other routers
            know of such requests.
        recall: Lets them wait for what the platform's store keeps of these.
        retry_budget: Limits the retries of all routers.
        directory: The other routers.
        registry: What is known of the registry of all routers; None without one.
        stream_origins: Where the streams that callers may resume began.
        version_history: Software versions that services had recently.
        route_history: Routes of streams that led to other services recently.
    """

    view: FleetView
    store_clock: StoreClock
    totals: TotalsTracker
    loads: LoadTracker
    abandoned: AbandonedRequests
    health: HealthTracker
    liveness: EndpointLiveness
    backoffs: EndpointBackoffs
    brittle: BrittleEndpoints
    cold: ColdEndpoints
    connection_limits: ConnectionLimits | None
    slowdowns: Slowdowns
    service_times: ServiceTimes
    caches: CacheMap
    crashes: CrashTracker
    introduction: Startup
    recall: Startup
    retry_budget: RetryBudget
    directory: PeerDirectory
    registry: KnownRegistry | None
    stream_origins: StreamOrigins
    version_history: VersionHistory
    route_history: RouteHistory
    held: HeldBytes


def build_shared_state(
    *, settings: ForwardSettings, has_registry: bool, clock: Clock
) -> SharedState:
    """Build the state that the components of a router share.

    Args:
        settings: Settings of the router.
        has_registry: Whether routers register themselves in the platform's store.
        clock: Monotonic clock.
    """
    caches = CacheMap(clock=clock)
    if settings.first_start:
        # On the first start of the whole fleet no endpoint has cached anything.
        caches.mark_populated()
    introduction = Startup(clock=clock, max_wait=INTRODUCTION_WAIT_SECONDS)
    if not settings.seeds:
        # No other router can know of earlier crashes.
        introduction.end()
    recall = Startup(clock=clock, max_wait=RECALL_WAIT_SECONDS)
    directory = PeerDirectory(
        own=PeerInfo(
            router=settings.router,
            failure_domain=settings.failure_domain,
            address=settings.peers,
            link=settings.link_mbps,
        ),
        seeds=settings.seeds,
        clock=clock,
        needs_mesh_owners=lambda: settings.admission is not None or brittle.any_known,
        needs_lease=lambda: brittle.any_known,
    )
    totals = TotalsTracker(failure_domain=settings.failure_domain, clock=clock)

    def _known_routers() -> int:
        return max(directory.router_count, totals.router_count)

    store_clock = StoreClock(clock=clock)
    registry = KnownRegistry(store_clock=store_clock, clock=clock)
    fleet_size = FleetSize(
        heard=_known_routers,
        has_seeds=directory.has_seeds,
        registered=(lambda: registry.routers) if has_registry else None,
        clock=clock,
    )
    view = FleetView(
        clock=clock,
        leaving=LeavingEndpoints(
            clock=clock,
            store_clock=store_clock,
            serve_time=settings.leaving_propagation_time,
        ),
    )
    loads = LoadTracker(totals=totals)
    backoffs = EndpointBackoffs(clock=clock)
    brittle = BrittleEndpoints(
        backoffs=backoffs,
        router_count=lambda: fleet_size.count,
        has_owners=lambda: bool(directory.owners()),
    )
    return SharedState(
        view=view,
        store_clock=store_clock,
        totals=totals,
        loads=loads,
        abandoned=AbandonedRequests(loads=loads, brittle=brittle, clock=clock),
        health=HealthTracker(clock=clock),
        liveness=EndpointLiveness(clock=clock),
        backoffs=backoffs,
        brittle=brittle,
        cold=ColdEndpoints(
            router=settings.router,
            bounds=settings.cold_bounds,
            view=view,
            router_count=lambda: fleet_size.count,
            clock=clock,
        ),
        connection_limits=None
        if settings.admission is None
        else ConnectionLimits(
            view=view,
            router_count=lambda: fleet_size.count,
            known_routers=lambda: max(
                _known_routers(), len(settings.seeds), registry.recent_routers or 0
            ),
        ),
        slowdowns=Slowdowns(clock=clock),
        service_times=ServiceTimes(clock=clock),
        caches=caches,
        crashes=CrashTracker(
            clock=clock, may_try_parts=lambda: directory.is_first_by_rank
        ),
        introduction=introduction,
        recall=recall,
        retry_budget=RetryBudget(
            limits=settings.retry_limits,
            routers=lambda: fleet_size.count,
            clock=clock,
        ),
        directory=directory,
        registry=registry if has_registry else None,
        stream_origins=StreamOrigins(clock=clock),
        version_history=VersionHistory(
            view=view, first_start=settings.first_start, clock=clock
        ),
        route_history=RouteHistory(
            view=view, first_start=settings.first_start, clock=clock
        ),
        held=HeldBytes(bound=held_bytes_bound(memory_limit=settings.memory_limit)),
    )
