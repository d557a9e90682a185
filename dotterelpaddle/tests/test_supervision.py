"""Tasks that last as long as their process go on after unexpected errors."""

from __future__ import annotations

import io
from itertools import pairwise

import anyio
import orjson
import pytest

from dotterelpaddle.logs import Level, redirect_logs
from dotterelpaddle.supervision import (
    MAX_RESTART_SECONDS,
    MIN_RESTART_SECONDS,
    SETTLED_SECONDS,
    TaskSupervisor,
)
from dotterelpaddle.tests.virtual_time import run_in_virtual_time


class _Task:
    """Fails at its first starts, each time after a while."""

    def __init__(self, *, failures: int, works_for: float = 0.0) -> None:
        self.failures = failures
        self.works_for = works_for
        self.started_at: list[float] = []

    async def run(self) -> None:
        self.started_at.append(anyio.current_time())
        await anyio.sleep(self.works_for)
        if len(self.started_at) <= self.failures:
            raise RuntimeError("unexpected")

    @property
    def pauses(self) -> list[float]:
        return [
            later - earlier - self.works_for
            for earlier, later in pairwise(self.started_at)
        ]


def _supervise(task: _Task) -> list[str]:
    counted: list[str] = []

    async def _run() -> None:
        supervisor = TaskSupervisor(on_failure=counted.append, clock=anyio.current_time)
        await supervisor.keep_running("reports", task.run)
        assert sum(supervisor.failures.values()) == task.failures

    run_in_virtual_time(_run)
    return counted


def test_task_that_returns_is_not_restarted() -> None:
    task = _Task(failures=0)

    assert _supervise(task) == []
    assert len(task.started_at) == 1


# Guards against a process that ends, with all requests in it, by one error of one task.
def test_task_runs_again_after_each_error() -> None:
    task = _Task(failures=12)

    assert _supervise(task) == ["reports"] * 12
    assert task.pauses[0] == pytest.approx(MIN_RESTART_SECONDS)
    assert task.pauses[1] == pytest.approx(2 * MIN_RESTART_SECONDS)
    assert max(task.pauses) == pytest.approx(MAX_RESTART_SECONDS)


def test_error_after_a_long_time_restarts_at_once() -> None:
    task = _Task(failures=9, works_for=2 * SETTLED_SECONDS)

    _supervise(task)

    assert task.pauses == pytest.approx([MIN_RESTART_SECONDS] * 9)


# Guards against a task that fails for good while nothing tells operators.
def test_each_error_of_a_group_is_logged() -> None:
    lines = io.StringIO()
    supervisor = TaskSupervisor(on_failure=lambda task: None, clock=lambda: 0.0)
    with (
        redirect_logs(level=Level.ERROR, stream=lines),
        supervisor.contained(task="reports"),
    ):
        inner = ExceptionGroup("inner", [KeyError("two")])
        raise ExceptionGroup("outer", [ValueError("one"), inner])

    logged = [orjson.loads(line) for line in lines.getvalue().splitlines()]
    assert [each["error"] for each in logged] == [
        "ValueError('one')",
        "KeyError('two')",
    ]
    assert {each["task"] for each in logged} == {"reports"}


def test_cancellation_ends_a_task() -> None:
    async def _run() -> None:
        supervisor = TaskSupervisor(
            on_failure=lambda task: None, clock=anyio.current_time
        )
        with anyio.move_on_after(1.0):
            await supervisor.keep_running("reports", anyio.sleep_forever)
        assert not supervisor.failures

    run_in_virtual_time(_run)
