"""Runs a whole fleet in one process and sums up what it did."""

from __future__ import annotations

import functools

import anyio

from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.signals import stop_on_signals
from dotterelpaddle.fleet.shapes import ShapeName

REQUESTS = 300


def demo_command(
    *,
    shape: ShapeName = ShapeName.PRAIRIE,
    requests: int = REQUESTS,
    json: bool = False,
) -> int:
    """Run a whole fleet in this process, under load, and sum up what it did.

    Starts a stand-in for the platform, routers in several failure domains,
    engines and plain services on free ports of the loopback interface. Sends
    returning chats and checks every answer; meanwhile one engine leaves. Ctrl-C
    ends it. Exits with 1 if a caller did not get its own whole answer.

    Args:
        shape: The deployment.
        requests: Number of calls.
        json: Print the figures as one JSON line.
    """
    demo = functools.partial(_run, shape=shape, requests=requests, as_json=json)
    return anyio.run(demo)


async def _run(*, shape: ShapeName, requests: int, as_json: bool) -> int:
    # Imported here so that --help stays fast.
    from dotterelpaddle.fleet.demo import run_demo

    code = ExitCode.INTERRUPTED
    async with stop_on_signals() as stop, anyio.create_task_group() as tasks:

        async def _end_when_asked() -> None:
            await stop.requested.wait()
            tasks.cancel_scope.cancel()

        tasks.start_soon(_end_when_asked)
        summary = await run_demo(shape=shape, requests=requests, as_json=as_json)
        whole = summary.completed == summary.requests
        code = ExitCode.OK if whole else ExitCode.FAILED
        tasks.cancel_scope.cancel()
    return code
