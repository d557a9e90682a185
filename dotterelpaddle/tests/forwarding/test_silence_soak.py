"""Answers of sound endpoints that fall silent for a moment, at real router processes.

The environment variable SILENCE_SEEDS sets the first seed, the number of seeds and the
number of routers, such as "1 50 3"; SILENCE_SOURCE names a directory with the release
that the routers run.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from dotterelpaddle.tests.forwarding.silence_world import (
    SilenceWorld,
    run_silence_world,
)

if TYPE_CHECKING:
    from pathlib import Path

    from dotterelpaddle.standins.runner import RunnerStandin

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

FIRST_SEED, SEED_COUNT, ROUTERS = (
    int(each) for each in os.environ.get("SILENCE_SEEDS", "1 1 3").split()
)
SOURCE = os.environ.get("SILENCE_SOURCE", "")
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)

CALLERS = 40
SILENCES = 3 if "SILENCE_SEEDS" in os.environ else 1

TWO_SERVICES = {
    "records": ("v1", "v1", "v1.1", "v1.1"),
    "letters": ("w1", "w1", "w1.1", "w1.1"),
}
TWO_ENDPOINTS = {"records": ("v1", "v1.1")}
ONE_ENDPOINT = {"records": ("v1",)}


def one(world: SilenceWorld) -> list[RunnerStandin]:
    return [world.generator.choice(world.runners)]


def several(world: SilenceWorld) -> list[RunnerStandin]:
    return world.generator.sample(world.runners, 4)


def all_of_a_version(world: SilenceWorld) -> list[RunnerStandin]:
    return world.endpoints(version=world.generator.choice(world.runners).version)


def all_of_a_service(world: SilenceWorld) -> list[RunnerStandin]:
    return world.endpoints(service=world.generator.choice(list(world.versions)))


@dataclass(frozen=True, kw_only=True, slots=True)
class Scene:
    """Which endpoints there are and which of them fall silent together.

    Attributes:
        versions: Software versions of the endpoints of each service.
        silent: Chooses the endpoints that fall silent.
    """

    versions: Mapping[str, Sequence[str]]
    silent: Callable[[SilenceWorld], list[RunnerStandin]]


SCENES = {
    "one_at_a_time": Scene(versions=TWO_SERVICES, silent=one),
    "several_at_once": Scene(versions=TWO_SERVICES, silent=several),
    "all_of_a_version": Scene(versions=TWO_SERVICES, silent=all_of_a_version),
    "all_of_a_service": Scene(versions=TWO_SERVICES, silent=all_of_a_service),
    "one_of_two_endpoints": Scene(versions=TWO_ENDPOINTS, silent=one),
    "only_endpoint": Scene(versions=ONE_ENDPOINT, silent=one),
}

Trouble = Callable[[SilenceWorld], Coroutine[Any, Any, None]]
TROUBLES: dict[str, Trouble] = {
    "configuration": SilenceWorld.change_configuration,
    "sighup": SilenceWorld.send_sighups,
    "stops": SilenceWorld.stop_in_turn,
}
SILENCES_BESIDE: dict[str, int] = {"stops": 2 * SILENCES}
"""Silences beside a trouble that takes longer: a router drains before it stops."""


async def _play(
    scene: str, *, seed: int, directory: Path, trouble: str | None = None
) -> None:
    """Play a scene, beside a trouble or not, and check all calls."""
    versions, silent = SCENES[scene].versions, SCENES[scene].silent
    silences = SILENCES if trouble is None else SILENCES_BESIDE.get(trouble, SILENCES)
    async with (
        run_silence_world(
            directory=directory,
            seed=seed,
            routers=ROUTERS,
            versions=versions,
            callers=CALLERS,
            source=SOURCE,
        ) as world,
        anyio.create_task_group() as tasks,
    ):
        if trouble is not None:
            tasks.start_soon(TROUBLES[trouble], world)
        for _ in range(silences):
            await anyio.sleep(world.generator.uniform(0.1, 0.3))
            await world.fall_silent(silent(world))
        await world.end_calls()
        tasks.cancel_scope.cancel()

    print(scene, trouble or "", "seed", seed, world.summary())
    for calls in (world.lost(), world.wrongly_refused(), world.run_too_often()):
        assert not calls, world.report(calls)
    assert any(call.served for call in world.calls)


# Guards against answers that end before their deadline because their endpoints are
# silent for a moment, though these go on, and against more runs than a route allows.
@pytest.mark.parametrize("scene", SCENES)
@pytest.mark.parametrize("seed", SEEDS)
async def test_answers_outlast_silence(seed: int, scene: str, tmp_path: Path) -> None:
    await _play(scene, seed=seed, directory=tmp_path)


# Guards against the same beside a change of the fleet that ends no request in flight.
# The seed chooses the scene.
@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("seed", SEEDS)
async def test_answers_outlast_silence_beside_changes(
    seed: int, trouble: str, tmp_path: Path
) -> None:
    scene = list(SCENES)[(seed + 2) % len(SCENES)]
    await _play(scene, seed=seed, directory=tmp_path, trouble=trouble)
