"""Runs scenarios: scripted faults with what must hold through them."""

from __future__ import annotations

import functools
import io
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
from cyclopts import App

from dotterelpaddle.commands.errors import ExitCode, print_error
from dotterelpaddle.exceptions import ScenarioError
from dotterelpaddle.logs import Level, redirect_logs

if TYPE_CHECKING:
    from dotterelpaddle.scenarios.language import Scenario
    from dotterelpaddle.scenarios.runner import StepReport

SHIPPED = Path(__file__).parents[1] / "scenarios" / "files"
"""Directory of the scenarios that come with the program."""

SUFFIX = ".yaml"

scenario_app = App(name="scenario", help="Run scripted scenarios, or list them.")


@scenario_app.command
def run(*file: str, verbose: bool = False) -> int:
    """Run scenarios one after the other, each on a fleet of its own.

    Exits with 1 if a condition does not hold, and with 2 if a file is
    malformed; nothing is run then.

    Args:
        file: A file, or the name of a scenario from 'scenario list'; all
            scenarios of that list if none is given.
        verbose: Print each step and what its conditions showed, and after a
            failure the log's warnings.
    """
    # Imported here so that --help stays fast.
    from dotterelpaddle.scenarios.language import load_scenario

    paths = [_find(name=name) for name in file] or list(shipped().values())
    try:
        scenarios = [load_scenario(path=path) for path in paths]
    except ScenarioError as error:
        print_error(error=error)
        return ExitCode.WRONG_USE
    passed = [_passes(scenario=scenario, verbose=verbose) for scenario in scenarios]
    print(f"{sum(passed)} of {len(passed)} scenarios passed")
    return ExitCode.OK if all(passed) else ExitCode.FAILED


@scenario_app.command(name="list")
def list_scenarios() -> int:
    """List the scenarios that come with the program, and what each shows."""
    from dotterelpaddle.scenarios.language import load_scenario

    for name, path in shipped().items():
        about = " ".join(load_scenario(path=path).about.split())
        print(f"{name}\n    {about}")
    return ExitCode.OK


def shipped() -> dict[str, Path]:
    """Return the scenarios that come with the program, by name."""
    return {path.stem: path for path in sorted(SHIPPED.glob(f"*{SUFFIX}"))}


def _find(*, name: str) -> Path:
    path = Path(name)
    return path if path.exists() else shipped().get(name, path)


def _passes(*, scenario: Scenario, verbose: bool) -> bool:
    from dotterelpaddle.scenarios.runner import run_scenario

    def _tell(report: StepReport) -> None:
        if verbose:
            _print_step(report=report)

    started = time.monotonic()
    log = io.StringIO()
    try:
        with redirect_logs(level=Level.WARNING, stream=log):
            anyio.run(functools.partial(run_scenario, scenario=scenario, tell=_tell))
    except ScenarioError as error:
        print(f"{scenario.name}: FAILED", flush=True)
        print_error(error=error)
        if verbose:
            print(log.getvalue(), end="", file=sys.stderr)
        return False
    print(f"{scenario.name}: passed, {time.monotonic() - started:.1f} s", flush=True)
    return True


def _print_step(*, report: StepReport) -> None:
    print(f"  {report.number}. {report.word}", file=sys.stderr)
    for seen in report.seen:
        print(f"     {seen.text}", file=sys.stderr)
