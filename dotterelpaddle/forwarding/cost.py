"""What it costs to send a prompt to an endpoint, in prompt tokens that are read.

All costs are times; a token is the time that an engine takes to read it.
"""

from __future__ import annotations

from dataclasses import dataclass

REQUEST_LOAD_TOKENS = 100
"""Prompt tokens that are read again rather than add one request to a load.

Reading 100 tokens takes 1.2 ms; one request more slows each step of all others
by 0.08 ms, over some hundred steps.
"""

FETCH_COST_RATIO = 0.16
"""Cost of a token that is fetched from another endpoint's cache, relative to one
that is read: at 35 GB/s a prompt of 10,000 tokens takes 5 ms to fetch and
120 ms to read."""

MAX_FREE_QUEUE_TOKENS = 16_000
"""Tokens that may wait to be read at an endpoint before a prompt is sent elsewhere for
it: 0.1 to 0.2 s of reading, which leaves a stream most of its latency objective. To go
round each queue moves the caches of twice as many prompts and serves nobody sooner."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptWork:
    """What an endpoint has to do before it can answer a prompt.

    Attributes:
        missing_tokens: Shared tokens that it does not have.
        fetchable_tokens: Those of them that another endpoint has.
        unique_tokens: Tokens that no other prompt shares.
    """

    missing_tokens: int
    fetchable_tokens: int
    unique_tokens: int

    @property
    def equivalent_tokens(self) -> float:
        """The time for it, in tokens read."""
        return (
            self.missing_tokens
            - self.fetchable_tokens
            + FETCH_COST_RATIO * self.fetchable_tokens
            + self.unique_tokens
        )


def prompt_cost(
    *, work: PromptWork, queued_tokens: float, load: int, failure_load: float
) -> float:
    """Return the cost of sending a prompt to an endpoint.

    Load alone does not tell how long a prompt waits: twenty requests whose prompts are
    cached let it begin within a step, five that read 6,000 tokens each let it wait for
    0.2 s and more. That binds when endpoints that held many prompts are gone or cut
    off, and the others read them anew.

    Args:
        work: What the endpoint has to do for it.
        queued_tokens: Tokens that it has to read for others first.
        load: Requests that are in flight there.
        failure_load: Requests of load that weigh as much as the failures there.
    """
    waits = max(0.0, queued_tokens - MAX_FREE_QUEUE_TOKENS)
    return work.equivalent_tokens + waits + REQUEST_LOAD_TOKENS * (load + failure_load)
