"""Selects an endpoint for a request by cached prompt tokens, load and error rate."""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.forwarding.affinity import (
    AFFINITY_TOKENS,
    LARGE_FLEET_AFFINITY_TOKENS,
    preferred_endpoint,
)
from dotterelpaddle.forwarding.cached_prompts import CachedPrompts
from dotterelpaddle.forwarding.caches import part_tag, shared_parts
from dotterelpaddle.forwarding.candidates import Candidates
from dotterelpaddle.forwarding.choice import Choice, ChoiceReason
from dotterelpaddle.forwarding.cold import COLD_RETRY_AFTER_SECONDS
from dotterelpaddle.forwarding.cost import (
    NON_RETRYABLE_FAILURE_LOAD,
    RETRYABLE_FAILURE_LOAD,
    prompt_cost,
)
from dotterelpaddle.forwarding.herding import (
    LARGE_FLEET_ROUTERS,
    MIN_BOUND_FRACTION,
    SAMPLE_SIZE,
    load_bound,
)
from dotterelpaddle.forwarding.least_loaded import LeastLoaded
from dotterelpaddle.forwarding.slowdowns import USUAL
from dotterelpaddle.owners.shards import shard_entries

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Mapping, Sequence

    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.cached_prompts import CachedPrompt
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.cold import ColdEndpoints
    from dotterelpaddle.forwarding.health import HealthTracker
    from dotterelpaddle.forwarding.interface import HasPrompt
    from dotterelpaddle.forwarding.kept_connections import KeptConnections
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.slowdowns import Slowdowns
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import (
        EndpointId,
        FailureDomain,
        ServiceName,
        SoftwareVersion,
    )
    from dotterelpaddle.peers.tunnels import TunnelBackend

MIN_FETCH_TOKENS = 256
"""Shared prompt tokens below which reading them again is faster than a fetch from
another endpoint's cache, which takes 5 ms to set up."""

MAX_DOMAIN_SPREAD_TOKENS = 100
"""Extra cost, in prompt tokens (one request of load), accepted for a copy in a failure
domain without the prompt, so that losing a domain loses fewer cached prompts."""


