"""Tests when a router calls the platform and when it relies on its peers."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.clock import monotonic
from dotterelpaddle.exceptions import PlatformUnavailable
from dotterelpaddle.forwarding import follower as follower_module, outages
from dotterelpaddle.forwarding.follower import Follower
from dotterelpaddle.forwarding.interface import EndpointsUpdate, OperatorUpdate
from dotterelpaddle.forwarding.metrics import ForwardMetrics
from dotterelpaddle.forwarding.outages import OUTAGE_AFTER_FAILURES_SECONDS
from dotterelpaddle.forwarding.revisions import FIRST_ERA
from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.tests.forwarding.harness import wait_until
from dotterelpaddle.tests.revisions import revision_at

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.revisions import StoreRevision

pytestmark = pytest.mark.anyio

MIN_CHECKS = 20
"""Checks of the peers' reports after which a due call would have been made."""


@dataclass(kw_only=True)
class ScriptedPeers:
    """Peer reports that the test sets; counts how often they are read."""

    is_platform_reader: bool = False
    receives_configurations: bool = False
    receives_endpoints: bool = False
    configuration_age: float = 0.0
    outdated: bool = False
    age: float = 0.0
    clock: Clock = monotonic
    checks: int = 0
    age_reads: int = 0

    @property
    def endpoints_outdated(self) -> bool:
        self.checks += 1
        return self.outdated

    @property
    def configuration_as_of(self) -> StoreTime | None:
        return self._time(self.configuration_age)

    @property
    def endpoints_as_of(self) -> StoreTime | None:
        self.age_reads += 1
        return self._time(self.age)

    def _time(self, age: float) -> StoreTime | None:
        if age == float("inf"):
            return None
        return StoreTime(era=FIRST_ERA, seconds=self.clock() - age)


@dataclass(kw_only=True)
class ScriptedSource:
    """Returns snapshots at once; waits for configurations until cancelled."""

    waits: list[float] = field(default_factory=list)
    endpoint_calls: int = 0
    failing: bool = False
    fails_next: bool = False
    clock: Clock = monotonic

    @property
    def now(self) -> StoreTime:
        return StoreTime(era=FIRST_ERA, seconds=self.clock())

    async def configuration(self) -> OperatorUpdate:
        return OperatorUpdate(
            revision=revision_at(1),
            configuration=None,
            is_snapshot=True,
            as_of=self.now,
        )

    async def configuration_after(
        self, *, after: StoreRevision, wait: float
    ) -> OperatorUpdate:
        self.waits.append(wait)
        await anyio.sleep_forever()
        raise AssertionError(after)

    async def endpoints(self) -> EndpointsUpdate:
        return EndpointsUpdate(
            revision=revision_at(1), entries=(), is_snapshot=True, as_of=self.now
        )

    async def endpoints_after(
        self, *, after: StoreRevision, wait: float
    ) -> EndpointsUpdate:
        self.endpoint_calls += 1
        if self.failing or self.fails_next:
            self.fails_next = False
            raise PlatformUnavailable(f"nothing after {after} within {wait}")
        return EndpointsUpdate(revision=after, entries=(), as_of=self.now)


class RecordingView(FleetView):
    """Counts platform recoveries."""

    recoveries = 0

    def note_platform_recovery(self) -> None:
        self.recoveries += 1


@asynccontextmanager
async def _follow(
    peers: ScriptedPeers,
    source: ScriptedSource,
    view: FleetView | None = None,
    clock: Clock = monotonic,
) -> AsyncIterator[Follower]:
    follower = Follower(
        source=source,
        view=view or FleetView(clock=monotonic),
        peer_summary=peers,
        metrics=ForwardMetrics(),
        leaving_propagation_time=2.0,
        store_clock=StoreClock(clock=clock),
        clock=clock,
        generator=random.Random(1),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        yield follower
        tasks.cancel_scope.cancel()


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    intervals = (
        "ENDPOINTS_INTERVAL_SECONDS",
        "MIN_ENDPOINTS_INTERVAL_SECONDS",
        "PEER_CHECK_INTERVAL_SECONDS",
        "MIN_RETRY_DELAY_SECONDS",
    )
    for name in (*intervals, "GOSSIP_CHECK_INTERVAL_SECONDS"):
        monkeypatch.setattr(follower_module, name, 0.002)


async def test_state_confirmed_by_peers_is_not_read_again() -> None:
    peers, source = ScriptedPeers(), ScriptedSource()
    async with _follow(peers, source):
        await wait_until(lambda: peers.checks > MIN_CHECKS)

    assert source.endpoint_calls == 0


async def test_update_that_a_peer_has_is_read_at_once() -> None:
    peers, source = ScriptedPeers(), ScriptedSource()
    async with _follow(peers, source):
        await wait_until(lambda: peers.checks > 0)
        peers.outdated = True
        await wait_until(lambda: source.endpoint_calls > 0)


async def test_outdated_peer_reports_are_not_relied_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower_module, "MAX_ENDPOINTS_AGE_SHARE", 0.01)
    peers, source = ScriptedPeers(), ScriptedSource()
    async with _follow(peers, source):
        peers.age = float("inf")
        await wait_until(lambda: source.endpoint_calls > 2)


