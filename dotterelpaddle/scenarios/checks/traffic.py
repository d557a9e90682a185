"""Looks at calls and their cost."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dotterelpaddle.fleet.metrics_reader import read_counter
from dotterelpaddle.scenarios.checks.seen import Seen, bounded, running_routers
from dotterelpaddle.scenarios.figures import (
    bounds_of,
    describe,
    figure_of,
    numbers_of,
    summary_of,
)

if TYPE_CHECKING:
    from dotterelpaddle.scenarios import conditions as words
    from dotterelpaddle.scenarios.state import State

METRIC_PREFIX = "dotterelpaddle_"

SHOWN_CALLS = 3
"""Kinds of ending that a report of failed calls lists."""


def look_at_result(*, state: State, condition: words.Result) -> Seen:
    """Look at figures of calls."""
    summary = summary_of(state=state, label=condition.of, account=condition.account)
    numbers = numbers_of(summary=summary)
    missed = [
        f"{name} to be {bound}, saw {numbers[name]:g}"
        for name, bound in bounds_of(condition=condition).items()
        if not bound.holds(number=numbers[name])
    ]
    turns = state.work[condition.of].turns
    statuses = {turn.answer.status for turn in turns}
    if condition.statuses and not statuses <= set(condition.statuses):
        missed.append(f"statuses {condition.statuses}, saw {sorted(statuses)}")
    errors = {turn.answer.error for turn in turns}
    if not set(condition.errors) <= errors:
        missed.append(f"errors {condition.errors}, saw {sorted(errors)}")
    if condition.text and not (turns and condition.text in turns[-1].answer.text):
        missed.append(f"'{condition.text}' in the last answer")
    if not missed:
        return Seen(met=True, text=f"{condition.of} is as expected")
    endings = Counter(describe(turn=turn) for turn in turns if not turn.completed)
    shown = "; ".join(
        f"{count} x {text}" for text, count in endings.most_common(SHOWN_CALLS)
    )
    return Seen(
        met=False,
        text=f"{condition.of}: expected {', '.join(missed)}; other ends: {shown}",
    )


def look_at_progress(*, state: State, condition: words.Progress) -> Seen:
    """Look how far a load has got."""
    run = state.work[condition.of].run
    assert run
    numbers = {
        "started": float(run.started),
        "in_flight": float(run.in_flight),
        "ended": float(len(run.turns)),
    }
    bounds = {
        "started": condition.started,
        "in_flight": condition.in_flight,
        "ended": condition.ended,
    }
    return bounded(what=condition.of, numbers=numbers, bounds=bounds)


def look_at_compare(*, state: State, condition: words.Compare) -> Seen:
    """Look at a figure of two loads."""
    one = figure_of(state=state, condition=condition, label=condition.of)
    other = figure_of(state=state, condition=condition, label=condition.to)
    ratio = one / max(other + condition.allowance, 1e-9)
    return Seen(
        met=condition.ratio.holds(number=ratio),
        text=f"expected {condition.figure} of {condition.of} over that of"
        f" {condition.to} to be {condition.ratio}, saw {one:.4g} over {other:.4g},"
        f" ratio {ratio:.3g}",
    )


async def look_at_control(*, state: State, condition: words.Control) -> Seen:
    """Look at the rate of control traffic."""
    rates = await state.marks[condition.since].control.bytes_per_second()
    rounded = {name: round(rate) for name, rate in rates.items()}
    return Seen(
        met=condition.bytes_per_second.holds(number=max(rates.values(), default=0.0)),
        text=f"expected {condition.bytes_per_second} control bytes a second,"
        f" saw {rounded}",
    )


async def look_at_metric(*, state: State, condition: words.Metric) -> Seen:
    """Look at a metric."""
    total = 0.0
    for name in running_routers(state=state, names=condition.routers):
        total += await read_counter(
            operator=state.fleet.operator_of(router=name),
            name=f"{METRIC_PREFIX}{condition.name}",
        )
    return bounded(
        what=condition.name,
        numbers={"value": total},
        bounds={"value": condition.value},
    )
