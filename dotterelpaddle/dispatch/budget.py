"""The retry budget: retries and hedges as a share of a router's requests.

A share of requests, not a count for each request: when every endpoint fails,
retries add that share to the traffic and no more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Args:
        share: Tokens that one request adds.
        burst: Tokens that the bucket holds at most; it starts full.
    """

    def __init__(self, *, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def deposit(self) -> None:
        """Count a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take a token for a retry; False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(*, retry: int, base: float, cap: float, generator: random.Random) -> float:
    """Return how long to wait before a retry, with full jitter.

    Args:
        retry: Number of the retry, from 1.
        base: Mean wait before the first one, seconds.
        cap: Longest wait, seconds.
        generator: Source of the jitter.
    """
    ceiling: float = min(cap, 2 * base * 2 ** (retry - 1))
    return generator.uniform(0.0, ceiling)
