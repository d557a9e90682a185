"""Routers that are cut off from all endpoints while all else reaches them.

Guards against an incident in which callers of such routers were served 0 of 41 requests
at the first attempt, callers of the others 133 of 133. The routers still reached their
callers, the store and the other routers, which reached all endpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.tests.forwarding.harness import run_fleet

if TYPE_CHECKING:
    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = pytest.mark.anyio

ROUTERS = 3
CUT_OFF = 0
PATHS = ("/safe/1", "/unsafe/1", "/stream/1", "/stream/again/1")
RUNNERS = 3
RECOVERY_SECONDS = 3.0
"""Seconds after which users expect the callers of a cut-off router to be served."""


async def _served(fleet: Fleet, *, requests: int = 5) -> list[int]:
    """Send requests to the cut-off router and return their statuses."""
    return [
        (await fleet.call(path, router=CUT_OFF)).status
        for _ in range(requests)
        for path in PATHS
    ]


async def _call_until_recovery(fleet: Fleet) -> None:
    """Send requests that may fail until the time for the recovery is over."""
    with anyio.move_on_after(RECOVERY_SECONDS):
        while True:
            for path in PATHS:
                await fleet.call(path, router=CUT_OFF)
            await anyio.sleep(0.05)


# Guards against callers that are refused though other routers reach all endpoints.
async def test_callers_of_routers_without_endpoints_are_served() -> None:
    statuses = {}
    for name in ("hang", "refuse"):
        async with run_fleet(runners=RUNNERS, routers=ROUTERS) as fleet:
            assert set(await _served(fleet)) == {200}
            links = fleet.links[CUT_OFF]
            cut = {"hang": links.cut, "refuse": links.refuse}[name]
            cut(peers=frozenset(fleet.addresses.values()))
            await _call_until_recovery(fleet)
            statuses[name] = await _served(fleet)

    assert {name: set(each) for name, each in statuses.items()} == {
        "hang": {200},
        "refuse": {200},
    }
