"""Endpoints that say in their answers that they leave, or that they want quiet.

What was seen: with the store silent for 12 s a router sent requests to an engine for
6 s after an answer of that engine had told it that it leaves; 2 s are allowed.

How it came about: only the entry in the store was read, and that came late. What an
answer says of its endpoint was not read at all, neither that it leaves nor for how long
it wants nothing more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.standins.runner import Refuse
from dotterelpaddle.tests.forwarding.harness import run_fleet

if TYPE_CHECKING:
    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = pytest.mark.anyio


async def _call_until_told(fleet: Fleet, path: str, name: str) -> None:
    """Send requests until one has reached an endpoint."""
    runner = fleet.runners[name]
    for _ in range(20):
        if runner.received:
            return
        await fleet.call(path)
    raise AssertionError(f"no request reached {name}")


async def test_endpoint_that_says_it_leaves_gets_no_new_work() -> None:
    """Guards against work for an endpoint whose answer said that it leaves."""
    async with run_fleet(runners=2) as fleet:
        leaving = fleet.runners["runner-1"]
        leaving.leaving = True
        await _call_until_told(fleet, "/unsafe/", "runner-1")
        for _ in range(12):
            await fleet.call("/safe/")

    assert len(leaving.received) == 1


async def test_endpoint_that_wants_quiet_gets_nothing_for_that_time() -> None:
    """Guards against work for an endpoint that asked to be left alone."""
    async with run_fleet(runners=2) as fleet:
        quiet = fleet.runners["runner-1"]
        quiet.plan.append(Refuse(retry_after=b"60"))
        await _call_until_told(fleet, "/safe/", "runner-1")
        for _ in range(12):
            await fleet.call("/safe/")

    assert len(quiet.received) == 1
