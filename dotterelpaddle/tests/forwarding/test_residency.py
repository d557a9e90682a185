"""Tests requests that may run in some regions only."""

from __future__ import annotations

from typing import Any

import pytest

from dotterelpaddle.ids import FailureDomain, Region
from dotterelpaddle.tests.forwarding.harness import (
    ACCOUNT,
    KEY,
    route,
    run_fleet,
    wait_until,
)

pytestmark = pytest.mark.anyio

REGIONS = {
    FailureDomain("here"): Region("west"),
    FailureDomain("there"): Region("east"),
}
CALLS = 6


@pytest.mark.parametrize(
    ("route_regions", "account_regions", "reached"),
    [
        ([], [], {"here"}),
        (["east"], [], {"there"}),
        ([], ["east"], {"there"}),
        (["east", "west"], ["east"], {"there"}),
        (["west"], ["east"], set()),
        (["nowhere"], [], set()),
    ],
)
async def test_request_runs_only_in_regions_that_route_and_account_allow(
    route_regions: list[str], account_regions: list[str], reached: set[str]
) -> None:
    """Guards against requests that run outside their allowed regions."""
    account: dict[str, Any] = {"name": ACCOUNT, "apiKeys": [KEY]}
    async with run_fleet(
        runners=0,
        routers=0,
        routes=[route("safe", "idempotent", allowedRegions=route_regions)],
        tenants=[{**account, "allowedRegions": account_regions}],
    ) as fleet:
        for domain in REGIONS:
            await fleet.add_runner(domain, zone=domain)
        router = await fleet.add_router(regions=REGIONS)
        await wait_until(lambda: router.components.app.ready)
        answers = [await fleet.call("/safe/") for _ in range(CALLS)]
        received = {name for name, each in fleet.runners.items() if each.received}

    assert received == reached
    assert {answer.status for answer in answers} == ({200} if reached else {503})
