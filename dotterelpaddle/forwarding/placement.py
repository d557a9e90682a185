"""Chooses the endpoint of a request: where its prompt is cached, load permitting."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.forwarding.caches import part_tag, shared_parts, shared_tokens
from dotterelpaddle.forwarding.cost import PromptWork, prompt_cost
from dotterelpaddle.forwarding.herding import (
    LEAST_NEARNESS,
    MANY_ROUTERS,
    SAMPLED,
    SAMPLED_PLAIN,
    load_bound,
)
from dotterelpaddle.placement.rendezvous import digest

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Mapping, Sequence

    from dotterelpaddle.forwarding.caches import CacheMap, PartTag
    from dotterelpaddle.forwarding.health import HealthBook
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.forwarding.loads import LoadBook
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, ServiceName

LEAST_FETCH = 256
"""Shared prompt tokens below which a fetch, which takes 5 ms to set up, does not
beat reading them."""

SPREAD_TOKENS = 100
"""Prompt tokens, one request of load, that a fetch into a failure domain without the
prompt may cost more than one into another: the loss of a domain then costs less."""

HOME_TOKENS = 150
"""Prompt tokens by which the home of a part that nobody has is favoured, so that
routers that see it at the same moment send it to the same endpoint."""

MANY_HOME_TOKENS = 1000
"""Instead of HOME_TOKENS with many routers, which hear of a prompt that was read
half a second later than few do."""

UNREPEATABLE_RISK = 10.0
"""Requests of load that weigh as much as certain failure, for a request that can't
be repeated: a share of failures of a fifth weighs two requests."""

REPEATABLE_RISK = 3.0
"""The same for a request that can be repeated at the cost of time."""

NO_ENDPOINT_WAIT = 0.3
"""Seconds after which a caller may come back when no endpoint is known.

