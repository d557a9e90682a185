"""Keeps routers from sending too much to one endpoint, each and all together.

Routers act on what they told each other a moment ago. What one of them adds meanwhile
is little; what many add that all hold the same endpoint for the best one is not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry

LOAD_MULTIPLE = 1.7
"""Times the mean load up to which an endpoint is given requests for its cache.

Endpoints may hold twice the mean and three requests more; news of the load is
a few tenths of a second old, which the difference is left for.
"""

LOAD_ALLOWANCE = 2.0
"""Requests over the multiple that are allowed, which matters near no load."""

LARGE_FLEET_ROUTERS = 16
"""Routers above which what they do between two reports adds up: with 58 of them an
endpoint that all hold for the best one gets a dozen requests before any of them
knows of it."""

MIN_BOUND_FRACTION = 0.4
"""How near to the bound each of many routers goes at least; the rest of the way it
draws for each request. The nearer an endpoint is to its bound, the fewer of them send
it more at the same moment."""

SAMPLE_SIZE = 6
"""Endpoints that each of many routers compares, beside those with the prompt in their
cache; others compare others, so that no endpoint is the best one for all."""

PROMPTLESS_SAMPLE_SIZE = 2
"""The same for requests without a prompt, the usual number where loads are old."""


def load_bound(
    *, entry: EndpointEntry, mean: float, bound_fraction: float = 1.0
) -> float:
    """Requests up to which an endpoint is given more for its cache.

    A request that waits for a slot gains nothing from a cache.

    Args:
        entry: The endpoint.
        mean: Mean load of its service.
        bound_fraction: How near to the bound to go, from the mean at 0 on.
    """
    by_mean = LOAD_MULTIPLE * mean + LOAD_ALLOWANCE
    by_slots = max(entry.slots, mean + LOAD_ALLOWANCE)
    bound = min(by_mean, by_slots)
    return bound - (1.0 - bound_fraction) * (bound - mean - 1)
