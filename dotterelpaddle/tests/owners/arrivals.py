"""What reached endpoints, and whether they held more than users allow."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.ids import EndpointId

BOUND_MULTIPLE, BOUND_ALLOWANCE = 2.0, 3.0
"""Users allow an endpoint this many times the mean of its service, and three more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        arrived_at: Seconds since the fleet's start.
        endpoint: Where.
        over_bound: Whether the endpoint held more than users allow.
        load: What it held.
        mean: Mean load of all endpoints that ran.
        choice: What the router that sent it knew.
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
    """The largest share of requests over the bound in any window of some seconds."""
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
    """Share of the requests that routers placed by themselves."""
    return sum(each.choice.decided_by is None for each in arrivals) / len(arrivals)
