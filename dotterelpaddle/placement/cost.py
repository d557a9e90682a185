"""The load that a request puts on an engine."""

from __future__ import annotations

from dotterelpaddle.placement.bound import MEAN_COST

MEAN_TOKENS = 1536
"""Tokens of prompt and answer of a request that counts as a mean one."""

SLOT_SHARE = 0.5
"""Part of a mean request's cost that goes for its slot in the batch."""

MAX_COST = 4 * MEAN_COST
"""Highest cost, so that one long prompt does not close an engine to all others."""


def request_cost(*, prompt_tokens: int, answer_tokens: int) -> int:
    """Estimate a request's load, in thousandths of a mean request.

    A step of continuous batching takes longer with each request in the batch and
    with each token of context that they hold.
    """
    tokens = prompt_tokens + answer_tokens
    relative = SLOT_SHARE + (1.0 - SLOT_SHARE) * tokens / MEAN_TOKENS
    return min(round(MEAN_COST * relative), MAX_COST)
