"""Puts the parts of a forwarding router together, without running them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.app import ForwardApp
from dotterelpaddle.forwarding.attempts import AttemptRunner
from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.client import ForwardClient
from dotterelpaddle.forwarding.cold import ColdEndpoints
from dotterelpaddle.forwarding.crash_guard import CrashGuard
from dotterelpaddle.forwarding.crashes import CrashTracker
from dotterelpaddle.forwarding.filters import DeadlineFilter, ForwardFilter, RouteFilter
from dotterelpaddle.forwarding.follower import Follower
from dotterelpaddle.forwarding.health import HealthTracker
from dotterelpaddle.forwarding.isolation import IsolationDetector
from dotterelpaddle.forwarding.leaving import LeavingEndpoints
from dotterelpaddle.forwarding.liveness import EndpointLiveness
from dotterelpaddle.forwarding.loads import LoadTracker
from dotterelpaddle.forwarding.metrics import (
    ForwardMetrics,
    MetricsPage,
    MetricsSources,
)
from dotterelpaddle.forwarding.notices import EndpointNotices
from dotterelpaddle.forwarding.placement import ForwardPlacer
from dotterelpaddle.forwarding.reachability import Reachability
from dotterelpaddle.forwarding.request_totals import TotalsTracker
from dotterelpaddle.forwarding.residency import ResidencyPolicy
from dotterelpaddle.forwarding.retry_budget import RetryBudget
from dotterelpaddle.forwarding.termination_probes import TerminationProber
from dotterelpaddle.forwarding.timeouts import TimeoutEstimator
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.owners.counts import ShardCounts
from dotterelpaddle.owners.exchange import OwnerExchange
from dotterelpaddle.owners.owner import Owner
from dotterelpaddle.owners.placer import OwnerPlacer
from dotterelpaddle.owners.reporting import InFlightReporter
from dotterelpaddle.owners.shards import ShardMap
from dotterelpaddle.peers.cache_discovery import CacheDiscovery
from dotterelpaddle.peers.directory import PeerDirectory
from dotterelpaddle.peers.exchange import PeerExchange
from dotterelpaddle.peers.fetching import Fetcher
from dotterelpaddle.peers.messages import PeerInfo
from dotterelpaddle.peers.plan import ReportPlan
from dotterelpaddle.peers.summary import PeerSummary
from dotterelpaddle.pipeline import compose

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import (
        CacheReader,
        DocumentDecoder,
        Source,
        WireCodec,
    )
    from dotterelpaddle.forwarding.settings import ForwardSettings
    from dotterelpaddle.links import Links


@dataclass(frozen=True, kw_only=True, slots=True)
class Dependencies:
    """What a router is connected to.

    Attributes:
        source: Where configuration and endpoints are kept.
        protocols: Translates callers' requests and endpoints' answers.
        documents: Decodes what the source holds.
        cache_reader: Asks endpoints for what they have cached.
        links: The process's links.
        clock: Monotonic clock.
    """

    source: Source
    protocols: WireCodec
    documents: DocumentDecoder
    cache_reader: CacheReader
    links: Links
    clock: Clock


@dataclass(frozen=True, kw_only=True, slots=True)
class SharedState:
    """What a router knows, which its parts share.

    Attributes:
        view: Configuration and endpoints in force.
        totals: What other routers told of their requests.
        loads: Requests in flight.
        health: Results of requests.
        liveness: Signs of life of endpoints.
        quiet: Endpoints that want nothing from this router for a while.
        cold: What cold endpoints may get.
        caches: Where parts of prompts are.
        crashes: Under which requests endpoints ended.
        retry_budget: What repeats cost.
        directory: The other routers.
    """

    view: FleetView
    totals: TotalsTracker
    loads: LoadTracker
    health: HealthTracker
    liveness: EndpointLiveness
    quiet: EndpointBackoffs
    cold: ColdEndpoints
    caches: CacheMap
    crashes: CrashTracker
    retry_budget: RetryBudget
    directory: PeerDirectory


@dataclass(frozen=True, kw_only=True, slots=True)
class Components:
    """The parts of a router that are run.

    Attributes:
        state: What they share.
        app: Serves callers.
        placer: Chooses endpoints.
        client: Client of endpoints.
        follower: Reads from the source.
        reachability: Tries connections to endpoints that could not be reached.
        termination_prober: Finds out whether endpoints that broke off have ended.
        isolation: Tells whether other routers serve callers better.
        exchange: Exchanges reports with other routers.
        owners: Exchanges questions and counts with owners of shards.
        fetcher: Fetches from other routers what is lacking.
        metrics: Renders what was counted.
    """

    state: SharedState
    app: ForwardApp
    placer: OwnerPlacer
    client: ForwardClient
    follower: Follower
    reachability: Reachability
    termination_prober: TerminationProber
    isolation: IsolationDetector
    exchange: PeerExchange
    owners: OwnerExchange
    fetcher: Fetcher
    metrics: MetricsPage

    def start_draining(self) -> None:
        """Let callers go elsewhere, and other routers take over."""
        self.app.start_draining()
        self.state.directory.announce_leaving()


def build_components(
    *, settings: ForwardSettings, dependencies: Dependencies
) -> Components:
    """Put the parts of a router together.

    Args:
        settings: The router's settings.
        dependencies: What it is connected to.
    """
    clock = dependencies.clock
    generator = random.Random(settings.router)
    knowledge = _build_shared_state(settings=settings, clock=clock)
    directory = knowledge.directory
    backend = LinkedBackend(links=dependencies.links)
    client = ForwardClient(
        protocols=dependencies.protocols,
        backend=backend,
        clock=clock,
        signs=knowledge.liveness,
        notices=EndpointNotices(
            leaving=knowledge.view.leaving, backoffs=knowledge.quiet
        ),
    )
    word = PeerSummary(
        view=knowledge.view,
        directory=directory,
        shares=knowledge.totals,
        clock=clock,
    )
    metrics = ForwardMetrics()
    follower = Follower(
        source=dependencies.source,
        view=knowledge.view,
        peer_summary=word,
        metrics=metrics,
        leaving_propagation_time=settings.leaving_propagation_time,
        clock=clock,
        generator=generator,
    )
    reachability = Reachability(
        view=knowledge.view,
        backend=backend,
        failure_domain=settings.failure_domain,
        clock=clock,
    )
    endings = TerminationProber(
        backend=backend,
        reachability=reachability,
        crashes=knowledge.crashes,
        leaving=knowledge.view.leaving,
        clock=clock,
    )
    isolation = IsolationDetector(
        view=knowledge.view,
        reachability=reachability,
        failure_domain=settings.failure_domain,
        router_presence=directory.reachable_domains,
        clock=clock,
    )
    placer = ForwardPlacer(
        view=knowledge.view,
        loads=knowledge.loads,
        health=knowledge.health,
        reachability=reachability,
        quiet=knowledge.quiet,
        cold=knowledge.cold,
        caches=knowledge.caches,
        failure_domain=settings.failure_domain,
        generator=generator,
    )
    shards = ShardMap(view=knowledge.view)
    requests = InFlightReporter(
        router=settings.router, loads=knowledge.loads, shards=shards, clock=clock
    )
    owners = OwnerExchange(
        directory=directory,
        reporter=requests,
        owner=Owner(
            router=settings.router,
            view=knowledge.view,
            placer=placer,
            shards=shards,
            loads=knowledge.loads,
            counts=ShardCounts(clock=clock),
            failure_domain=settings.failure_domain,
        ),
        clock=clock,
    )
    owners_placer = OwnerPlacer(
        view=knowledge.view,
        placer=placer,
        shards=shards,
        directory=directory,
        exchange=owners,
        reporter=requests,
    )
    attempts = AttemptRunner(
        placer=owners_placer,
        residency=ResidencyPolicy(view=knowledge.view, regions=settings.regions),
        loads=knowledge.loads,
        health=knowledge.health,
        reachability=reachability,
        caches=knowledge.caches,
        guard=CrashGuard(
            crashes=knowledge.crashes,
            termination_prober=endings,
            metrics=metrics,
            clock=clock,
        ),
        repeats=knowledge.retry_budget,
        waits=TimeoutEstimator(),
        metrics=metrics,
        clock=clock,
    )
    filters = (
        RouteFilter(view=knowledge.view, generator=generator),
        DeadlineFilter(clock=clock),
        ForwardFilter(attempts=attempts, client=client, repeats=knowledge.retry_budget),
    )
    return Components(
        state=knowledge,
        app=ForwardApp(
            pipeline=compose(filters=filters),
            protocols=dependencies.protocols,
            view=knowledge.view,
            isolation=isolation,
            metrics=metrics,
            clock=clock,
        ),
        placer=owners_placer,
        client=client,
        follower=follower,
        reachability=reachability,
        termination_prober=endings,
        isolation=isolation,
        exchange=PeerExchange(
            view=knowledge.view,
            loads=knowledge.loads,
            repeats=knowledge.retry_budget,
            shares=knowledge.totals,
            caches=knowledge.caches,
            crashes=knowledge.crashes,
            directory=directory,
            plan=ReportPlan(directory=directory, shares=knowledge.totals),
            peer_summary=word,
            follower=follower,
            owners=owners,
            generator=generator,
        ),
        owners=owners,
        metrics=MetricsPage(
            metrics=metrics,
            sources=MetricsSources(
                view=knowledge.view,
                loads=knowledge.loads,
                repeats=knowledge.retry_budget,
                crashes=knowledge.crashes,
                directory=directory,
                follower=follower,
            ),
        ),
        fetcher=Fetcher(
            view=knowledge.view,
            caches=knowledge.caches,
            directory=knowledge.directory,
            peer_summary=word,
            documents=dependencies.documents,
            cache_discovery=CacheDiscovery(
                view=knowledge.view,
                caches=knowledge.caches,
                peer_summary=word,
                shards=shards,
                quiet=knowledge.quiet,
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


def _build_shared_state(*, settings: ForwardSettings, clock: Clock) -> SharedState:
    caches = CacheMap(clock=clock)
    if settings.first_start:
        # The whole fleet starts for the first time: no endpoint has cached anything.
        caches.mark_populated()
    directory = PeerDirectory(
        own=PeerInfo(
            router=settings.router,
            failure_domain=settings.failure_domain,
            address=settings.peers,
            link=settings.link_mbps,
        ),
        seeds=settings.seeds,
        clock=clock,
    )
    shares = TotalsTracker(failure_domain=settings.failure_domain, clock=clock)
    view = FleetView(
        clock=clock,
        leaving=LeavingEndpoints(
            clock=clock, serve_time=settings.leaving_propagation_time
        ),
    )
    return SharedState(
        view=view,
        totals=shares,
        loads=LoadTracker(shares=shares),
        health=HealthTracker(clock=clock),
        liveness=EndpointLiveness(clock=clock),
        quiet=EndpointBackoffs(clock=clock),
        cold=ColdEndpoints(
            router=settings.router,
            bounds=settings.cold_bounds,
            view=view,
            router_count=lambda: max(directory.router_count, shares.router_count),
            clock=clock,
        ),
        caches=caches,
        crashes=CrashTracker(clock=clock),
        retry_budget=RetryBudget(
            limits=settings.retry_limits,
            totals=shares,
            routers=lambda: directory.router_count,
            clock=clock,
        ),
        directory=directory,
    )
