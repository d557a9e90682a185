"""Numbers of any size in requests and in endpoints' answers."""

from __future__ import annotations

import os
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.line_logs import LineSink
from dotterelpaddle.logs import Level, log_to_sink
from dotterelpaddle.platform.names import Header
from dotterelpaddle.tests.forwarding.harness import Fleet, run_fleet, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.anyio

REPORTS = 3
"""Reports that show that a router goes on telling the others what it knows."""

SILENT_SECONDS = 0.8

ODD_PROMPTS = {
    "minus one without a sign": b"5c1e:18446744073709551615,7a:100",
    "400 parts of 18 digits": b",".join(
        b"%x:999999999999999999" % part for part in range(400)
    ),
    "400 digits": b"5c1e:%s,7a:100" % (b"9" * 400),
    "4,400 digits": b"5c1e:%s,7a:100" % (b"9" * 4400),
}


@asynccontextmanager
async def _run_logged(**fields: int) -> AsyncIterator[Fleet]:
    """Run a fleet that writes its log lines as a router in service does."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    try:
        with log_to_sink(level=Level.INFO, sink=LineSink(descriptor=descriptor)):
            async with run_fleet(**fields) as fleet:
                yield fleet
    finally:
        os.close(descriptor)


def _keep_waiting(fleet: Fleet) -> None:
    """Let requests wait at the endpoints for some reports, as in a queue."""
    for runner in fleet.runners.values():
        runner.silent_until = anyio.current_time() + SILENT_SECONDS


async def _hear_more_reports(fleet: Fleet) -> None:
    """Wait until the second router has heard further reports of the first."""
    directory = fleet.routers[1].components.state.directory

    def sequence() -> int:
        (peer,) = directory.alive
        return peer.report.sequence

    await wait_until(lambda: directory.alive)
    start = sequence()
    await wait_until(lambda: sequence() >= start + REPORTS)


# Guards against routers that end, and take all requests with them, because one client
# states more prompt tokens than a report between routers can hold.
@pytest.mark.parametrize("prompt", ODD_PROMPTS)
async def test_any_number_of_prompt_tokens_ends_no_router_and_no_request(
    prompt: str,
) -> None:
    headers = {Header.MODEL: b"m", Header.PROMPT_PREFIX: ODD_PROMPTS[prompt]}
    async with _run_logged(runners=2, routers=2) as fleet:
        _keep_waiting(fleet)
        answers = []

        async def _call() -> None:
            answers.append(await fleet.call("/stream/x", headers=headers))

        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(_call)
            await _hear_more_reports(fleet)

    assert [each.status for each in answers] == [200] * 4


# Guards against the same end by the sum of many requests, each of which states a number
# that a report can hold.
async def test_sum_of_prompt_tokens_ends_no_router() -> None:
    prompt = b",".join(b"%x:999999999999999999" % part for part in range(15))
    headers = {Header.MODEL: b"m", Header.PROMPT_PREFIX: prompt}
    async with _run_logged(runners=1, routers=2) as fleet:
        _keep_waiting(fleet)

        async def _call() -> None:
            await fleet.call("/stream/x", headers=headers)

        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(_call)
            await _hear_more_reports(fleet)

        assert (await fleet.call("/safe/")).status == 200


# Guards against answers that are lost because an endpoint says that it bears more
# rejections than a line of the log, or a row of the store, can hold.
@pytest.mark.parametrize(
    "limit", ["18446744073709551616", "9" * 400, "9" * 4400], ids=len
)
async def test_any_number_of_rejections_that_an_endpoint_bears_loses_no_answer(
    limit: str,
) -> None:
    async with _run_logged(runners=1) as fleet:
        (runner,) = fleet.runners.values()
        runner.odd_headers = [Header.REJECTION_LIMIT + b": " + limit.encode()]
        answer = await fleet.call("/unsafe/")

    assert answer.status == 200
