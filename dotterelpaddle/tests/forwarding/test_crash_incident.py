"""Requests that crash endpoints: five engines, and a request that ends each of them.

What was seen: one caller's request ended 16 to 21 engines of a service that has five at
a time, at nine routers, and most streams of all other callers broke with them.

How it came about: nothing remembered a request beyond its own attempt. The caller's
next one had another id, reached any router, and started from nothing; and a router sent
a resumable stream on at once when its engine broke off, to the next one that ended.

The load is that of the incident: 34 requests a second, half of them streams that may go
on elsewhere, and the one request again and again. Users count how often it reaches
endpoints later than three seconds after the third end under it, and allow three times.
"""

from __future__ import annotations

from functools import partial

import anyio
import pytest

from dotterelpaddle.tests.forwarding.crash_callers import PATIENCE, Callers
from dotterelpaddle.tests.forwarding.crash_world import CrashWorld, play
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

SPREAD_TIME = 3.0
"""Seconds after the third end by which all routers must know."""

ALLOWED = 3
"""Times that the request may reach endpoints later than that."""

RATE = 34.0
"""Requests of other callers a second."""

SECONDS = 30.0


async def _comes_again(world: CrashWorld, callers: Callers, *, pause: float) -> None:
    world.tasks.start_soon(
        partial(callers.send_culprit, pause=pause, seconds=SECONDS), name="culprit"
    )
    await callers.send_others(rate=RATE, seconds=SECONDS)
    await anyio.sleep(PATIENCE)


def _play(script, **fields) -> tuple[CrashWorld, Callers]:
    world = CrashWorld(**fields)
    callers = Callers(world=world)

    async def main() -> None:
        await play(world=world, script=partial(script, callers=callers))

    run_in_virtual_time(main)
    return world, callers


@pytest.mark.parametrize(("seed", "pause"), [(1, 0.25), (2, 1.0)])
def test_request_that_crashes_endpoints_soon_gets_to_none(
    seed: int, pause: float
) -> None:
    """Guards against one request that ends all endpoints of a service in turn."""
    world, _ = _play(partial(_comes_again, pause=pause), seed=seed)

    assert world.later_than(seconds=SPREAD_TIME) <= ALLOWED


def test_nobody_is_refused_while_no_request_crashes_endpoints() -> None:
    async def _calm(world: CrashWorld, callers: Callers) -> None:
        await callers.send_others(rate=RATE, seconds=10.0)
        await anyio.sleep(PATIENCE)

    _, callers = _play(_calm)

    assert callers.others.share == 1.0
    assert callers.others.refused == 0
