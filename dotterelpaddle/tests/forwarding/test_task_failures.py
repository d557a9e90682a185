"""Routers go on serving, and telling each other, after unexpected errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from dotterelpaddle.forwarding.reachability import Reachability
from dotterelpaddle.peers.exchange import PeerExchange
from dotterelpaddle.tests.forwarding.harness import Fleet, run_fleet, wait_until

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.router import RunningForwarder

pytestmark = pytest.mark.anyio

REPORTS = 3
ERRORS = 3


def _sequence(router: RunningForwarder) -> int:
    """Return the number of the last report that a router has heard."""
    (peer,) = router.components.state.directory.alive
    return peer.report.sequence


def _failed_tasks(fleet: Fleet) -> set[str]:
    return {
        task
        for router in fleet.routers
        for task in router.components.supervisor.failures
    }


async def _hear_more_reports(fleet: Fleet) -> None:
    for router in fleet.routers:
        await wait_until(lambda router=router: router.components.state.directory.alive)
        start = _sequence(router)
        await wait_until(
            lambda router=router, start=start: _sequence(router) >= start + REPORTS
        )


# Guards against routers that end, and take the requests of all callers with them, by an
# error in the reports between them that nobody expects.
async def test_error_in_a_report_ends_no_router(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    build = PeerExchange._build_report
    failed: list[None] = []

    def _fail_first(self: PeerExchange, **fields: Any) -> Any:
        if len(failed) < ERRORS:
            failed.append(None)
            raise RuntimeError("unexpected")
        return build(self, **fields)

    async with run_fleet(runners=1, routers=2) as fleet:
        monkeypatch.setattr(PeerExchange, "_build_report", _fail_first)
        await wait_until(lambda: len(failed) == ERRORS)
        await _hear_more_reports(fleet)
        assert (await fleet.call("/safe/")).status == 200
        assert "reports" in _failed_tasks(fleet)
        fleet.expected_task_failures = ("reports", "datagrams")


# Guards against a router that hears no other any more because of what one has sent.
async def test_error_over_a_datagram_loses_only_this_datagram(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    apply = PeerExchange._apply_report
    failed: list[None] = []

    def _fail_first(self: PeerExchange, **fields: Any) -> bool:
        if len(failed) < ERRORS:
            failed.append(None)
            raise RuntimeError("unexpected")
        return apply(self, **fields)

    async with run_fleet(runners=1, routers=2) as fleet:
        monkeypatch.setattr(PeerExchange, "_apply_report", _fail_first)
        await wait_until(lambda: len(failed) == ERRORS)
        await _hear_more_reports(fleet)
        assert (await fleet.call("/safe/")).status == 200
        assert _failed_tasks(fleet) == {"datagrams"}
        fleet.expected_task_failures = ("datagrams",)


# Guards against endpoints that are probed no more, and so get no requests for good,
# after an error of one probe.
async def test_probes_go_on_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    can_connect = Reachability._can_connect
    failed: list[None] = []

    async def _fail_first(self: Reachability, **fields: Any) -> bool:
        if len(failed) < ERRORS:
            failed.append(None)
            raise RuntimeError("unexpected")
        return await can_connect(self, **fields)

    monkeypatch.setattr(Reachability, "_can_connect", _fail_first)
    async with run_fleet(runners=2) as fleet:
        reachability = fleet.routers[0].components.reachability
        for entry in fleet.routers[0].components.state.view.entries:
            reachability.suspect(entry=entry, timed_out=False)
        assert reachability.endpoints_lost
        await wait_until(lambda: not reachability.service_lost)
        await wait_until(lambda: not reachability._suspects)
        assert _failed_tasks(fleet) == {"reachability"}
        fleet.expected_task_failures = ("reachability",)
