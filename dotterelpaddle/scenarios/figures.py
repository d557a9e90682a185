"""Figures of finished calls and loads, for conditions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.fleet.measures import Skew, quantile
from dotterelpaddle.fleet.summary import NO_SKEW, sum_up

if TYPE_CHECKING:
    from dotterelpaddle.fleet.summary import Summary
    from dotterelpaddle.fleet.turns import Turn
    from dotterelpaddle.scenarios.conditions import Compare, Result
    from dotterelpaddle.scenarios.state import State, Work
    from dotterelpaddle.scenarios.words import Bound


def summary_of(*, state: State, label: str, account: str = "") -> Summary:
    """Sum up calls or a load, perhaps of one client account alone."""
    work = state.work[label]
    turns = [turn for turn in work.turns if account in ("", turn.account)]
    return sum_up(
        turns=turns, standins=state.fleet.standins, skew=_skew(work=work), seconds=0.0
    )


def numbers_of(*, summary: Summary) -> dict[str, float]:
    """Return the figures that conditions bound, by the names of their fields."""
    return {
        "requests": summary.requests,
        "completed": summary.completed,
        "not_run": summary.not_run,
        "unknown": summary.unknown,
        "damaged": summary.damaged,
        "doubled": summary.doubled,
        "false_not_run": summary.false_not_run,
        "retried": summary.retried,
        "reuse": summary.reuse,
        "skew_p99": summary.skew.p99,
        "p99": summary.latency.p99,
        "longest": summary.latency.longest,
    }


def bounds_of(*, condition: Result) -> dict[str, Bound]:
    """Return the bounds that a condition sets, by the names of their fields."""
    bounds = {
        "requests": condition.requests,
        "completed": condition.completed,
        "not_run": condition.not_run,
        "unknown": condition.unknown,
        "damaged": condition.damaged,
        "doubled": condition.doubled,
        "false_not_run": condition.false_not_run,
        "retried": condition.retried,
        "reuse": condition.reuse,
        "skew_p99": condition.skew_p99,
        "p99": condition.p99,
        "longest": condition.longest,
    }
    return {name: bound for name, bound in bounds.items() if bound.bounded}


def figure_of(*, state: State, condition: Compare, label: str) -> float:
    """Return one figure of a load, some client accounts left out."""
    work = state.work[label]
    match condition.figure:
        case "skew_p99":
            return _skew(work=work).p99
        case "reuse":
            return summary_of(state=state, label=label).reuse
        case "p50":
            return _latency(work=work, without=condition.without, share=0.5)
        case "p99":
            return _latency(work=work, without=condition.without, share=0.99)


def describe(*, turn: Turn) -> str:
    """Describe how one call ended, for reports."""
    answer = turn.answer
    told = turn.outcome.value
    why = f", {answer.error} at {answer.step} {answer.peer}" if answer.error else ""
    return f"{turn.kind.value} {told} {answer.status} {turn.wholeness.value}{why}"


def _latency(*, work: Work, without: tuple[str, ...], share: float) -> float:
    ordered = sorted(
        turn.answer.latency
        for turn in work.turns
        if turn.completed and turn.account not in without
    )
    return quantile(ordered=ordered, share=share)


def _skew(*, work: Work) -> Skew:
    return work.skew.result() if work.skew else NO_SKEW
