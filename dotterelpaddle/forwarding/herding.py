"""Bounds that keep routers from overloading one endpoint, each and all together.

Routers act on loads that they reported to each other a moment ago. What one router adds
meanwhile is little; what many routers add that all choose the same endpoint is not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry

LOAD_MULTIPLE = 1.7
"""Multiple of the mean load up to which an endpoint gets requests for its cache.

Endpoints may hold twice the mean and three requests more. The difference is a reserve,
because reported loads are a few tenths of a second old.
"""

LOAD_ALLOWANCE = 2.0
"""Requests allowed on top of the multiple, which matters at low load."""

LARGE_FLEET_ROUTERS = 16
"""Number of routers above which their requests between two reports add up: with 58
routers an endpoint that all consider the best one gets a dozen requests before any
report shows them."""

MIN_BOUND_FRACTION = 0.4
"""Minimum fraction of the way to the bound that each of many routers uses; it draws the
rest at random for each request. So the nearer an endpoint is to its bound, the fewer
routers send it more requests at the same moment."""

SAMPLE_SIZE = 6
"""Number of endpoints that each of many routers compares, besides those that have the
prompt cached. Samples differ between routers, so no endpoint is the best for all."""

PROMPTLESS_SAMPLE_SIZE = 2
"""Sample size for requests without a prompt, the usual number for stale loads."""


def load_bound(
    *, entry: EndpointEntry, mean: float, bound_fraction: float = 1.0
) -> float:
    """Return the load up to which an endpoint gets more requests for its cache.

    A request that waits for a slot gains nothing from a cache.

    Args:
        entry: The endpoint.
        mean: Mean load of its service.
        bound_fraction: Fraction of the way from the mean (0) to the bound (1).
    """
    by_mean = LOAD_MULTIPLE * mean + LOAD_ALLOWANCE
    by_slots = max(entry.slots, mean + LOAD_ALLOWANCE)
    bound = min(by_mean, by_slots)
    return bound - (1.0 - bound_fraction) * (bound - mean - 1)
