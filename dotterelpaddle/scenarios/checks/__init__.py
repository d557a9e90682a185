"""Looks whether conditions hold and tells what was seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore

from dotterelpaddle.exceptions import DotterelpaddleError
from dotterelpaddle.scenarios import conditions as words
from dotterelpaddle.scenarios.checks.fleet import (
    look_at_engine,
    look_at_holder,
    look_at_idle,
    look_at_members,
    look_at_ready,
    look_at_runs,
)
from dotterelpaddle.scenarios.checks.records import (
    look_at_in_force,
    look_at_record,
    look_at_status,
    look_at_writes,
)
from dotterelpaddle.scenarios.checks.seen import Seen
from dotterelpaddle.scenarios.checks.traffic import (
    look_at_compare,
    look_at_control,
    look_at_metric,
    look_at_progress,
    look_at_result,
)

if TYPE_CHECKING:
    from dotterelpaddle.scenarios.state import State
    from dotterelpaddle.scenarios.words import Word

__all__ = ["Seen", "look"]


async def look(*, state: State, condition: Word) -> Seen:
    """Look whether a condition holds now."""
    try:
        return await _look(state=state, condition=condition)
    except (DotterelpaddleError, httpcore.NetworkError) as error:
        name = type(condition).__name__
        return Seen(met=False, text=f"{name}: could not be looked at: {error}")


async def _look(*, state: State, condition: Word) -> Seen:
    match condition:
        case words.Ready():
            return await look_at_ready(state=state, condition=condition)
        case words.InForce():
            return await look_at_in_force(state=state, condition=condition)
        case words.Members():
            return await look_at_members(state=state, condition=condition)
        case words.Result():
            return look_at_result(state=state, condition=condition)
        case words.Progress():
            return look_at_progress(state=state, condition=condition)
        case words.Compare():
            return look_at_compare(state=state, condition=condition)
        case words.Runs():
            return look_at_runs(state=state, condition=condition)
        case words.Idle():
            return look_at_idle(state=state, condition=condition)
        case words.Engine():
            return look_at_engine(state=state, condition=condition)
        case words.Holder():
            return look_at_holder(state=state, condition=condition)
        case words.Control():
            return await look_at_control(state=state, condition=condition)
        case words.Metric():
            return await look_at_metric(state=state, condition=condition)
        case words.Status():
            return await look_at_status(state=state, condition=condition)
        case words.Record():
            return await look_at_record(state=state, condition=condition)
        case words.Writes():
            return look_at_writes(state=state, condition=condition)
        case _:
            raise AssertionError(f"no look for {type(condition).__name__}")
