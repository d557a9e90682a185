"""Records requests that reach endpoints, and whether the load exceeds the bound."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.ids import EndpointId

BOUND_MULTIPLE, BOUND_ALLOWANCE = 2.0, 3.0
"""Users allow an endpoint twice the mean load of its service plus three requests."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        arrived_at: Seconds since the fleet's start.
        endpoint: The endpoint.
        over_bound: Whether the endpoint's load exceeded the bound.
        load: Requests in flight at the endpoint.
        mean: Mean load of all running endpoints.
        choice: The choice of the router that sent it.
    """

    arrived_at: float
    endpoint: EndpointId
    over_bound: bool
    load: int
    mean: float
    choice: Choice


def worst_over_bound_share(
    *, arrivals: Sequence[Arrival], since: float, window: float = 5.0
) -> float:
    """Return the largest share of requests over the bound in any window of seconds."""
    counted = [each for each in arrivals if each.arrived_at >= since]
    worst, first, over = 0.0, 0, 0
    for last, arrival in enumerate(counted):
        over += arrival.over_bound
        while counted[first].arrived_at < arrival.arrived_at - window:
            over -= counted[first].over_bound
            first += 1
        if arrival.arrived_at - since >= window:
            worst = max(worst, over / (last - first + 1))
    return worst


def local_decision_share(*, arrivals: Sequence[Arrival]) -> float:
    """Return the share of requests that routers placed without an owner."""
    return sum(each.choice.decided_by is None for each in arrivals) / len(arrivals)
