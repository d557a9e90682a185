"""The cost of sending a prompt to an endpoint, in prompt tokens.

Every cost is a duration; one token is the time in which an engine reads one token.
"""

from __future__ import annotations

from dataclasses import dataclass

REQUEST_LOAD_TOKENS = 100
"""Cost of one more request in flight, in prompt tokens.

Reading 100 tokens takes 1.2 ms. One more request slows each step of all other requests
by 0.08 ms, over a few hundred steps.
"""

FETCH_COST_RATIO = 0.16
"""Cost of fetching a token from another endpoint's cache, relative to reading it. At
35 GB/s an endpoint fetches a prompt of 10,000 tokens in 5 ms and reads it in
120 ms."""

MAX_FREE_QUEUE_TOKENS = 16_000
"""Queued tokens at an endpoint that add nothing to the cost of a prompt. Reading them
takes 0.1 to 0.2 s, which leaves a stream most of its latency objective. Avoiding
shorter queues as well moves the caches of twice as many prompts and serves no request
sooner."""

NON_RETRYABLE_FAILURE_LOAD = 10.0
"""Requests in flight that weigh as much as an error rate of 1, for a request that the
router can't retry: an error rate of 0.2 weighs as much as two requests."""

RETRYABLE_FAILURE_LOAD = 3.0
"""NON_RETRYABLE_FAILURE_LOAD for a retryable request; a retry only costs time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptWork:
    """The work of an endpoint before it can answer a prompt.

    Attributes:
        missing_tokens: Shared tokens that the endpoint has not cached.
        fetchable_tokens: Missing tokens that another endpoint has cached.
        unique_tokens: Tokens that no other prompt shares.
    """

    missing_tokens: int
    fetchable_tokens: int
    unique_tokens: int

    @property
    def equivalent_tokens(self) -> float:
        """The duration of the work, in tokens that an engine reads in that time."""
        return (
            self.missing_tokens
            - self.fetchable_tokens
            + FETCH_COST_RATIO * self.fetchable_tokens
            + self.unique_tokens
        )


def prompt_cost(
    *,
    work: PromptWork,
    queued_tokens: float,
    load: int,
    failure_load: float,
    slowdown: float = 1.0,
) -> float:
    """Return the cost of sending a prompt to an endpoint.

    The load alone doesn't determine how long a prompt waits. Behind twenty requests
    with cached prompts it starts within one step; behind five requests that read 6,000
    tokens each it waits for 0.2 s or more. The queue matters after endpoints that had
    cached many prompts failed or became unreachable and the others read these anew.

    Args:
        work: Work of the endpoint for this prompt.
        queued_tokens: Tokens that the endpoint reads for other requests first.
        load: Requests in flight at the endpoint.
        failure_load: Requests in flight that weigh as much as its error rate.
        slowdown: Factor on the usual time of work on the endpoint's host.
    """
    queue_cost = max(0.0, queued_tokens - MAX_FREE_QUEUE_TOKENS)
    usual_cost = (
        work.equivalent_tokens
        + queue_cost
        + REQUEST_LOAD_TOKENS * (load + failure_load)
    )
    return slowdown * usual_cost
