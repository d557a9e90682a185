"""Runs a simulated fleet under load."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from dotterelpaddle.tests.owners.fleet import SimulatedFleet


async def simulate_fleet(
    *,
    fleet: SimulatedFleet,
    script: Callable[[SimulatedFleet], Coroutine[Any, Any, None]],
    seconds: float,
) -> None:
    """Start a fleet, and send it requests while a script runs.

    Args:
        fleet: The fleet.
        script: Operator actions and faults.
        seconds: Duration of the load.
    """
    async with anyio.create_task_group() as tasks:
        fleet.tasks = tasks
        await fleet.start_routers()
        tasks.start_soon(script, fleet)
        await fleet.send_requests(seconds=seconds)
        tasks.cancel_scope.cancel()