async def test_designated_reader_does_not_wait_for_peers() -> None:
    peers, source = ScriptedPeers(is_platform_reader=True), ScriptedSource()
    async with _follow(peers, source):
        await wait_until(lambda: source.endpoint_calls > 2)
        await wait_until(lambda: source.waits)

    assert source.waits[0] == follower_module.CONFIGURATION_WAIT_SECONDS


async def test_configuration_confirmed_by_peers_is_polled_with_a_long_wait() -> None:
    peers, source = ScriptedPeers(), ScriptedSource()
    async with _follow(peers, source):
        await wait_until(lambda: source.waits)

    assert source.waits == [follower_module.CONFIRMED_WAIT_SECONDS]


async def test_long_poll_ends_when_no_peer_confirms_any_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower_module, "MAX_CONFIGURATION_AGE_SECONDS", 0.2)
    peers, source = ScriptedPeers(), ScriptedSource()
    async with _follow(peers, source):
        await wait_until(lambda: source.waits)
        peers.configuration_age = float("inf")
        await wait_until(lambda: len(source.waits) > 1)

    assert source.waits == [
        follower_module.CONFIRMED_WAIT_SECONDS,
        follower_module.CONFIGURATION_WAIT_SECONDS,
    ]


async def test_answers_to_peers_are_no_outage() -> None:
    now = 0.0
    peers = ScriptedPeers(outdated=True, clock=lambda: now)
    source = ScriptedSource(failing=True, clock=lambda: now)
    view = RecordingView(clock=monotonic)
    async with _follow(peers, source, view, clock=lambda: now):
        await wait_until(lambda: source.endpoint_calls > 0)
        # Calls fail for long, but a peer gets an answer between any two checks.
        while now < 4 * OUTAGE_AFTER_FAILURES_SECONDS:
            now += OUTAGE_AFTER_FAILURES_SECONDS / 4
            age_reads = peers.age_reads
            await wait_until(
                lambda age_reads=age_reads: peers.age_reads > age_reads + 1
            )
        source.failing = False
        calls = source.endpoint_calls
        await wait_until(lambda: source.endpoint_calls > calls + 1)

    assert view.recoveries == 0


async def test_no_answer_to_any_router_is_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(outages, "OUTAGE_AFTER_FAILURES_SECONDS", 0.05)
    peers = ScriptedPeers(outdated=True)
    source, view = ScriptedSource(failing=True), RecordingView(clock=monotonic)
    async with _follow(peers, source, view) as follower:
        peers.configuration_age = peers.age = float("inf")
        await wait_until(lambda: source.endpoint_calls > 0 and follower.age > 0.1)
        # A peer is the first to get an answer after the outage.
        peers.age = 0.0
        await wait_until(lambda: view.recoveries > 0)


# Guards against requests to endpoints that have left: the entries removed while a
# connection was silent were taken for entries that had expired in an outage.
async def test_single_failed_call_is_no_outage() -> None:
    now = 0.0
    peers = ScriptedPeers(outdated=True, age=float("inf"), clock=lambda: now)
    peers.configuration_age = float("inf")
    source = ScriptedSource(clock=lambda: now)
    view = RecordingView(clock=monotonic)
    async with _follow(peers, source, view, clock=lambda: now):
        await wait_until(lambda: source.endpoint_calls > 0)
        source.fails_next = True
        await wait_until(lambda: not source.fails_next)
        now += 2 * OUTAGE_AFTER_FAILURES_SECONDS
        calls = source.endpoint_calls
        await wait_until(lambda: source.endpoint_calls > calls + 1)

    assert view.recoveries == 0


async def test_router_that_receives_all_updates_makes_no_calls() -> None:
    peers = ScriptedPeers(
        receives_configurations=True, receives_endpoints=True, outdated=True
    )
    source = ScriptedSource()
    async with _follow(peers, source):
        await wait_until(lambda: peers.age_reads > MIN_CHECKS)

    assert source.endpoint_calls == 0
    assert source.waits == []


async def test_router_whose_peers_are_outdated_calls_itself() -> None:
    peers = ScriptedPeers(receives_configurations=True, receives_endpoints=True)
    source = ScriptedSource()
    async with _follow(peers, source):
        await wait_until(lambda: peers.age_reads > MIN_CHECKS)
        peers.configuration_age = peers.age = float("inf")
        await wait_until(lambda: source.endpoint_calls > 1)
