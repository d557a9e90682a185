"""All routers of a large fleet start at once, as after a power failure.

88 hosts start within 0.3 s of each other, and know three seeds. Until all routers name
the same owner of a failure domain, several owners decide there, each on a part of the
requests, and each queries the engines for their caches. All routers must agree within
the time that the replacement of a failed owner takes.
"""

from __future__ import annotations

import anyio
import pytest

from dotterelpaddle.peers.directory import PEER_TIMEOUT_SECONDS
from dotterelpaddle.tests.owners.fleet import SimulatedFleet
from dotterelpaddle.tests.owners.hosts import DOMAINS, Router
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

START_SPREAD_SECONDS = 0.3
"""Period within which hosts start."""

POLL_SECONDS = 0.05
RUN_SECONDS = 4.0


async def _start_late(fleet: SimulatedFleet, router: Router) -> None:
    await anyio.sleep(fleet.generator.uniform(0.0, START_SPREAD_SECONDS))
    await fleet.run_host(router)


def _agree(fleet: SimulatedFleet) -> bool:
    """Return whether all routers name the same owner of each failure domain."""
    owners = []
    for router in fleet.routers:
        if router.parts is None:
            return False
        owners_by_domain = router.parts.state.directory.owners()
        owners.append(
            {domain: name.router for domain, name in owners_by_domain.items()}
        )
    return owners[0].keys() == set(DOMAINS) and all(
        each == owners[0] for each in owners
    )


async def _agreed_at(fleet: SimulatedFleet) -> float:
    """Return the time in seconds from which the routers agree."""
    disagreed_at = 0.0
    async with anyio.create_task_group() as tasks:
        fleet.tasks = tasks
        for router in fleet.routers:
            tasks.start_soon(_start_late, fleet, router)
        while anyio.current_time() < RUN_SECONDS:
            await anyio.sleep(POLL_SECONDS)
            if not _agree(fleet):
                disagreed_at = anyio.current_time()
        tasks.cancel_scope.cancel()
    return disagreed_at


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_routers_that_start_at_once_soon_agree_on_owners(seed: int) -> None:
    fleet = SimulatedFleet(seed=seed)

    assert (
        run_in_virtual_time(lambda: _agreed_at(fleet))
        <= START_SPREAD_SECONDS + PEER_TIMEOUT_SECONDS
    )
