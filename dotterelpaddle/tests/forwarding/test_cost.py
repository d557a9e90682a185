"""The cost of a prompt at an endpoint with queued prompts.

Guards against long queues after most engines failed or were cut off: the remaining
engines read the lost prompts anew, 5,000 tokens each. An engine reads 80 to 160 tokens
per millisecond, so twenty such prompts wait for most of a second.
"""

from __future__ import annotations

import pytest

from dotterelpaddle.forwarding.cost import (
    FETCH_COST_RATIO,
    MAX_FREE_QUEUE_TOKENS,
    REQUEST_LOAD_TOKENS,
    PromptWork,
    prompt_cost,
)

PROMPT = 5000
QUEUE = 20 * PROMPT


def _cost(*, missing: int = 0, queued: float = 0.0, load: int = 20) -> float:
    work = PromptWork(missing_tokens=missing, fetchable_tokens=0, unique_tokens=500)
    return prompt_cost(work=work, queued_tokens=queued, load=load, failure_load=0.0)


def test_cached_prompt_avoids_an_engine_with_a_long_queue() -> None:
    assert _cost(missing=PROMPT) < _cost(queued=QUEUE)


def test_uncached_prompt_goes_to_the_shorter_queue() -> None:
    assert _cost(missing=PROMPT, queued=QUEUE / 4) < _cost(missing=PROMPT, queued=QUEUE)


@pytest.mark.parametrize("queued", [0.0, PROMPT, MAX_FREE_QUEUE_TOKENS])
def test_short_queue_adds_no_cost(queued: float) -> None:
    assert _cost(queued=queued) == _cost()


def test_queue_does_not_change_the_cost_of_load() -> None:
    more = _cost(queued=QUEUE, load=21) - _cost(queued=QUEUE)

    assert more == REQUEST_LOAD_TOKENS


def test_fetched_token_costs_less_than_a_read_token() -> None:
    read = PromptWork(missing_tokens=PROMPT, fetchable_tokens=0, unique_tokens=0)
    fetched = PromptWork(
        missing_tokens=PROMPT, fetchable_tokens=PROMPT, unique_tokens=0
    )

    assert fetched.equivalent_tokens == pytest.approx(
        FETCH_COST_RATIO * read.equivalent_tokens
    )
