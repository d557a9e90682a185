"""Chooses among endpoints by their load, for requests without a cached prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.choice import Choice, ChoiceReason
from dotterelpaddle.forwarding.herding import (
    LARGE_FLEET_ROUTERS,
    PROMPTLESS_SAMPLE_SIZE,
)
from dotterelpaddle.forwarding.kept_connections import lacks_connection
from dotterelpaddle.forwarding.slowdowns import USUAL

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Callable, Sequence

    from dotterelpaddle.forwarding.health import HealthTracker
    from dotterelpaddle.forwarding.kept_connections import KeptConnections
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import EndpointId, FailureDomain

FULL_MARGIN = 0.5
"""How far below its slots a slowed endpoint with a free slot counts at most, so that it
is chosen before endpoints without a free slot, which reject requests."""


class LeastLoaded:
    """Chooses the endpoint with the least load.

    Args:
        loads: Requests in flight per endpoint.
        health: Results of recent requests per endpoint.
        failure_domain: Failure domain of this router.
        generator: Random source for sampling and ties.
    """

    def __init__(
        self,
        *,
        loads: LoadTracker,
        health: HealthTracker,
        failure_domain: FailureDomain,
        generator: random.Random,
    ) -> None:
        self._loads = loads
        self._health = health
        self._failure_domain = failure_domain
        self._generator = generator

    def choose(
        self,
        *,
        candidates: Sequence[EndpointEntry],
        loads: Counter[EndpointId],
        mean_load: float,
        failure_load: float,
        slowdown_of: Callable[[EndpointEntry], float],
        exact_loads: bool = False,
        others_follow: bool = False,
        connections: KeptConnections | None = None,
    ) -> Choice:
        """Choose an endpoint.

        Args:
            candidates: Eligible endpoints.
            loads: Requests in flight per endpoint.
            mean_load: Mean of the requests in flight.
            failure_load: Requests in flight that weigh as much as an error rate of 1.
            slowdown_of: Returns the factor on the usual time of work of an endpoint.
            exact_loads: Whether `loads` already counts what other routers send.
            others_follow: Whether other endpoints are tried if the chosen one is over
                its load bound.
            connections: Idle connections that break ties, None if they don't count.
        """
        compared = candidates
        if not exact_loads and self._loads.router_count > LARGE_FLEET_ROUTERS:
            count = min(PROMPTLESS_SAMPLE_SIZE, len(candidates))
            compared = self._generator.sample(candidates, count)

        def _effective_load(entry: EndpointEntry) -> float:
            error_rate = self._health.error_rate(endpoint=entry.endpoint)
            load = round(loads[entry.endpoint] + failure_load * error_rate)
            slowdown = slowdown_of(entry)
            if slowdown == USUAL:
                return load
            slowed = load + entry.slots * (slowdown - USUAL)
            if others_follow:
                return slowed
            return min(slowed, max(load, entry.slots - FULL_MARGIN))

        entry = min(
            compared,
            key=lambda entry: (
                _effective_load(entry),
                entry.failure_domain != self._failure_domain,
                lacks_connection(entry=entry, connections=connections),
                self._generator.random(),
            ),
        )
        return Choice(
            entry=entry,
            reason=ChoiceReason.LEAST_LOADED,
            load=loads[entry.endpoint],
            mean_load=mean_load,
            candidate_count=len(candidates),
            slowdown=slowdown_of(entry),
        )
