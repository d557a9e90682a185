"""Builds the components of a forwarding router without running them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.guard import CrashGuard
from dotterelpaddle.crashes.termination_probes import TerminationProber
from dotterelpaddle.forwarding.app import ForwardApp
from dotterelpaddle.forwarding.attempts import AttemptRunner
from dotterelpaddle.forwarding.client import ForwardClient
from dotterelpaddle.forwarding.filters import DeadlineFilter, ForwardFilter, RouteFilter
from dotterelpaddle.forwarding.follower import Follower
from dotterelpaddle.forwarding.isolation import IsolationDetector
from dotterelpaddle.forwarding.metrics import (
    ForwardMetrics,
    MetricsPage,
    MetricsSources,
)
from dotterelpaddle.forwarding.notices import EndpointNotices
from dotterelpaddle.forwarding.placement import ForwardPlacer
from dotterelpaddle.forwarding.prompt_sizes import PromptSizeFilter
from dotterelpaddle.forwarding.reachability import Reachability
from dotterelpaddle.forwarding.residency import ResidencyPolicy
from dotterelpaddle.forwarding.shared_state import SharedState, build_shared_state
from dotterelpaddle.forwarding.stream_pace import StreamPacer
from dotterelpaddle.forwarding.timeouts import TimeoutEstimator
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.owners.components import build_owner_components
from dotterelpaddle.peers.cache_discovery import CacheDiscovery
from dotterelpaddle.peers.crash_archive import CrashArchive
from dotterelpaddle.peers.epoch_discovery import EpochDiscovery
from dotterelpaddle.peers.exchange import PeerExchange
from dotterelpaddle.peers.fetching import Fetcher
from dotterelpaddle.peers.plan import ReportPlan
from dotterelpaddle.peers.summary import PeerSummary
from dotterelpaddle.peers.tunnel_server import TunnelServer
from dotterelpaddle.peers.tunnel_servers import TunnelServers
from dotterelpaddle.peers.tunnels import TunnelBackend
from dotterelpaddle.pipeline import compose
from dotterelpaddle.registry.components import build_registry
from dotterelpaddle.shutdown.deadline import ShutdownDeadline
from dotterelpaddle.shutdown.durations import RouteDurations
from dotterelpaddle.shutdown.filter import ShutdownFilter
from dotterelpaddle.streams.components import build_stream_components
from dotterelpaddle.streams.confirmation import EndpointsConfirmation
from dotterelpaddle.streams.lifetimes import EndpointLifetimes
from dotterelpaddle.streams.resumption import ResumptionFilter
from dotterelpaddle.supervision import TaskSupervisor

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.dependencies import Dependencies
    from dotterelpaddle.forwarding.settings import ForwardSettings
    from dotterelpaddle.owners.exchange import OwnerExchange
    from dotterelpaddle.owners.placer import OwnerPlacer
    from dotterelpaddle.registry.service import RouterRegistry
    from dotterelpaddle.streams.archive import StreamArchive
    from dotterelpaddle.streams.finder import StreamFinder


@dataclass(frozen=True, kw_only=True, slots=True)
class Components:
    """The running components of a router.

    Attributes:
        state: State that the components share.
        app: Serves callers.
        shutdown_deadline: When requests in progress are ended.
        placer: Selects endpoints.
        client: Sends requests to endpoints.
        follower: Follows changes of the source.
        reachability: Probes endpoints that could not be reached.
        termination_prober: Probes whether an endpoint that broke a connection ended.
        isolation: Detects whether this router is on the smaller side of a partition.
        exchange: Exchanges reports with other routers.
        tunnel_server: Connects other routers to endpoints that they can't reach.
        owners: Exchanges placement requests and counts with shard owners.
        epoch_discovery: Reads the epochs of engines, which prove their lifetimes.
        fetcher: Fetches missing state from other routers.
        stream_finder: Finds where streams that callers resume began.
        stream_archive: Keeps records of streams in the platform's store.
        crash_archive: Keeps what crashes endpoints in the platform's store.
        registry: Registers this router in the platform's store; None without one.
        metrics: Renders the metrics page.
        supervisor: Restarts tasks after unexpected errors.
    """

    state: SharedState
    app: ForwardApp
    shutdown_deadline: ShutdownDeadline
    placer: OwnerPlacer
    client: ForwardClient
    follower: Follower
    reachability: Reachability
    termination_prober: TerminationProber
    isolation: IsolationDetector
    exchange: PeerExchange
    tunnel_server: TunnelServer
    owners: OwnerExchange
    epoch_discovery: EpochDiscovery
    fetcher: Fetcher
    stream_finder: StreamFinder
    stream_archive: StreamArchive
    crash_archive: CrashArchive
    registry: RouterRegistry | None
    metrics: MetricsPage
    supervisor: TaskSupervisor

    def start_draining(self, *, seconds: float) -> None:
        """Announce to callers and to other routers that this router is leaving.

        Args:
            seconds: Time that is left for requests.
        """
        self.app.start_draining()
        self.shutdown_deadline.set(seconds=seconds)
        self.state.directory.announce_leaving()


def build_components(
    *, settings: ForwardSettings, dependencies: Dependencies
) -> Components:
    """Build the components of a router.

    Args:
        settings: Settings of the router.
        dependencies: What the router needs from its process.
    """
    clock = dependencies.clock
    generator = random.Random(settings.router)
    state = build_shared_state(
        settings=settings,
        has_registry=dependencies.registry_store is not None,
        clock=clock,
    )
    if dependencies.crash_store is None:
        state.recall.end()
    directory = state.directory
    backend = LinkedBackend(links=dependencies.links)
    reachability = Reachability(
        view=state.view,
        backend=backend,
        failure_domain=settings.failure_domain,
        clock=clock,
    )
    tunnel_servers = TunnelServers(
        directory=directory, clock=clock, generator=generator
    )
    tunnels = TunnelBackend(
        servers=tunnel_servers,
        backend=backend,
        links=dependencies.links,
        clock=clock,
        generator=generator,
    )
    tunnel_server = TunnelServer(
        view=state.view,
        reachability=reachability,
        backend=backend,
        held=state.held,
        clock=clock,
    )
    client = ForwardClient(
        codec=dependencies.protocols,
        backend=backend,
        reachability=reachability,
        tunnels=tunnels,
        clock=clock,
        liveness=state.liveness,
        notices=EndpointNotices(
            leaving=state.view.leaving,
            backoffs=state.backoffs,
            brittle=state.brittle,
            slowdowns=state.slowdowns,
        ),
        connection_limits=state.connection_limits,
    )
    peer_summary = PeerSummary(
        view=state.view, directory=directory, totals=state.totals
    )
    metrics = ForwardMetrics()
    supervisor = TaskSupervisor(on_failure=metrics.count_task_failure, clock=clock)
    follower = Follower(
        source=dependencies.source,
        view=state.view,
        peer_summary=peer_summary,
        metrics=metrics,
        leaving_propagation_time=settings.leaving_propagation_time,
        store_clock=state.store_clock,
        clock=clock,
        generator=generator,
    )
    termination_prober = TerminationProber(
        backend=backend,
        tunnels=tunnels,
        reachability=reachability,
        crashes=state.crashes,
        leaving=state.view.leaving,
        supervisor=supervisor,
        clock=clock,
    )
    isolation = IsolationDetector(
        view=state.view,
        reachability=reachability,
        failure_domain=settings.failure_domain,
        router_presence=directory.reachable_domains,
        clock=clock,
    )
    placer = ForwardPlacer(
        view=state.view,
        loads=state.loads,
        health=state.health,
        reachability=reachability,
        tunnels=tunnels,
        backoffs=state.backoffs,
        cold=state.cold,
        caches=state.caches,
        slowdowns=state.slowdowns,
        failure_domain=settings.failure_domain,
        connections=None if state.connection_limits is None else client,
        generator=generator,
    )
    owners = build_owner_components(
        settings=settings,
        state=state,
        placer=placer,
        metrics=metrics,
        generator=generator,
        clock=clock,
    )
    confirmation = EndpointsConfirmation(
        source=dependencies.source, view=state.view, clock=clock
    )
    lifetimes = EndpointLifetimes(
        reader=dependencies.cache_reader,
        caches=state.caches,
        view=state.view,
        clock=clock,
    )
    attempts = AttemptRunner(
        placer=owners.placer,
        view=state.view,
        residency=ResidencyPolicy(view=state.view, regions=settings.regions),
        loads=state.loads,
        abandoned=state.abandoned,
        health=state.health,
        reachability=reachability,
        caches=state.caches,
        guard=CrashGuard(
            crashes=state.crashes,
            termination_prober=termination_prober,
            metrics=metrics,
        ),
        confirmation=confirmation,
        lifetimes=lifetimes,
        retry_budget=state.retry_budget,
        timeouts=TimeoutEstimator(),
        metrics=metrics,
        clock=clock,
    )
    plan = ReportPlan(directory=directory, totals=state.totals)
    streams = build_stream_components(
        settings=settings,
        store=dependencies.stream_store,
        state=state,
        plan=plan,
        confirmation=confirmation,
        is_writer=lambda: peer_summary.is_platform_reader,
        metrics=metrics,
        clock=clock,
    )
    shutdown_deadline = ShutdownDeadline()
    filters = (
        RouteFilter(
            view=state.view,
            introduction=state.introduction,
            recall=state.recall,
            generator=generator,
        ),
        PromptSizeFilter(view=state.view, enabled=settings.admission is not None),
        DeadlineFilter(clock=clock),
        ShutdownFilter(
            deadline=shutdown_deadline, durations=RouteDurations(), clock=clock
        ),
        ResumptionFilter(finder=streams.finder),
        ForwardFilter(
            attempts=attempts,
            client=client,
            retry_budget=state.retry_budget,
            stream_origins=state.stream_origins,
            stream_pacer=StreamPacer(clock=clock),
            clock=clock,
        ),
    )
    return Components(
        state=state,
        app=ForwardApp(
            pipeline=compose(filters=filters),
            codec=dependencies.protocols,
            view=state.view,
            isolation=isolation,
            metrics=metrics,
            held=state.held,
            clock=clock,
        ),
        shutdown_deadline=shutdown_deadline,
        placer=owners.placer,
        client=client,
        follower=follower,
        reachability=reachability,
        termination_prober=termination_prober,
        isolation=isolation,
        exchange=PeerExchange(
            view=state.view,
            loads=state.loads,
            retry_budget=state.retry_budget,
            totals=state.totals,
            caches=state.caches,
            crashes=state.crashes,
            introduction=state.introduction,
            directory=directory,
            registry=state.registry,
            plan=plan,
            follower=follower,
            owners=owners.exchange,
            reachability=reachability,
            tunnel_server=tunnel_server,
            tunnel_servers=tunnel_servers,
            stream_origins=state.stream_origins,
            stream_lookup=streams.lookup,
            supervisor=supervisor,
            generator=generator,
        ),
        tunnel_server=tunnel_server,
        owners=owners.exchange,
        stream_finder=streams.finder,
        stream_archive=streams.archive,
        crash_archive=CrashArchive(
            store=dependencies.crash_store,
            crashes=state.crashes,
            brittle=state.brittle,
            is_writer=lambda: peer_summary.is_platform_reader,
            store_clock=state.store_clock,
            recall=state.recall,
        ),
        registry=build_registry(
            settings=settings,
            store=dependencies.registry_store,
            state=state,
            is_reader=lambda: peer_summary.is_platform_reader,
            generator=generator,
            clock=clock,
        ),
        metrics=MetricsPage(
            metrics=metrics,
            sources=MetricsSources(
                view=state.view,
                loads=state.loads,
                slowdowns=state.slowdowns,
                retry_budget=state.retry_budget,
                crashes=state.crashes,
                directory=directory,
                follower=follower,
                held=state.held,
            ),
        ),
        supervisor=supervisor,
        epoch_discovery=EpochDiscovery(
            view=state.view,
            confirmed_age=lambda: follower.confirmed_endpoints_age,
            caches=state.caches,
            peer_summary=peer_summary,
            backoffs=state.backoffs,
            reader=dependencies.cache_reader,
            clock=clock,
        ),
        fetcher=Fetcher(
            view=state.view,
            caches=state.caches,
            directory=state.directory,
            peer_summary=peer_summary,
            documents=dependencies.documents,
            cache_discovery=CacheDiscovery(
                view=state.view,
                caches=state.caches,
                peer_summary=peer_summary,
                shards=owners.shards,
                backoffs=state.backoffs,
                reader=dependencies.cache_reader,
                failure_domain=settings.failure_domain,
                clock=clock,
            ),
            platform_age=lambda: follower.age,
            backend=backend,
            clock=clock,
            generator=generator,
        ),
    )
