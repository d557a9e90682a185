"""Decides for all routers which endpoint of its shard a request goes to.

What arrives at many routers at once is decided in one place, one after the other:
each decision knows those before it. So no endpoint is the best one for all at the
same moment, and a prompt that nobody has is read by one endpoint.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.logs import get_logger
from dotterelpaddle.owners.messages import Grant
from dotterelpaddle.owners.shards import shard_entries

if TYPE_CHECKING:
    from collections import Counter

    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.placement import ForwardPlacer
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
    from dotterelpaddle.owners.counts import ShardCounts
    from dotterelpaddle.owners.messages import (
        GrantRequest,
        InFlightReport,
        PlacementQuery,
    )
    from dotterelpaddle.owners.shards import ShardMap

log = get_logger(name=__name__)


class Owner:
    """Answers the questions of routers.

    Args:
        router: This router.
        view: The endpoints in force.
        placer: Chooses endpoints.
        shards: Tells which owner counts what.
        loads: What this router has in flight, and what reports tell of the others.
        counts: What other routers have in flight, as they tell this one.
        failure_domain: Where this router is.
    """

    def __init__(
        self,
        *,
        router: RouterId,
        view: FleetView,
        placer: ForwardPlacer,
        shards: ShardMap,
        loads: LoadTracker,
        counts: ShardCounts,
        failure_domain: FailureDomain,
    ) -> None:
        self._router = router
        self._view = view
        self._placer = placer
        self._shards = shards
        self._failure_domain = failure_domain
        self._loads = loads
        self._counts = counts

    def record_report(self, *, report: InFlightReport) -> None:
        """Take in what a router has in flight; its own this one knows."""
        if report.router != self._router:
            self._counts.record_report(report=report)

    def decide(self, *, request: GrantRequest) -> Grant:
        """Decide where a request goes, and count it there."""
        self.record_report(report=request.report)
        wanted = request.query
        try:
            choice = self._placer.choose_in_shard(
                service=wanted.service,
                shard=wanted.shard,
                request=wanted,
                retryable=wanted.repeatable,
                excluded=wanted.excluded,
                loads=self._current_loads(query=wanted),
                ignore_bound=wanted.ignore_bound,
                cached_at=wanted.cached_at,
            )
        except NoEndpoint as error:
            log.info("grant_refused", router=request.report.router, cause=error.message)
            return Grant(number=request.number)
        if choice is None:
            holder = self._placer.cache_holder(service=wanted.service, request=wanted)
            return Grant(number=request.number, fetch_from=holder)
        endpoint = choice.entry.endpoint
        self._counts.record_grant(
            report=request.report, number=request.number, endpoint=endpoint
        )
        source = choice.fetch_from
        return Grant(
            number=request.number,
            endpoint=endpoint,
            fetch_from=source.endpoint if source is not None else None,
            reason=choice.reason,
            load=choice.load,
            mean_load=round(choice.mean_load, 2),
            missing=choice.missing_tokens,
            work=choice.work_tokens,
        )

    def _current_loads(self, *, query: PlacementQuery) -> Counter[EndpointId]:
        """Counts of the shard as routers tell them here, of the others by reports.

        Reports are a few tenths of a second old. The greater count goes while some
        routers have not told this one yet, and where it stands in for another owner,
        which some routers may still be asking.
        """
        loads = self._loads.loads()
        counted = self._counts.loads
        settled = self._counts.warmed_up
        for entry in shard_entries(
            entries=self._view.ready(service=query.service), shard=query.shard
        ):
            endpoint = entry.endpoint
            load = counted.get(endpoint, 0) + self._loads.own.get(endpoint, 0)
            owning = self._shards.owning_domain(endpoint=endpoint)
            exact = settled and owning == self._failure_domain
            loads[endpoint] = load if exact else max(load, loads[endpoint])
        return loads
