"""Which endpoint a prompt goes to while others wait to have theirs read.

The pattern: most engines are gone or cut off with the prompts that they held, and the
others read these anew, 5,000 tokens each. An engine reads 80 to 160 tokens in a
millisecond, so twenty such prompts wait for most of a second.
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


def _cost(*, lacks: int = 0, queued: float = 0.0, load: int = 20) -> float:
    work = PromptWork(missing_tokens=lacks, fetchable_tokens=0, unique_tokens=500)
    return prompt_cost(work=work, queued_tokens=queued, load=load, failure_load=0.0)


def test_cached_prompt_leaves_an_engine_that_reads_many_others() -> None:
    assert _cost(lacks=PROMPT) < _cost(queued=QUEUE)


def test_prompt_that_is_to_be_read_goes_where_fewer_wait() -> None:
    assert _cost(lacks=PROMPT, queued=QUEUE / 4) < _cost(lacks=PROMPT, queued=QUEUE)


@pytest.mark.parametrize("queued", [0.0, PROMPT, MAX_FREE_QUEUE_TOKENS])
def test_queue_that_nobody_feels_moves_no_prompt(queued: float) -> None:
    assert _cost(queued=queued) == _cost()


def test_load_and_failures_weigh_the_same_with_and_without_a_queue() -> None:
    more = _cost(queued=QUEUE, load=21) - _cost(queued=QUEUE)

    assert more == REQUEST_LOAD_TOKENS


def test_token_that_another_endpoint_has_is_fetched_for_less() -> None:
    read = PromptWork(missing_tokens=PROMPT, fetchable_tokens=0, unique_tokens=0)
    fetched = PromptWork(
        missing_tokens=PROMPT, fetchable_tokens=PROMPT, unique_tokens=0
    )

    assert fetched.equivalent_tokens == pytest.approx(
        FETCH_COST_RATIO * read.equivalent_tokens
    )
