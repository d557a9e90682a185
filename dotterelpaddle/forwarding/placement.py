"""Chooses the endpoint of a request: where its prompt is cached, load permitting."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.forwarding.affinity import preferred_endpoint
from dotterelpaddle.forwarding.cached_prompts import CachedPrompts
from dotterelpaddle.forwarding.caches import part_tag, shared_parts
from dotterelpaddle.forwarding.candidates import Candidates
from dotterelpaddle.forwarding.choice import Choice, ChoiceReason
from dotterelpaddle.forwarding.cold import Decider
from dotterelpaddle.forwarding.cost import prompt_cost
from dotterelpaddle.forwarding.herding import (
    LARGE_FLEET_ROUTERS,
    MIN_BOUND_FRACTION,
    PROMPTLESS_SAMPLE_SIZE,
    SAMPLE_SIZE,
    load_bound,
)
from dotterelpaddle.owners.shards import shard_entries

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.cached_prompts import CachedPrompt
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.cold import ColdEndpoints
    from dotterelpaddle.forwarding.health import HealthTracker
    from dotterelpaddle.forwarding.interface import HasPrompt
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, ServiceName

MIN_FETCH_TOKENS = 256
"""Shared prompt tokens below which a fetch, which takes 5 ms to set up, does not
beat reading them."""

MAX_DOMAIN_SPREAD_TOKENS = 100
"""Prompt tokens, one request of load, that a fetch into a failure domain without the
prompt may cost more than one into another: the loss of a domain then costs less."""

AFFINITY_TOKENS = 150
"""Prompt tokens by which the home of a part that nobody has is favoured, so that
routers that see it at the same moment send it to the same endpoint."""

LARGE_FLEET_AFFINITY_TOKENS = 1000
"""Instead of HOME_TOKENS with many routers, which hear of a prompt that was read
half a second later than few do. After a start of all of them most prompts are so found
again before engines were asked what they have."""

NON_RETRYABLE_FAILURE_LOAD = 10.0
"""Requests of load that weigh as much as certain failure, for a request that can't
be repeated: a share of failures of a fifth weighs two requests."""

COLD_RETRY_AFTER_SECONDS = 0.5
"""Seconds after which a caller may come back when only cold endpoints are left, which
have got what they bear in a second."""

RETRYABLE_FAILURE_LOAD = 3.0
"""The same for a request that can be repeated at the cost of time."""


class ForwardPlacer:
    """Chooses endpoints.

    Args:
        view: The endpoints in force.
        loads: Requests in flight.
        health: Results of requests.
        reachability: Where no connection can be made.
        quiet: Endpoints that want nothing from this router for a while.
        cold: What cold endpoints may get.
        caches: Where parts of prompts are.
        failure_domain: Where this router is.
        generator: Breaks ties.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        loads: LoadTracker,
        health: HealthTracker,
        reachability: Reachability,
        quiet: EndpointBackoffs,
        cold: ColdEndpoints,
        caches: CacheMap,
        failure_domain: FailureDomain,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._loads = loads
        self._health = health
        self._reachability = reachability
        self._candidates = Candidates(
            view=view, health=health, reachability=reachability, quiet=quiet
        )
        self._cold = cold
        self._caches = caches
        self._cached_prompts = CachedPrompts(
            view=view, health=health, reachability=reachability, caches=caches
        )
        self._failure_domain = failure_domain
        self._generator = generator

    @property
    def candidates(self) -> Candidates:
        """Which endpoints may get a request at all."""
        return self._candidates

    def choose(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        retryable: bool,
        excluded: frozenset[EndpointId],
        decider: Decider = Decider.OWNERLESS,
    ) -> Choice:
        """Choose an endpoint of a service.

        Args:
            service: The service.
            request: What is to be sent.
            retryable: Whether a failure there could be made good elsewhere.
            excluded: Endpoints that were tried already.
            decider: Whether owners decide for others meanwhile.

        Raises:
            NoEndpoint: If there is none that takes work, or all that are left are
                cold and have got what they bear.
        """
        left = self._candidates.usable_or_fallback(
            service=service, request=request, excluded=excluded
        )
        loads = self._loads.loads()
        risk = RETRYABLE_FAILURE_LOAD if retryable else NON_RETRYABLE_FAILURE_LOAD
        mean = sum(loads[entry.endpoint] for entry in left) / len(left)
        candidates = self._cold.with_capacity(entries=left, decider=decider)
        if not candidates:
            raise NoEndpoint(
                f"the {len(left)} endpoints of service '{service}' that are left are "
                "cold and have got what they bear",
                retry_after=COLD_RETRY_AFTER_SECONDS,
            )
        choice = None
        if shared_parts(request=request):
            choice = self._least_cost(
                request=request,
                candidates=candidates,
                loads=loads,
                mean_load=mean,
                failure_load=risk,
            )
        if choice is None:
            choice = self._least_loaded(
                candidates=candidates, loads=loads, mean_load=mean, failure_load=risk
            )
        return self._record_cold_and_choice(choice=choice, request=request)

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
    ) -> Choice | None:
        """Choose for another router among the endpoints that this one counts.

        Args:
            service: The service.
            shard: Failure domain of the endpoints, None for all.
            request: What is to be sent.
            retryable: Whether a failure there could be made good elsewhere.
            excluded: Endpoints that can't be chosen.
            loads: Requests in flight, exact for these endpoints.
            ignore_bound: Whether to choose one even if all are over their bound.
            cached_at: Endpoint elsewhere that has the shared parts of the prompt.

        Returns:
            The choice; None if all are over their bound, or none of the shard is left.

        Raises:
            NoEndpoint: If there is none that takes work anywhere.
        """
        candidates = self._candidates.usable_or_fallback(
            service=service, request=request, excluded=excluded
        )
        mean = sum(loads[entry.endpoint] for entry in candidates) / len(candidates)
        counted = self._cold.with_capacity(
            entries=shard_entries(entries=candidates, shard=shard),
            decider=Decider.OWNER,
        )
        if not counted:
            return None
        risk = RETRYABLE_FAILURE_LOAD if retryable else NON_RETRYABLE_FAILURE_LOAD
        choice = None
        if shared_parts(request=request):
            choice = self._least_cost(
                request=request,
                candidates=counted,
                loads=loads,
                mean_load=mean,
                failure_load=risk,
                exact_loads=True,
                cached_at=cached_at,
            )
        if choice is None:
            choice = self._least_loaded(
                candidates=counted,
                loads=loads,
                mean_load=mean,
                failure_load=risk,
                exact_loads=True,
            )
            bound = load_bound(entry=choice.entry, mean=mean)
            if choice.load + 1 > bound and not ignore_bound:
                return None
        return self._record_cold_and_choice(choice=choice, request=request)

    def cache_holder(
        self, *, service: ServiceName, request: HasPrompt
    ) -> EndpointId | None:
        """The endpoint that has all shared parts of a prompt, None if none has."""
        candidates = self._view.ready(service=service)
        if not candidates or not shared_parts(request=request):
            return None
        cached = self._cached_prompts.look_up(request=request, candidates=candidates)
        if cached.min_missing_tokens or cached.holder is None:
            return None
        return cached.holder.endpoint

    def _record_cold_and_choice(self, *, choice: Choice, request: HasPrompt) -> Choice:
        """Count a request where it goes, if that is cold, and note its prompt there."""
        self._cold.record_request(entry=choice.entry)
        return self.record_choice(choice=choice, request=request)

    def record_choice(self, *, choice: Choice, request: HasPrompt) -> Choice:
        """Note that a request goes there, before it is sent.

        So those beside it, which share its prompt, go there too.
        """
        if not shared_parts(request=request):
            return choice
        noted = self._caches.record_prompt(
            endpoint=choice.entry.endpoint, request=request
        )
        return replace(choice, new_parts=noted)

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
        """Choose where the least has to be read, among those within the bound.

        Args:
            request: What is to be sent.
            candidates: Where it can go.
            loads: Requests in flight.
            mean_load: The mean of them.
            failure_load: Requests of load that weigh as much as certain failure.
            exact_loads: Whether nobody else sends there what these loads don't count yet.
            cached_at: Endpoint elsewhere that has the shared parts of the prompt.
        """
        many = not exact_loads and self._loads.routers > LARGE_FLEET_ROUTERS
        nearness = self._generator.uniform(MIN_BOUND_FRACTION, 1.0) if many else 1.0
        within = [
            entry
            for entry in candidates
            if loads[entry.endpoint] + 1
            <= load_bound(entry=entry, mean=mean_load, bound_fraction=nearness)
        ]
        if not within:
            return None
        home = preferred_endpoint(request=request, candidates=candidates, sharded=many)
        cached = self._cached_prompts.look_up(
            request=request, candidates=candidates, cached_at=cached_at
        )
        if many:
            within = self._sample(entries=within, cached=cached, preferred=home)
        home_tokens = (
            LARGE_FLEET_AFFINITY_TOKENS if many or exact_loads else AFFINITY_TOKENS
        )

        reading = self._loads.queued_tokens()

        def _cost(entry: EndpointEntry) -> float:
            cost = prompt_cost(
                work=cached.work_at(endpoint=entry.endpoint),
                queued_tokens=reading[entry.endpoint],
                load=loads[entry.endpoint],
                failure_load=failure_load * self._error_rate(entry),
            )
            return cost - home_tokens * (cached.is_uncached and entry is home)

        entry = min(within, key=_cost)
        if cached.missing_tokens[entry.endpoint] > cached.min_missing_tokens:
            bar = _cost(entry) + MAX_DOMAIN_SPREAD_TOKENS
            spreading = [
                each
                for each in within
                if each.failure_domain not in cached.holder_domains
                and _cost(each) <= bar
            ]
            entry = min(spreading, key=_cost, default=entry)
        lacks = cached.missing_tokens[entry.endpoint]
        fetch = lacks - cached.min_missing_tokens >= MIN_FETCH_TOKENS
        return Choice(
            entry=entry,
            reason=ChoiceReason.LEAST_COST if lacks else ChoiceReason.CACHED,
            load=loads[entry.endpoint],
            mean_load=mean_load,
            candidate_count=len(candidates),
            part_tag=part_tag(
                model=request.model, part=shared_parts(request=request)[-1]
            ),
            missing_tokens=lacks,
            work_tokens=round(
                cached.work_at(endpoint=entry.endpoint).equivalent_tokens
            ),
            fetch_from=cached.holder if fetch else None,
        )

    def _sample(
        self,
        *,
        entries: list[EndpointEntry],
        cached: CachedPrompt,
        preferred: EndpointEntry,
    ) -> list[EndpointEntry]:
        """Choose the endpoints to compare: those with a cache, and some others."""
        holding = [
            entry
            for entry in entries
            if (
                entry is preferred
                if cached.is_uncached
                else cached.missing_tokens[entry.endpoint] <= cached.min_missing_tokens
            )
        ]
        others = self._generator.sample(entries, min(SAMPLE_SIZE, len(entries)))
        return holding + [entry for entry in others if entry not in holding]

    def _least_loaded(
        self,
        *,
        candidates: Sequence[EndpointEntry],
        loads: Counter[EndpointId],
        mean_load: float,
        failure_load: float,
        exact_loads: bool = False,
    ) -> Choice:
        compared = candidates
        if not exact_loads and self._loads.routers > LARGE_FLEET_ROUTERS:
            count = min(PROMPTLESS_SAMPLE_SIZE, len(candidates))
            compared = self._generator.sample(candidates, count)
        entry = min(
            compared,
            key=lambda entry: (
                round(loads[entry.endpoint] + failure_load * self._error_rate(entry)),
                entry.failure_domain != self._failure_domain,
                self._generator.random(),
            ),
        )
        return Choice(
            entry=entry,
            reason=ChoiceReason.LEAST_LOADED,
            load=loads[entry.endpoint],
            mean_load=mean_load,
            candidate_count=len(candidates),
        )
