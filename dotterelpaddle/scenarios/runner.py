"""Runs scenarios."""

from __future__ import annotations

from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import DotterelpaddleError, ScenarioError
from dotterelpaddle.fleet.balancer import run_balancer
from dotterelpaddle.fleet.client import open_client
from dotterelpaddle.fleet.fleet import run_fleet
from dotterelpaddle.fleet.measures import ControlMeter
from dotterelpaddle.logs import get_logger
from dotterelpaddle.scenarios import faults, steps, traffic, writes
from dotterelpaddle.scenarios.checks import Seen, look
from dotterelpaddle.scenarios.language import Expect, Step, WaitUntil
from dotterelpaddle.scenarios.roles import player_of
from dotterelpaddle.scenarios.setup import options_for, shape_for
from dotterelpaddle.scenarios.state import State
from dotterelpaddle.scenarios.words import Word

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.scenarios.language import Scenario

LOOK_INTERVAL = 0.05
"""Seconds between two looks at a condition that is waited for."""

LONGEST_SCENARIO = 120.0
"""Seconds after which a scenario that hangs is ended."""

log = get_logger(name=__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class StepReport:
    """What happened at one step.

    Attributes:
        number: Position of the step.
        word: Its word.
        seen: What conditions showed.
    """

    number: int
    word: str
    seen: tuple[Seen, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What happened in a scenario that passed.

    Attributes:
        name: Name of the scenario.
        steps: What happened at each step.
    """

    name: str
    steps: list[StepReport] = field(default_factory=list)


def _ignore(report: StepReport) -> None:
    """Take a report and do nothing with it."""


async def run_scenario(
    *, scenario: Scenario, tell: Callable[[StepReport], None] = _ignore
) -> Report:
    """Run a scenario on a fleet of its own.

    Args:
        scenario: The scenario.
        tell: Called after each step.

    Raises:
        ScenarioError: If a condition does not hold; the message names file and
            step, what was expected and what was seen.
    """
    report = Report(name=scenario.name)
    # Kept and raised at the end, so that no task group wraps it.
    failure: ScenarioError | None = None
    with anyio.move_on_after(LONGEST_SCENARIO) as scope:
        async with AsyncExitStack() as stack:
            state = await _open(scenario=scenario, stack=stack)
            try:
                await _run_steps(
                    scenario=scenario, state=state, report=report, tell=tell
                )
            except ScenarioError as error:
                failure = error
            state.tasks.cancel_scope.cancel()
    if failure:
        raise failure
    if scope.cancelled_caught:
        step = scenario.steps[min(len(report.steps), len(scenario.steps) - 1)]
        raise ScenarioError(
            f"{_place(scenario=scenario, step=step)}: still not done after"
            f" {LONGEST_SCENARIO:g} s from the start"
        )
    return report


async def _open(*, scenario: Scenario, stack: AsyncExitStack) -> State:
    fleet = await stack.enter_async_context(
        run_fleet(
            shape=shape_for(spec=scenario.fleet), options=options_for(scenario=scenario)
        )
    )
    balancer = await stack.enter_async_context(run_balancer(routers=fleet.entries))
    client = await stack.enter_async_context(open_client())
    tasks = await stack.enter_async_context(anyio.create_task_group())
    return State(fleet=fleet, tasks=tasks, client=client, balancer=balancer)


async def _run_steps(
    *,
    scenario: Scenario,
    state: State,
    report: Report,
    tell: Callable[[StepReport], None],
) -> None:
    for step in scenario.steps:
        try:
            seen = await _run_step(state=state, step=step)
        except DotterelpaddleError as error:
            place = _place(scenario=scenario, step=step)
            raise ScenarioError(f"{place}: {error.message}") from error
        done = StepReport(number=step.number, word=step.word, seen=seen)
        report.steps.append(done)
        tell(done)


def _place(*, scenario: Scenario, step: Step) -> str:
    return f"{scenario.source}, step {step.number} ({step.word})"


async def _run_step(*, state: State, step: Step) -> tuple[Seen, ...]:
    match step.action:
        case WaitUntil():
            return await _wait_until(state=state, wanted=step.action)
        case Expect():
            return await _expect(state=state, wanted=step.action)
        case _:
            await _act(state=state, action=step.action)
            return ()


async def _act(*, state: State, action: object) -> None:
    match action:
        case (
            steps.Start()
            | steps.Stop()
            | steps.Kill()
            | steps.Restart()
            | steps.Pause()
            | steps.Resume()
            | steps.Silence()
            | steps.Drop()
            | steps.Mend()
        ):
            await faults.act_on_nodes(fleet=state.fleet, step=action)
        case steps.Apply() | steps.Retire():
            await writes.write(state=state, step=action)
        case steps.Race():
            await writes.race(state=state, step=action)
        case steps.Drain():
            await writes.drain(state=state, step=action)
        case steps.Join():
            await writes.join(state=state, step=action)
        case steps.Send():
            await traffic.send(state=state, step=action)
        case steps.Load():
            await traffic.start_load(state=state, step=action)
        case steps.Surge():
            traffic.surge(state=state, step=action)
        case steps.Finish():
            await traffic.finish(state=state, step=action)
        case steps.Mark():
            await _mark(state=state, label=action.label)
        case steps.Remember():
            node = player_of(state.fleet, action.node)
            state.fleet.aliases[action.name] = node
        case steps.Wait():
            await anyio.sleep(action.seconds)
        case Word():
            faults.cause(fleet=state.fleet, step=action)


async def _mark(*, state: State, label: str) -> None:
    control = ControlMeter(fleet=state.fleet)
    await control.start()
    state.marks[label] = state.mark(control=control)


async def _wait_until(*, state: State, wanted: WaitUntil) -> tuple[Seen, ...]:
    seen: tuple[Seen, ...] = ()
    with anyio.move_on_after(wanted.within):
        while True:
            seen = await _look(state=state, wanted=wanted)
            if all(each.met for each in seen):
                return seen
            await anyio.sleep(LOOK_INTERVAL)
    raise ScenarioError(f"not within {wanted.within:g} s: {_missed(seen=seen)}")


async def _expect(*, state: State, wanted: Expect) -> tuple[Seen, ...]:
    seen = await _look(state=state, wanted=wanted)
    if not all(each.met for each in seen):
        raise ScenarioError(_missed(seen=seen))
    return seen


async def _look(*, state: State, wanted: WaitUntil | Expect) -> tuple[Seen, ...]:
    return tuple(
        [await look(state=state, condition=each) for each in wanted.conditions]
    )


def _missed(*, seen: tuple[Seen, ...]) -> str:
    missed = [each.text for each in seen if not each.met]
    return "; ".join(missed) or "the first look did not end"