A starting endpoint registers within a second or two, others take over at once.
"""


class ChoiceReason(Enum):
    """Why an endpoint was chosen."""

    CACHED = "cached"
    LEAST_COST = "least_cost"
    LEAST_LOADED = "least_loaded"


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An endpoint chosen for a request, with the reasons.

    Attributes:
        entry: The endpoint.
        reason: Why it was chosen.
        load: Its requests in flight, this one excluded.
        mean_load: The mean over the candidates.
        candidates: Endpoints that it was chosen from.
        part: Tag of the deepest shared part of the prompt, 0 without one.
        missing: Shared prompt tokens that it does not have.
        work: Time that it takes until it can answer, in tokens read.
        fetch_from: Endpoint from whose cache it may fetch them, None if none
            has more of them.
        noted: Parts that it was not known to have before this choice.
    """

    entry: EndpointEntry
    reason: ChoiceReason
    load: int
    mean_load: float
    candidates: int
    part: int = 0
    missing: int = 0
    work: int = 0
    fetch_from: EndpointEntry | None = None
    noted: tuple[PartTag, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Cached:
    """Where how much of one prompt is cached.

    Attributes:
        missing: Shared tokens that an endpoint lacks.
        holder: The endpoint that lacks the least, None if none can be reached.
        least: The tokens that it lacks.
        own: Tokens of the prompt that no other one shares.
        unknown: Whether nobody has any of the shared ones.
        domains: Failure domains of the candidates that lack no more than it.
    """

    missing: Mapping[EndpointId, int]
    holder: EndpointEntry | None
    least: int
    own: int
    unknown: bool
    domains: frozenset[FailureDomain]

    def work(self, *, endpoint: EndpointId) -> PromptWork:
        """What an endpoint has to do for the prompt."""
        lacks = self.missing[endpoint]
        elsewhere = max(0, lacks - self.least)
        return PromptWork(lacks=lacks, elsewhere=elsewhere, own=self.own)


class ForwardPlacer:
    """Chooses endpoints.

    Args:
        view: The endpoints in force.
        loads: Requests in flight.
        health: Results of requests.
        reachability: Where no connection can be made.
        caches: Where parts of prompts are.
        failure_domain: Where this router is.
        generator: Breaks ties.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        loads: LoadBook,
        health: HealthBook,
        reachability: Reachability,
        caches: CacheMap,
        failure_domain: FailureDomain,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._loads = loads
        self._health = health
        self._reachability = reachability
        self._caches = caches
        self._failure_domain = failure_domain
        self._generator = generator

    def choose(
        self,
        *,
        service: ServiceName,
        request: ForwardRequest,
        repeatable: bool,
        excluded: frozenset[EndpointId],
    ) -> Choice:
        """Choose an endpoint of a service.

        Args:
            service: The service.
            request: What is to be sent.
            repeatable: Whether a failure there could be made good elsewhere.
            excluded: Endpoints that were tried already.

        Raises:
            NoEndpoint: If there is none that takes work.
        """
        candidates = self._candidates(
            service=service, request=request, excluded=excluded
        )
        loads = self._loads.loads()
        risk = REPEATABLE_RISK if repeatable else UNREPEATABLE_RISK
        mean = sum(loads[entry.endpoint] for entry in candidates) / len(candidates)
        if not shared_parts(request=request):
            return self._least_loaded(
                candidates=candidates, loads=loads, mean=mean, risk=risk
            )
        choice = self._least_cost(
            request=request, candidates=candidates, loads=loads, mean=mean, risk=risk
        )
        # Noted before the request is sent, so that those beside it go there too.
        noted = self._caches.note(endpoint=choice.entry.endpoint, request=request)
        return replace(choice, noted=noted)

    def _share(self, entry: EndpointEntry) -> float:
        return self._health.error_share(endpoint=entry.endpoint)

    def _candidates(
        self,
        *,
        service: ServiceName,
        request: ForwardRequest,
        excluded: frozenset[EndpointId],
    ) -> Sequence[EndpointEntry]:
        entries = [
            entry
            for entry in self._view.ready(service=service)
            if _serves(entry=entry, request=request)
            and not self._health.is_gone(endpoint=entry.endpoint)
        ]
        fresh = [entry for entry in entries if entry.endpoint not in excluded]
        reachable = self._reachability.reachable(entries=fresh)
        usable = self._health.usable(entries=reachable)
        if usable:
            return usable
        # All have failed of late: any of them is better than a refusal.
        last = [
            entry
            for entry in self._view.last_resort(service=service)
            if entry.endpoint not in excluded and _serves(entry=entry, request=request)
        ]
        for entries_left in (reachable, fresh, last):
            remaining = self._reachability.perhaps_reachable(entries=entries_left)
            if remaining:
                return remaining
        raise NoEndpoint(
            f"service '{service}' has no endpoint that takes this request, "
            f"{len(fresh)} of its endpoints are out of reach",
            retry_after=NO_ENDPOINT_WAIT,
        )

    def _least_cost(
        self,
        *,
        request: ForwardRequest,
        candidates: Sequence[EndpointEntry],
        loads: Counter[EndpointId],
        mean: float,
        risk: float,
    ) -> Choice:
        """Choose where the least has to be read, among those within the bound."""
        many = self._loads.routers > MANY_ROUTERS
        nearness = self._generator.uniform(LEAST_NEARNESS, 1.0) if many else 1.0
        within = [
            entry
            for entry in candidates
            if loads[entry.endpoint] + 1
            <= load_bound(entry=entry, mean=mean, nearness=nearness)
        ]
        if not within:
            return self._least_loaded(
                candidates=candidates, loads=loads, mean=mean, risk=risk
            )
        home = _home(request=request, candidates=candidates)
        cached = self._cached(request=request, candidates=candidates)
        if many:
            within = self._sampled(entries=within, cached=cached, home=home)
        home_tokens = MANY_HOME_TOKENS if many else HOME_TOKENS

        reading = self._loads.reading()

        def _cost(entry: EndpointEntry) -> float:
            cost = prompt_cost(
                work=cached.work(endpoint=entry.endpoint),
                queued=reading[entry.endpoint],
                load=loads[entry.endpoint],
                expected_failures=risk * self._share(entry),
            )
            return cost - home_tokens * (cached.unknown and entry is home)

        entry = min(within, key=_cost)
        if cached.missing[entry.endpoint] > cached.least:
            bar = _cost(entry) + SPREAD_TOKENS
            spreading = [
                each
                for each in within
                if each.failure_domain not in cached.domains and _cost(each) <= bar
            ]
            entry = min(spreading, key=_cost, default=entry)
        lacks = cached.missing[entry.endpoint]
        fetch = lacks - cached.least >= LEAST_FETCH
        return Choice(
            entry=entry,
            reason=ChoiceReason.LEAST_COST if lacks else ChoiceReason.CACHED,
            load=loads[entry.endpoint],
            mean_load=mean,
            candidates=len(candidates),
            part=part_tag(model=request.model, part=shared_parts(request=request)[-1]),
            missing=lacks,
            work=round(cached.work(endpoint=entry.endpoint).tokens),
            fetch_from=cached.holder if fetch else None,
        )

    def _sampled(
        self, *, entries: list[EndpointEntry], cached: _Cached, home: EndpointEntry
    ) -> list[EndpointEntry]:
        """Choose the endpoints to compare: those with a cache, and some others."""
        holding = [
            entry
            for entry in entries
            if (
                entry is home
                if cached.unknown
                else cached.missing[entry.endpoint] <= cached.least
            )
        ]
        others = self._generator.sample(entries, min(SAMPLED, len(entries)))
        return holding + [entry for entry in others if entry not in holding]

    def _cached(
        self, *, request: ForwardRequest, candidates: Sequence[EndpointEntry]
    ) -> _Cached:
        """Find out where how much of a prompt is cached.

        Endpoints that are leaving count too, also those whose entries have just
        gone: they hand out what they have.
        """
        service = candidates[0].service
        holders = [entry for entry in self._view.entries if entry.service == service]
        holders += [
            entry
            for entry in self._view.last_resort(service=service)
            if self._health.is_sound(endpoint=entry.endpoint)
        ]
        holders = self._reachability.reachable(entries=holders)
        total = shared_tokens(request=request)
        cached = self._caches.cached(request=request)
        missing = {
            entry.endpoint: total - cached.get(entry.endpoint, 0)
            for entry in (*holders, *candidates)
        }
        holder = min(holders, key=lambda entry: missing[entry.endpoint], default=None)
        least = total if holder is None else missing[holder.endpoint]
        return _Cached(
            missing=missing,
            holder=holder,
            least=least,
            own=request.prompt[-1].tokens,
            unknown=least == total,
            domains=frozenset(
                entry.failure_domain
                for entry in candidates
                if missing[entry.endpoint] <= least
            ),
        )

    def _least_loaded(
        self,
        *,
        candidates: Sequence[EndpointEntry],
        loads: Counter[EndpointId],
        mean: float,
        risk: float,
    ) -> Choice:
        compared = candidates
        if self._loads.routers > MANY_ROUTERS:
            count = min(SAMPLED_PLAIN, len(candidates))
            compared = self._generator.sample(candidates, count)
        entry = min(
            compared,
            key=lambda entry: (
                round(loads[entry.endpoint] + risk * self._share(entry)),
                entry.failure_domain != self._failure_domain,
                self._generator.random(),
            ),
        )
        return Choice(
            entry=entry,
            reason=ChoiceReason.LEAST_LOADED,
            load=loads[entry.endpoint],
            mean_load=mean,
            candidates=len(candidates),
        )


def _home(
    *, request: ForwardRequest, candidates: Sequence[EndpointEntry]
) -> EndpointEntry:
    """The endpoint that all routers prefer for a request's deepest shared part."""
    part = shared_parts(request=request)[-1]
    key = part_tag(model=request.model, part=part)
    return max(candidates, key=lambda entry: digest(text=f"{key}/{entry.endpoint}"))


def _serves(*, entry: EndpointEntry, request: ForwardRequest) -> bool:
    return not request.model or not entry.models or request.model in entry.models
