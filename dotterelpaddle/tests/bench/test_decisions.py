"""Ways to decide, compared on the load of 88 routers and 30 engines of 12 slots.

The pattern: 500 requests a second for 900 prompts of 6,000 shared tokens; what
routers hear of each other is 0.2 to 0.6 s old.
"""

from __future__ import annotations

import pytest

from bench.decisions.fleets import SIZES
from bench.decisions.model import Play, Result
from bench.decisions.rivals import Owners, Reports, datagrams, rivals

GROWN = SIZES[1]
SECONDS = 6.0
ALLOWED = 0.03
"""Share of the requests that users let reach endpoints over the bound."""


def _play(rival, *, seed: int = 1) -> Result:
    return Play(size=GROWN, rival=rival, seed=seed).run(seconds=SECONDS)


def test_old_reports_break_the_bound_and_owners_keep_it() -> None:
    reports, owners = _play(Reports()), _play(Owners(reports=Reports()))

    assert reports.over / reports.requests > ALLOWED
    assert owners.over == 0


def test_owners_let_no_prompt_be_read_again_that_another_has() -> None:
    assert _play(Owners(reports=Reports())).reads == 0
    assert _play(Reports()).reads > 0


def test_lost_questions_cost_time_and_not_the_bound() -> None:
    result = _play(Owners(reports=Reports(), lost=0.05))

    assert result.over / result.requests < ALLOWED
    assert 0.003 < result.waited / result.requests < 0.006


def test_same_seed_gives_the_same_play() -> None:
    first, second = (_play(Reports(), seed=4) for _ in range(2))
    assert first == second


@pytest.mark.parametrize("name", list(rivals()))
def test_each_rival_plays(name: str) -> None:
    rival = rivals()[name]
    result = Play(size=GROWN, rival=rival, seed=2).run(seconds=2.5)

    assert result.requests > 100
    assert datagrams(rival=rival, rate=500.0, routers=88, domains=3) >= 0.0
