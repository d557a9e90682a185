"""Chooses the endpoint of a request: where its prompt is cached, load permitting."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.placement.rendezvous import Rendezvous, digest

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.health import HealthBook
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.forwarding.loads import LoadBook
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, ServiceName

LOAD_MULTIPLE = 1.4
"""Times the mean load up to which an endpoint is given requests for its cache.

Endpoints may hold twice the mean and three requests more; news of the load is
a few tenths of a second old, which the difference is left for.
"""

LOAD_ALLOWANCE = 1.5
"""Requests over the multiple that are allowed, which matters near no load."""

NO_ENDPOINT_WAIT = 0.3
"""Seconds after which a caller may come back when no endpoint is known.

A starting endpoint registers within a second or two, others take over at once.
"""


class ChoiceReason(Enum):
    """Why an endpoint was chosen."""

    HOME = "home"
    NEXT_IN_RANK = "next_in_rank"
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
        rank: Its place in the order of the request's key.
    """

    entry: EndpointEntry
    reason: ChoiceReason
    load: int
    mean_load: float
    candidates: int
    rank: int = 0


class ForwardPlacer:
    """Chooses endpoints.

    Args:
        view: The endpoints in force.
        loads: Requests in flight.
        health: Results of requests.
        failure_domain: Where this router is.
        generator: Breaks ties.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        loads: LoadBook,
        health: HealthBook,
        failure_domain: FailureDomain,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._loads = loads
        self._health = health
        self._failure_domain = failure_domain
        self._generator = generator
        self._ranks: dict[frozenset[EndpointId], Rendezvous[EndpointEntry]] = {}
        view.on_change(handler=self._ranks.clear)

    def choose(
        self,
        *,
        service: ServiceName,
        request: ForwardRequest,
        excluded: frozenset[EndpointId],
    ) -> Choice:
        """Choose an endpoint of a service.

        Raises:
            NoEndpoint: If there is none that takes work.
        """
        candidates = self._candidates(
            service=service, request=request, excluded=excluded
        )
        loads = self._loads.loads()
        mean = sum(loads[entry.endpoint] for entry in candidates) / len(candidates)
        key = affinity_key(request=request)
        if key is None:
            return self._least_loaded(candidates=candidates, loads=loads, mean=mean)
        return self._by_rank(key=key, candidates=candidates, loads=loads, mean=mean)

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
        ]
        fresh = [entry for entry in entries if entry.endpoint not in excluded]
        usable = self._health.usable(entries=fresh)
        if usable:
            return usable
        # All have failed of late: any of them is better than a refusal.
        last = [
            entry
            for entry in self._view.last_resort(service=service)
            if entry.endpoint not in excluded and _serves(entry=entry, request=request)
        ]
        if fresh or last:
            return fresh or last
        raise NoEndpoint(
            f"service '{service}' has no endpoint that takes this request",
            retry_after=NO_ENDPOINT_WAIT,
        )

    def _by_rank(
        self,
        *,
        key: int,
        candidates: Sequence[EndpointEntry],
        loads: Counter[EndpointId],
        mean: float,
    ) -> Choice:
        bound = LOAD_MULTIPLE * mean + LOAD_ALLOWANCE
        for rank, entry in enumerate(self._ranked(candidates, key)):
            load = loads[entry.endpoint]
            if load + 1 <= bound:
                return Choice(
                    entry=entry,
                    reason=ChoiceReason.NEXT_IN_RANK if rank else ChoiceReason.HOME,
                    load=load,
                    mean_load=mean,
                    candidates=len(candidates),
                    rank=rank,
                )
        return self._least_loaded(candidates=candidates, loads=loads, mean=mean)

    def _least_loaded(
        self,
        *,
        candidates: Sequence[EndpointEntry],
        loads: Counter[EndpointId],
        mean: float,
    ) -> Choice:
        entry = min(
            candidates,
            key=lambda entry: (
                loads[entry.endpoint] / max(1, entry.slots),
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

    def _ranked(
        self, candidates: Sequence[EndpointEntry], key: int
    ) -> Sequence[EndpointEntry]:
        names = frozenset(entry.endpoint for entry in candidates)
        rendezvous = self._ranks.get(names)
        if rendezvous is None:
            rendezvous = Rendezvous(
                nodes=candidates,
                name=lambda entry: entry.endpoint,
                weight=lambda entry: float(entry.slots),
            )
            self._ranks[names] = rendezvous
        return tuple(rendezvous.ranked(key=key))


def affinity_key(*, request: ForwardRequest) -> int | None:
    """Digest of the deepest prompt part that other requests share.

    The last part is the request's own, so the one before it is what an engine
    can have cached; None without such parts.
    """
    if not request.prompt:
        return None
    shared = request.prompt[-2] if len(request.prompt) > 1 else request.prompt[0]
    return digest(text=f"{request.model}/{shared.part}")


def _serves(*, entry: EndpointEntry, request: ForwardRequest) -> bool:
    return not request.model or not entry.models or request.model in entry.models
