"""Grants endpoints of a shard to all routers.

The owner decides on the simultaneous requests of many routers one by one, and each
decision counts the earlier ones. This keeps routers from all choosing the endpoint
that was least loaded, and lets a single endpoint read a prompt that none has cached.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.logs import get_logger
from dotterelpaddle.owners.messages import Grant
from dotterelpaddle.owners.shards import shard_entries

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.forwarding.brittle import BrittleEndpoints
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.placement import ForwardPlacer
    from dotterelpaddle.forwarding.slowdowns import SlowdownNote, Slowdowns
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId, ServiceName
    from dotterelpaddle.owners.counts import ShardCounts
    from dotterelpaddle.owners.messages import (
        GrantRequest,
        InFlightReport,
        PlacementQuery,
    )
    from dotterelpaddle.owners.owner_role import OwnerRole
    from dotterelpaddle.owners.service_times import ServiceTimes
    from dotterelpaddle.owners.shards import ShardMap
    from dotterelpaddle.owners.slot_lease import SlotLease

log = get_logger(name=__name__)


class Owner:
    """Decides on the grant requests of routers.

    Args:
        router: This router.
        view: The current endpoints.
        placer: Chooses endpoints.
        shards: Maps endpoints to the failure domains whose owners count them.
        loads: Requests in flight of this router, and of others by peer reports.
        counts: Requests in flight that other routers report to this owner.
        brittle: Endpoints that end if they reject too many requests.
        failure_domain: Failure domain of this router.
        own_grants: Returns grants to this router itself that are not in use yet, by
            endpoint.
        role: Tells which counts are exact while slots are granted; None if they are
            as exact as for other requests.
        slowdowns: Slowdowns that endpoints report, None to ignore them.
        service_times: Time in service of endpoints, None if it isn't measured.
        lease: Tells whether this router alone grants slots, None if it does.
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
        brittle: BrittleEndpoints,
        failure_domain: FailureDomain,
        own_grants: Callable[[], Mapping[EndpointId, int]] = dict,
        role: OwnerRole | None = None,
        slowdowns: Slowdowns | None = None,
        service_times: ServiceTimes | None = None,
        lease: SlotLease | None = None,
    ) -> None:
        self._router = router
        self._view = view
        self._placer = placer
        self._shards = shards
        self._failure_domain = failure_domain
        self._loads = loads
        self._counts = counts
        self._brittle = brittle
        self._own_grants = own_grants
        self._role = role
        self._slowdowns = slowdowns
        self._service_times = service_times
        self._lease = lease

    def record_report(self, *, report: InFlightReport) -> Counter[EndpointId]:
        """Record the report of another router; a report of this router is ignored.

        Returns:
            By how many requests the report lowers the count of each endpoint.
        """
        if report.router == self._router:
            return Counter()
        return self._counts.record_report(report=report)

    def record_slowdowns(self, *, notes: tuple[SlowdownNote, ...]) -> None:
        """Record slowdowns that another router passes on."""
        if self._slowdowns is None:
            return
        for note in notes:
            self._slowdowns.record_told(
                endpoint=note.endpoint, slowdown=note.slowdown, age=note.age
            )

    def decide(self, *, request: GrantRequest) -> Grant:
        """Choose an endpoint for a request, and count the request there."""
        self.record_report(report=request.report)
        self.record_slowdowns(notes=request.slowdowns)
        try:
            grant = self._choose(request=request)
        except NoEndpoint as error:
            log.info("grant_refused", router=request.report.router, cause=error.message)
            return Grant(number=request.number)
        return grant or self.decline(request=request)

    def try_grant(self, *, request: GrantRequest) -> Grant | None:
        """Grant a request a slot.

        Returns:
            The grant, None if no endpoint with a free slot takes the request.
        """
        try:
            return self._choose(request=request)
        except NoEndpoint:
            return None

    def decline(self, *, request: GrantRequest) -> Grant:
        """Return a grant of no endpoint, with the endpoint that caches the prompt."""
        query = request.query
        holder = self._placer.cache_holder(service=query.service, request=query)
        return Grant(number=request.number, fetch_from=holder)

    def accepts(self, *, request: GrantRequest) -> bool:
        """Return whether any endpoint of the shard can serve a request at all."""
        query = request.query
        try:
            eligible = self._placer.candidates.usable_or_fallback(
                service=query.service, request=query, excluded=query.excluded
            )
        except NoEndpoint:
            return False
        return bool(shard_entries(entries=eligible, shard=query.shard))

    def has_endpoints(self, *, service: ServiceName) -> bool:
        """Return whether any endpoint of a service is registered."""
        return bool(self._view.registered(service=service))

    def slots(
        self, *, service: ServiceName, shard: FailureDomain | None
    ) -> dict[EndpointId, int]:
        """Slots of the endpoints that take work, by endpoint."""
        in_service = self._placer.candidates.in_service(service=service)
        entries = shard_entries(entries=in_service, shard=shard)
        return {entry.endpoint: entry.slots for entry in entries}

    def loads(
        self,
        *,
        service: ServiceName,
        shard: FailureDomain | None,
        for_slots: bool = False,
    ) -> Counter[EndpointId]:
        """Requests in flight: in the shard as counted here, elsewhere by peer reports.

        Peer reports are a few tenths of a second old. The method takes the greater of
        both counts while some routers have not reported to this owner yet, and where
        this owner replaces another one that some routers may still ask.

        Args:
            service: The service.
            shard: Failure domain of the endpoints that are counted, None for all.
            for_slots: Whether slots are granted, so that a count that is too high
                leaves some idle.
        """
        loads = self._loads.loads()
        counted, own_grants = self._counts.loads, self._own_grants()
        role = self._role if for_slots else None
        unreported = Counter() if role is None else role.unreported_loads()
        exact_domains: dict[FailureDomain | None, bool] = {None: False}
        for entry in shard_entries(
            entries=self._view.ready(service=service), shard=shard
        ):
            endpoint = entry.endpoint
            own = self._loads.own.get(endpoint, 0) + own_grants.get(endpoint, 0)
            load = counted.get(endpoint, 0) + unreported[endpoint] + own
            domain = self._shards.owning_domain(endpoint=endpoint)
            if domain not in exact_domains:
                exact_domains[domain] = self._is_exact(domain=domain, role=role)
            loads[endpoint] = (
                load if exact_domains[domain] else max(load, loads[endpoint])
            )
        return loads

    def _is_exact(
        self, *, domain: FailureDomain | None, role: OwnerRole | None
    ) -> bool:
        """Return whether the counts cover all requests of a failure domain."""
        if role is not None and domain is not None:
            return role.has_exact_counts(domain=domain)
        return self._counts.warmed_up and domain == self._failure_domain

    def _choose(self, *, request: GrantRequest) -> Grant | None:
        query = request.query
        loads = self.loads(
            service=query.service,
            shard=query.shard,
            for_slots=query.admission is not None,
        )
        excluded = query.excluded | self._full(query=query, loads=loads)
        if query.admission is not None:
            not_free = self._all_but_free(query=query, full=excluded)
            if not_free is None:
                return None
            excluded = not_free
        choice = self._placer.choose_in_shard(
            service=query.service,
            shard=query.shard,
            request=query,
            retryable=query.retryable,
            excluded=excluded,
            loads=loads,
            ignore_bound=query.ignore_bound,
            cached_at=query.cached_at,
            measured=self._measured_slowdowns(query=query),
        )
        if choice is None:
            return None
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
            missing_tokens=choice.missing_tokens,
            work_tokens=choice.work_tokens,
        )

    def _measured_slowdowns(
        self, *, query: PlacementQuery
    ) -> Mapping[EndpointId, float]:
        """Return the slowdowns of endpoints that report none, for plain requests.

        The time in service of prompts depends on their tokens more than on endpoints.
        Endpoints of other shards are left out, as their counts are less exact. Where
        no endpoint reports a slowdown, hosts are not shared and none is concluded.
        """
        slowdowns, service_times = self._slowdowns, self._service_times
        if slowdowns is None or service_times is None:
            return {}
        if query.prompt or not slowdowns.any_told:
            return {}
        ready = self._view.ready(service=query.service)
        return service_times.slowdowns(
            endpoints=[
                entry.endpoint
                for entry in shard_entries(entries=ready, shard=query.shard)
                if not slowdowns.is_told(endpoint=entry.endpoint)
            ]
        )

    def _all_but_free(
        self, *, query: PlacementQuery, full: frozenset[EndpointId]
    ) -> frozenset[EndpointId] | None:
        """Return the endpoints to exclude so that only those with a free slot remain.

        Endpoints that serve as a fallback only, because they failed or left, must not
        get requests while all others are full.

        Args:
            query: The request to place.
            full: Endpoints that are full or excluded by the query.

        Returns:
            The endpoints, None if no other one remains.

        Raises:
            NoEndpoint: If no endpoint accepts the request.
        """
        eligible = self._placer.candidates.usable_or_fallback(
            service=query.service, request=query, excluded=query.excluded
        )
        free = [entry for entry in eligible if entry.endpoint not in full]
        if not shard_entries(entries=free, shard=query.shard):
            return None
        free_names = {entry.endpoint for entry in free}
        known = (
            *self._view.registered(service=query.service),
            *self._view.last_resort(service=query.service),
        )
        return frozenset({each.endpoint for each in known} - free_names)

    def _full(
        self, *, query: PlacementQuery, loads: Counter[EndpointId]
    ) -> frozenset[EndpointId]:
        """Return the endpoints without a free slot that may get no more requests.

        Brittle endpoints have none while another owner may still grant their slots.
        """
        entries = (
            *self._view.ready(service=query.service),
            *(
                self._view.last_resort(service=query.service)
                if query.admission is not None
                else ()
            ),
        )
        full: set[EndpointId] = set()
        held: dict[FailureDomain | None, bool] = {}
        for entry in entries:
            endpoint = entry.endpoint
            brittle = query.brittle or self._brittle.is_brittle(entry=entry)
            if not brittle and query.admission is None:
                continue
            if loads[endpoint] >= entry.slots:
                full.add(endpoint)
            elif brittle:
                domain = self._shards.owning_domain(endpoint=endpoint)
                if domain not in held:
                    held[domain] = self._holds_lease(domain=domain)
                if not held[domain]:
                    full.add(endpoint)
        return frozenset(full)

    def _holds_lease(self, *, domain: FailureDomain | None) -> bool:
        if self._lease is None:
            return True
        return domain is not None and self._lease.holds(domain=domain)
