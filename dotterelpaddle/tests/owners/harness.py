"""An owner and routers that request grants from it, with a clock that tests set."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import ExitStack
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.health import HealthTracker
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.loads import LoadTracker
from dotterelpaddle.forwarding.placement import ForwardPlacer
from dotterelpaddle.forwarding.reachability import Reachability
from dotterelpaddle.forwarding.request_totals import TotalsTracker
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    RouterId,
    ServiceName,
)
from dotterelpaddle.owners.counts import ShardCounts
from dotterelpaddle.owners.messages import GrantRequest, PlacementQuery
from dotterelpaddle.owners.owner import Owner
from dotterelpaddle.owners.reporting import InFlightReporter
from dotterelpaddle.owners.shards import ShardMap
from dotterelpaddle.tests.forwarding.entries import (
    make_brittle,
    make_entry,
    make_request,
    unbounded_cold_endpoints,
)
from dotterelpaddle.tests.revisions import revision_at

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.owners.messages import Grant, InFlightReport
    from dotterelpaddle.owners.reporting import PendingGrant

HERE, THERE = FailureDomain("here"), FailureDomain("there")
SERVICE = ServiceName("engines")
SLOTS = 12
PROMPT = make_request(("system", 500), ("subject", 9000))


class OwnerHarness:
    """An owner, the endpoints that all routers know, and a clock that tests set."""

    def __init__(self, *, endpoints: int = 6, there: int = 0) -> None:
        self.now = 100.0
        self.endpoints = tuple(EndpointId(f"engine-{n}") for n in range(endpoints))
        self.others = tuple(EndpointId(f"other-{n}") for n in range(there))
        self.view = FleetView(clock=self.clock)
        entries = (
            *(make_entry(name, slots=SLOTS) for name in self.endpoints),
            *(
                make_entry(name, slots=SLOTS, failure_domain=THERE)
                for name in self.others
            ),
        )
        self.view.apply_endpoints_update(
            update=EndpointsUpdate(
                revision=revision_at(1), entries=entries, is_snapshot=True
            )
        )
        self.restart_owner()

    def clock(self) -> float:
        return self.now

    def restart_owner(self) -> None:
        """Replace the owner of the shard by a new one without any state."""
        self.shares = TotalsTracker(failure_domain=HERE, clock=self.clock)
        loads = LoadTracker(totals=self.shares)
        self.caches = CacheMap(clock=self.clock)
        self.counts = ShardCounts(clock=self.clock)
        self.brittle = make_brittle()
        self.owner = Owner(
            router=RouterId("owner"),
            view=self.view,
            placer=ForwardPlacer(
                view=self.view,
                loads=loads,
                health=HealthTracker(clock=self.clock),
                reachability=Reachability(
                    view=self.view,
                    backend=None,  # type: ignore[arg-type]
                    failure_domain=HERE,
                    clock=self.clock,
                ),
                backoffs=EndpointBackoffs(clock=self.clock),
                cold=unbounded_cold_endpoints(view=self.view),
                caches=self.caches,
                failure_domain=HERE,
                generator=random.Random(1),
            ),
            shards=ShardMap(view=self.view),
            loads=loads,
            counts=self.counts,
            brittle=self.brittle,
            failure_domain=HERE,
        )


class RequestingRouter:
    """A router with requests in flight."""

    def __init__(self, *, name: str, harness: OwnerHarness) -> None:
        self._harness = harness
        totals = TotalsTracker(failure_domain=HERE, clock=harness.clock)
        self.loads = LoadTracker(totals=totals)
        self.reporter = InFlightReporter(
            router=RouterId(name),
            loads=self.loads,
            shards=ShardMap(view=harness.view),
            clock=harness.clock,
        )
        self.in_flight: list[ExitStack] = []

    def build_report(self) -> InFlightReport:
        return self.reporter.build_report(domain=HERE)

    def open_request(
        self,
        *,
        request: ForwardRequest = PROMPT,
        ignore_bound: bool = False,
        shard: FailureDomain = HERE,
        excluded: frozenset[EndpointId] = frozenset(),
        cached_at: EndpointId | None = None,
    ) -> tuple[PendingGrant, GrantRequest]:
        """Open a grant request."""
        pending = self.reporter.open_request(owner=RouterId("owner"))
        grant_request = GrantRequest(
            number=pending.number,
            report=self.build_report(),
            query=PlacementQuery(
                service=SERVICE,
                shard=shard,
                model=ModelId("m"),
                prompt=request.prompt,
                retryable=True,
                excluded=excluded,
                ignore_bound=ignore_bound,
                cached_at=cached_at,
            ),
        )
        return pending, grant_request

    def apply_grant(self, *, pending: PendingGrant, grant: Grant) -> EndpointId | None:
        """Apply a grant that arrives in time, and begin the request."""
        self.reporter.resolve(grant=grant)
        if pending.grant is None or pending.grant.endpoint is None:
            self.reporter.abandon(pending=pending)
            return None
        self.begin(endpoint=pending.grant.endpoint)
        return pending.grant.endpoint

    def begin(self, *, endpoint: EndpointId) -> None:
        stack = ExitStack()
        stack.enter_context(self.loads.track(endpoint=endpoint))
        self.in_flight.append(stack)

    def end(self, index: int) -> None:
        self.in_flight.pop(index).close()


def total(routers: list[RequestingRouter]) -> Counter[EndpointId]:
    """Return the actual requests in flight by endpoint."""
    loads: Counter[EndpointId] = Counter()
    for router in routers:
        loads.update(router.loads.own)
    return loads
