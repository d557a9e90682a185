"""Requests that come while a real router process stops as planned.

The environment variable GRACE_SEEDS sets the first seed and the number of seeds, such
as "1 50"; GRACE_SOURCE names a directory with the release that the routers run.
"""

from __future__ import annotations

import os
from functools import partial
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.tests.forwarding.grace_world import run_grace_world

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

FIRST_SEED, SEED_COUNT = map(int, os.environ.get("GRACE_SEEDS", "1 1").split())
SOURCE = os.environ.get("GRACE_SOURCE", "")
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)

CALLERS_BY_PATH = {
    "/safe/slow/x": 24,
    "/unsafe/slow/x": 12,
    "/safe/usual/x": 12,
    "/unsafe/usual/x": 12,
}
CALM_SECONDS = 9.0
"""Each slow caller has had one answer by then."""


# Guards against requests that a stopping router passes on though their work takes
# longer than its grace: they ran, and their callers had nothing, not even an answer
# that says so.
@pytest.mark.parametrize("seed", SEEDS)
async def test_requests_late_in_a_grace_are_not_cut(seed: int, tmp_path: Path) -> None:
    async with run_grace_world(directory=tmp_path, seed=seed, source=SOURCE) as world:
        async with anyio.create_task_group() as callers:
            for path, count in CALLERS_BY_PATH.items():
                for _ in range(count):
                    callers.start_soon(partial(world.call_again_and_again, path=path))
            await anyio.sleep(CALM_SECONDS)
            await world.stop_first()
            world.calling = False
        print("seed", seed, world.summary())

        assert world.tries
        assert not world.cut()
        late = [each for each in world.unfinished() if "/usual/" in each.path]
        assert not late
