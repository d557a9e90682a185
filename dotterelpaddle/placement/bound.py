"""The bound on an endpoint's load.

Load is the cost in flight: requests weighted by their estimated tokens, in
thousandths of a mean request. Counting requests alone would call an engine with
ten long prompts as loaded as one with ten short ones, while its batch takes many
times longer; tokens alone would let a thousand tiny requests through, each of
which takes a slot of the batch. The cost has a part for each.

A decider keeps each endpoint's load within a multiple of the mean. While the mean
is small up to two requests more are let in, because a bound of 1.25 requests
would keep chats from their cache for nothing, as would the word of an ended
request that is still on its way; the allowance shrinks to none as the mean grows.
An endpoint without load may always take one request.
"""

from __future__ import annotations

from dataclasses import dataclass

MEAN_COST = 1000
"""Cost of a mean request."""

ALLOWANCE = 2 * MEAN_COST
"""What an endpoint may carry over the multiple while the mean is near zero."""

SMALL_LOAD = 8 * MEAN_COST
"""Mean load from which on nothing more than the multiple is allowed."""

KEPT_SHARE = 0.25
"""Part of the capacity that is kept from accounts far over their share."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Bound:
    """How much load endpoints may carry at the moment.

    Attributes:
        mean: Mean load for a weight of 1, the new request included.
        multiple: Multiple of the mean that an endpoint may carry.
        capacity: Load that an endpoint of weight 1 may carry at all.
        surging: Whether it is for an account far over its share.
    """

    mean: float
    multiple: float
    capacity: int
    surging: bool = False

    def limit(self, *, weight: float, ramp: float = 1.0) -> int:
        """Highest load of an endpoint."""
        scale = weight * ramp
        relative = self.multiple * self.mean * scale
        allowance = ALLOWANCE * max(1.0 - self.mean * scale / SMALL_LOAD, 0.0)
        limit = int(relative + allowance)
        return min(limit, self.capacity_of(weight=weight))

    def capacity_of(self, *, weight: float) -> int:
        """Load that an endpoint may carry whatever the mean is."""
        part = 1.0 - KEPT_SHARE if self.surging else 1.0
        return max(int(self.capacity * weight * part), MEAN_COST)
