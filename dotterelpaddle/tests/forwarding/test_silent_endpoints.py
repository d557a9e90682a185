"""Answers of sound endpoints that fall silent for a moment and go on."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from dotterelpaddle.ids import ServiceName
from dotterelpaddle.standins.behaviours import (
    Behaviour,
    CutAnswer,
    Fail,
    FallSilent,
    Hang,
    Refuse,
    Unframed,
)
from dotterelpaddle.tests.forwarding.harness import (
    SERVICE,
    Fleet,
    route,
    run_fleet,
    wait_until,
)

pytestmark = pytest.mark.anyio

EVENTS = b"".join(b"id: %d\ndata: e%d v1\n\n" % (n, n) for n in range(1, 6))
STREAM, PLAIN = "/stream/again/x", "/safe/"
ROUTES = [
    route("safe", "idempotent", timeoutMs=5000, sloMs=200, maxAttempts=3),
    route(
        "stream/again",
        "stream",
        streamResume=True,
        timeoutMs=5000,
        maxAttempts=3,
        sloMs=200,
        gapTargetMs=100,
    ),
]
SILENT_SECONDS = 1.0
"""Twice as long as the router waits before it sends another attempt."""

IN_STREAM = FallSilent(seconds=SILENT_SECONDS, events=2)
AT_START = FallSilent(seconds=SILENT_SECONDS)


def _plan(fleet: Fleet, name: str, *behaviours: Behaviour) -> None:
    fleet.runners[name].plan.extend(behaviours)


def _silent_alone(fleet: Fleet, behaviour: Behaviour) -> None:
    _plan(fleet, "runner-1", behaviour)


def _all_silent(fleet: Fleet, behaviour: Behaviour) -> None:
    _plan(fleet, "runner-1", behaviour)
    _plan(fleet, "runner-2", behaviour)


def _silent_beside_refusals(fleet: Fleet, behaviour: Behaviour) -> None:
    """Whichever endpoint is asked first falls silent, and the other one refuses."""
    for runner in fleet.runners.values():
        runner.plan = fleet.runners["runner-1"].plan
    _plan(fleet, "runner-1", behaviour, *[Refuse()] * 20)


Scene = Callable[[Fleet, Behaviour], None]


# Guards against an answer that is given up with its silent endpoint, though no other
# endpoint takes the request: callers got part of a stream, or 502, and lost the rest.
@pytest.mark.parametrize(
    ("path", "behaviour"),
    [
        (STREAM, IN_STREAM),
        (STREAM, AT_START),
        (PLAIN, AT_START),
    ],
    ids=["in_stream", "before_stream", "before_answer"],
)
@pytest.mark.parametrize(
    ("runners", "scene"),
    [(1, _silent_alone), (2, _all_silent), (2, _silent_beside_refusals)],
    ids=["only_endpoint", "all_endpoints", "others_refuse"],
)
async def test_answer_outlasts_the_silence_of_its_endpoint(
    runners: int, scene: Scene, path: str, behaviour: Behaviour
) -> None:
    async with run_fleet(runners=runners, routes=ROUTES) as fleet:
        scene(fleet, behaviour)
        answer = await fleet.call(path)

    assert answer.status == 200
    if path == STREAM:
        assert answer.content == EVENTS


# Guards against a stream that is cut as the only endpoint of its version is silent.
async def test_stream_outlasts_a_silence_of_the_only_endpoint_of_its_version() -> None:
    async with run_fleet(runners=1, routes=ROUTES) as fleet:
        _plan(fleet, "runner-1", IN_STREAM)
        await fleet.add_runner("runner-2", version="v2")
        fleet.runners["runner-2"].plan.extend([Refuse()] * 20)
        view = fleet.routers[0].components.state.view
        await wait_until(lambda: len(view.entries) == 2)
        answer = await fleet.call(STREAM)

    assert answer.status == 200
    assert answer.content == EVENTS


# Guards against an answer that is given up for a retry that the budget does not allow.
async def test_answer_outlasts_a_silence_without_retry_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_fleet(runners=2, routes=ROUTES) as fleet:
        budget = fleet.routers[0].components.state.retry_budget
        monkeypatch.setattr(budget, "acquire", lambda *, service: False)
        _silent_beside_refusals(fleet, IN_STREAM)
        answer = await fleet.call(STREAM)

    assert answer.status == 200
    assert answer.content == EVENTS


# Guards against losing the gain of early retries, and against two runs at a time.
@pytest.mark.parametrize("path", [STREAM, PLAIN])
async def test_silent_attempt_is_cancelled_once_another_endpoint_delivers(
    path: str,
) -> None:
    async with run_fleet(runners=2, routes=ROUTES) as fleet:
        for runner in fleet.runners.values():
            runner.plan = fleet.runners["runner-1"].plan
        _plan(fleet, "runner-1", Hang(events=2))
        answer = await fleet.call(path)
        runners = fleet.runners.values()
        await wait_until(lambda: sum(len(each.closed_early) for each in runners) == 1)

    assert answer.status == 200


# Guards against attempts beyond the route's limit, as silent ones count as not sent.
async def test_silent_attempts_count_against_the_routes_limit() -> None:
    routes = [route("safe", "idempotent", timeoutMs=3000, sloMs=200, maxAttempts=2)]
    async with run_fleet(runners=5, routes=routes) as fleet:
        budget = fleet.routers[0].components.state.retry_budget
        await wait_until(lambda: budget.has_room(service=ServiceName(SERVICE)))
        for runner in fleet.runners.values():
            runner.plan.append(Hang())
        answer = await fleet.call(PLAIN)

    assert answer.status == 504
    assert sum(len(runner.runs) for runner in fleet.runners.values()) == 2


# Guards against a stream that is cut because the endpoint asked meanwhile answers with
# an error, though the silent one goes on.
@pytest.mark.parametrize("status", [404, 409, 500])
async def test_stream_outlasts_an_error_answer_to_its_retry(status: int) -> None:
    async with run_fleet(runners=2, routes=ROUTES) as fleet:
        for runner in fleet.runners.values():
            runner.plan = fleet.runners["runner-1"].plan
        _plan(fleet, "runner-1", IN_STREAM, *[Fail(status=status)] * 20)
        answer = await fleet.call(STREAM)

    assert answer.status == 200
    assert answer.content == EVENTS


# Guards against an answer that is given up for one that breaks after its head.
@pytest.mark.parametrize("fault", [CutAnswer(), Unframed(reset=True)], ids=repr)
async def test_answer_outlasts_a_broken_answer_to_its_retry(fault: Behaviour) -> None:
    async with run_fleet(runners=2, routes=ROUTES) as fleet:
        for runner in fleet.runners.values():
            runner.plan = fleet.runners["runner-1"].plan
        _plan(fleet, "runner-1", AT_START, *[fault] * 20)
        answer = await fleet.call(PLAIN)

    assert answer.status == 200