class ForwardPlacer:
    """Selects an endpoint for each request.

    Args:
        view: Current endpoints and configuration.
        loads: Requests in flight per endpoint.
        health: Results of recent requests per endpoint.
        reachability: Endpoints that this router can't connect to.
        tunnels: Connects through other routers, None if none can.
        backoffs: Endpoints that asked this router to back off.
        cold: Limits for endpoints that have just started.
        caches: Prompt parts that each endpoint has cached.
        slowdowns: Current slowdowns of endpoints, None if all work as usual.
        failure_domain: Failure domain of this router.
        connections: Idle connections that break ties, None if they don't count.
        generator: Random source for sampling and ties.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        loads: LoadTracker,
        health: HealthTracker,
        reachability: Reachability,
        tunnels: TunnelBackend | None = None,
        backoffs: EndpointBackoffs,
        cold: ColdEndpoints,
        caches: CacheMap,
        slowdowns: Slowdowns | None = None,
        failure_domain: FailureDomain,
        connections: KeptConnections | None = None,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._loads = loads
        self._health = health
        self._reachability = reachability
        self._candidates = Candidates(
            view=view,
            health=health,
            reachability=reachability,
            tunnels=tunnels,
            backoffs=backoffs,
        )
        self._cold = cold
        self._caches = caches
        self._cached_prompts = CachedPrompts(
            view=view, health=health, reachability=reachability, caches=caches
        )
        self._connections = connections
        self._slowdowns = slowdowns
        self._generator = generator
        self._least_loaded = LeastLoaded(
            loads=loads,
            health=health,
            failure_domain=failure_domain,
            generator=generator,
        )

    @property
    def candidates(self) -> Candidates:
        """The filter that decides which endpoints are eligible."""
        return self._candidates

    def choose(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        retryable: bool,
        excluded: frozenset[EndpointId],
        version: SoftwareVersion | None = None,
    ) -> Choice:
        """Choose an endpoint of a service.

        Args:
            service: The service.
            request: The request to send.
            retryable: Whether another endpoint can serve the request after a failure.
            excluded: Endpoints that earlier attempts have used.
            version: The only software version that may serve it, None for any.

        Raises:
            NoEndpoint: If no endpoint, or only cold ones at their limit, are left.
        """
        eligible = self._candidates.usable_or_fallback(
            service=service, request=request, excluded=excluded, version=version
        )
        loads = self._loads.loads()
        weight = RETRYABLE_FAILURE_LOAD if retryable else NON_RETRYABLE_FAILURE_LOAD
        mean = sum(loads[entry.endpoint] for entry in eligible) / len(eligible)
        candidates = self._cold.with_capacity(entries=eligible)
        if not candidates:
            raise NoEndpoint(
                f"service '{service}' has only cold endpoints left and all "
                f"{len(eligible)} have reached their limit",
                retry_after=COLD_RETRY_AFTER_SECONDS,
            )
        choice = None
        if shared_parts(request=request):
            choice = self._least_cost(
                request=request,
                candidates=candidates,
                loads=loads,
                mean_load=mean,
                failure_load=weight,
            )
        if choice is None:
            choice = self._least_loaded.choose(
                candidates=candidates,
                loads=loads,
                mean_load=mean,
                failure_load=weight,
                connections=self._connections if retryable else None,
                slowdown_of=self.slowdown,
            )
        self._cold.record_request(entry=choice.entry)
        return self.record_choice(choice=choice, request=request)

    def choose_in_shard(
        self,
        *,
        service: ServiceName,
        shard: FailureDomain | None,
        request: HasPrompt,
        retryable: bool,
        excluded: frozenset[EndpointId],
        loads: Counter[EndpointId],
        ignore_bound: bool,
        cached_at: EndpointId | None = None,
        measured: Mapping[EndpointId, float] = MappingProxyType({}),
    ) -> Choice | None:
        """Choose for another router among the endpoints that this router owns.

        Args:
            service: The service.
            shard: Failure domain of the endpoints, None for all.
            request: The request to send.
            retryable: Whether another endpoint can serve the request after a failure.
            excluded: Endpoints to leave out, also cold ones to which the other router
                may send no more requests.
            loads: Requests in flight, exact for the endpoints of the shard.
            ignore_bound: Whether to choose an endpoint even if all exceed their bound.
            cached_at: Endpoint of another shard that has the shared prompt parts.
            measured: Slowdowns of endpoints that report none.

        Returns:
            The choice; None if no endpoint of the shard is eligible and within bound.

        Raises:
            NoEndpoint: If no endpoint of any shard accepts the request.
        """
        candidates = self._candidates.usable_or_fallback(
            service=service, request=request, excluded=excluded
        )
        mean = sum(loads[entry.endpoint] for entry in candidates) / len(candidates)
        owned = shard_entries(entries=candidates, shard=shard)
        if not owned:
            return None
        weight = RETRYABLE_FAILURE_LOAD if retryable else NON_RETRYABLE_FAILURE_LOAD
        choice = None
        if shared_parts(request=request):
            choice = self._least_cost(
                request=request,
                candidates=owned,
                loads=loads,
                mean_load=mean,
                failure_load=weight,
                exact_loads=True,
                cached_at=cached_at,
            )
        if choice is None:
            choice = self._least_loaded.choose(
                candidates=owned,
                loads=loads,
                mean_load=mean,
                failure_load=weight,
                slowdown_of=lambda entry: (
                    measured.get(entry.endpoint) or self.slowdown(entry)
                ),
                exact_loads=True,
                others_follow=not ignore_bound,
            )
            bound = load_bound(entry=choice.entry, mean=mean)
            if choice.load + 1 > bound and not ignore_bound:
                return None
        return self.record_choice(choice=choice, request=request)

    def cache_holder(
        self, *, service: ServiceName, request: HasPrompt
    ) -> EndpointId | None:
        """Return the endpoint that has all shared parts of a prompt, or None."""
        candidates = self._view.ready(service=service)
        if not candidates or not shared_parts(request=request):
            return None
        cached = self._cached_prompts.look_up(request=request, candidates=candidates)
        if cached.min_missing_tokens or cached.holder is None:
            return None
        return cached.holder.endpoint

    def record_choice(self, *, choice: Choice, request: HasPrompt) -> Choice:
        """Record the prompt at the chosen endpoint before the request is sent.

        Concurrent requests with the same prompt then go to the same endpoint.
        """
        if not shared_parts(request=request):
            return choice
        new_parts = self._caches.record_prompt(
            endpoint=choice.entry.endpoint, request=request
        )
        return replace(choice, new_parts=new_parts)

    def slowdown(self, entry: EndpointEntry) -> float:
        """Return the factor on the usual time of work that an endpoint needs now."""
        if self._slowdowns is None:
            return USUAL
        return self._slowdowns.expected(endpoint=entry.endpoint)

    def _error_rate(self, entry: EndpointEntry) -> float:
        return self._health.error_rate(endpoint=entry.endpoint)

    def _least_cost(
        self,
        *,
        request: HasPrompt,
        candidates: Sequence[EndpointEntry],
        loads: Counter[EndpointId],
        mean_load: float,
        failure_load: float,
        exact_loads: bool = False,
        cached_at: EndpointId | None = None,
    ) -> Choice | None:
        """Choose the endpoint with the least cost among those within the load bound.

        Args:
            request: The request to send.
            candidates: Eligible endpoints.
            loads: Requests in flight per endpoint.
            mean_load: Mean of the requests in flight.
            failure_load: Requests in flight that weigh as much as an error rate of 1.
            exact_loads: Whether `loads` already counts what other routers send.
            cached_at: Endpoint of another shard that has the shared prompt parts.
        """
        large = not exact_loads and self._loads.router_count > LARGE_FLEET_ROUTERS
        fraction = self._generator.uniform(MIN_BOUND_FRACTION, 1.0) if large else 1.0
        within = [
            entry
            for entry in candidates
            if loads[entry.endpoint] + 1
            <= load_bound(entry=entry, mean=mean_load, bound_fraction=fraction)
        ]
        if not within:
            return None
        preferred = preferred_endpoint(
            request=request, candidates=candidates, sharded=large
        )
        cached = self._cached_prompts.look_up(
            request=request, candidates=candidates, cached_at=cached_at
        )
        if large:
            within = self._sample(entries=within, cached=cached, preferred=preferred)
        affinity_tokens = (
            LARGE_FLEET_AFFINITY_TOKENS if large or exact_loads else AFFINITY_TOKENS
        )
        queued_tokens = self._loads.queued_tokens()

        def _cost(entry: EndpointEntry) -> float:
            cost = prompt_cost(
                work=cached.work_at(endpoint=entry.endpoint),
                queued_tokens=queued_tokens[entry.endpoint],
                load=loads[entry.endpoint],
                failure_load=failure_load * self._error_rate(entry),
                slowdown=self.slowdown(entry),
            )
            return cost - affinity_tokens * (cached.is_uncached and entry is preferred)

        entry = min(within, key=_cost)
        if cached.missing_tokens[entry.endpoint] > cached.min_missing_tokens:
            max_cost = _cost(entry) + MAX_DOMAIN_SPREAD_TOKENS
            spreading = [
                each
                for each in within
                if each.failure_domain not in cached.holder_domains
                and _cost(each) <= max_cost
            ]
            entry = min(spreading, key=_cost, default=entry)
        missing_tokens = cached.missing_tokens[entry.endpoint]
        fetch = missing_tokens - cached.min_missing_tokens >= MIN_FETCH_TOKENS
        return Choice(
            entry=entry,
            reason=ChoiceReason.LEAST_COST if missing_tokens else ChoiceReason.CACHED,
            load=loads[entry.endpoint],
            mean_load=mean_load,
            candidate_count=len(candidates),
            part_tag=part_tag(
                model=request.model, part=shared_parts(request=request)[-1]
            ),
            missing_tokens=missing_tokens,
            work_tokens=round(
                cached.work_at(endpoint=entry.endpoint).equivalent_tokens
            ),
            fetch_from=cached.holder if fetch else None,
            slowdown=self.slowdown(entry),
        )

    def _sample(
        self,
        *,
        entries: list[EndpointEntry],
        cached: CachedPrompt,
        preferred: EndpointEntry,
    ) -> list[EndpointEntry]:
        """Return the endpoints to compare: cache holders and a random sample."""
        holders = [
            entry
            for entry in entries
            if (
                entry is preferred
                if cached.is_uncached
                else cached.missing_tokens[entry.endpoint] <= cached.min_missing_tokens
            )
        ]
        others = self._generator.sample(entries, min(SAMPLE_SIZE, len(entries)))
        return holders + [entry for entry in others if entry not in holders]
