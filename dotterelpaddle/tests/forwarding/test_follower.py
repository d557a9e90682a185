"""When a router calls the platform, and when it takes others' word."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.clock import monotonic
from dotterelpaddle.exceptions import PlatformUnavailable
from dotterelpaddle.forwarding import follower as following
from dotterelpaddle.forwarding.follower import Follower
from dotterelpaddle.forwarding.interface import EndpointsUpdate, OperatorUpdate
from dotterelpaddle.forwarding.metrics import ForwardMetrics
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import Revision
from dotterelpaddle.tests.forwarding.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.clock import Clock

pytestmark = pytest.mark.anyio

LOOKS = 20
"""Looks at others' word after which a call that was due would have been made."""


@dataclass(kw_only=True)
class ScriptedWord:
    """What others vouch for, as the test says; counts how often it is asked."""

    is_platform_reader: bool = False
    receives_configurations: bool = False
    receives_endpoints: bool = False
    configuration_age: float = 0.0
    behind: bool = False
    age: float = 0.0
    looks: int = 0
    ages_told: int = 0

    @property
    def endpoints_outdated(self) -> bool:
        self.looks += 1
        return self.behind

    @property
    def endpoints_age(self) -> float:
        self.ages_told += 1
        return self.age


@dataclass(kw_only=True)
class ScriptedSource:
    """Answers lists at once; configurations are waited for until cancelled."""

    waits: list[float] = field(default_factory=list)
    endpoint_calls: int = 0
    failing: bool = False

    async def configuration(self) -> OperatorUpdate:
        return OperatorUpdate(
            revision=Revision(1), configuration=None, is_snapshot=True
        )

    async def configuration_after(
        self, *, after: Revision, wait: float
    ) -> OperatorUpdate:
        self.waits.append(wait)
        await anyio.sleep_forever()
        raise AssertionError(after)

    async def endpoints(self) -> EndpointsUpdate:
        return EndpointsUpdate(revision=Revision(1), entries=(), is_snapshot=True)

    async def endpoints_after(self, *, after: Revision, wait: float) -> EndpointsUpdate:
        self.endpoint_calls += 1
        if self.failing:
            raise PlatformUnavailable(f"nothing after {after} within {wait}")
        return EndpointsUpdate(revision=after, entries=())


class RecordingView(FleetView):
    """Notes when the platform counts as back."""

    returns = 0

    def note_platform_recovery(self) -> None:
        self.returns += 1


@asynccontextmanager
async def _follow(
    word: ScriptedWord,
    source: ScriptedSource,
    view: FleetView | None = None,
    clock: Clock = monotonic,
) -> AsyncIterator[Follower]:
    follower = Follower(
        source=source,
        view=view or FleetView(clock=monotonic),
        peer_summary=word,
        metrics=ForwardMetrics(),
        leaving_propagation_time=2.0,
        clock=clock,
        generator=random.Random(1),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        yield follower
        tasks.cancel_scope.cancel()


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    pauses = (
        "ENDPOINTS_INTERVAL_SECONDS",
        "MIN_ENDPOINTS_INTERVAL_SECONDS",
        "PEER_CHECK_INTERVAL_SECONDS",
        "MIN_RETRY_DELAY_SECONDS",
    )
    for name in (*pauses, "GOSSIP_CHECK_INTERVAL_SECONDS"):
        monkeypatch.setattr(following, name, 0.002)


async def test_what_others_vouch_for_is_not_read_again() -> None:
    word, source = ScriptedWord(), ScriptedSource()
    async with _follow(word, source):
        await wait_until(lambda: word.looks > LOOKS)

    assert source.endpoint_calls == 0


async def test_news_that_another_has_is_read_at_once() -> None:
    word, source = ScriptedWord(), ScriptedSource()
    async with _follow(word, source):
        await wait_until(lambda: word.looks > 0)
        word.behind = True
        await wait_until(lambda: source.endpoint_calls > 0)


async def test_word_that_is_too_old_is_not_relied_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(following, "MAX_ENDPOINTS_AGE_SHARE", 0.01)
    word, source = ScriptedWord(), ScriptedSource()
    async with _follow(word, source):
        word.age = float("inf")
        await wait_until(lambda: source.endpoint_calls > 2)


async def test_router_that_reads_first_does_not_wait_for_others() -> None:
    word, source = ScriptedWord(is_platform_reader=True), ScriptedSource()
    async with _follow(word, source):
        await wait_until(lambda: source.endpoint_calls > 2)
        await wait_until(lambda: source.waits)

    assert source.waits[0] == following.CONFIGURATION_WAIT_SECONDS


async def test_configuration_that_others_vouch_for_is_waited_for_long() -> None:
    word, source = ScriptedWord(), ScriptedSource()
    async with _follow(word, source):
        await wait_until(lambda: source.waits)

    assert source.waits == [following.CONFIRMED_WAIT_SECONDS]


async def test_long_call_ends_when_nobody_vouches_any_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(following, "MAX_CONFIGURATION_AGE_SECONDS", 0.2)
    word, source = ScriptedWord(), ScriptedSource()
    async with _follow(word, source):
        await wait_until(lambda: source.waits)
        word.configuration_age = float("inf")
        await wait_until(lambda: len(source.waits) > 1)

    assert source.waits == [
        following.CONFIRMED_WAIT_SECONDS,
        following.CONFIGURATION_WAIT_SECONDS,
    ]


async def test_platform_that_others_hear_was_not_away() -> None:
    now = 0.0
    word = ScriptedWord(behind=True)
    source, view = ScriptedSource(failing=True), RecordingView(clock=monotonic)
    async with _follow(word, source, view, clock=lambda: now):
        await wait_until(lambda: source.endpoint_calls > 0)
        # Calls fail for long, but somebody hears of it between any two looks.
        while now < 4 * following.OUTAGE_AFTER_FAILURE_SECONDS:
            now += following.OUTAGE_AFTER_FAILURE_SECONDS / 4
            told = word.ages_told
            await wait_until(lambda told=told: word.ages_told > told + 1)
        source.failing = False
        calls = source.endpoint_calls
        await wait_until(lambda: source.endpoint_calls > calls + 1)

    assert view.returns == 0


async def test_platform_that_nobody_heard_was_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(following, "OUTAGE_AFTER_FAILURE_SECONDS", 0.05)
    word = ScriptedWord(behind=True)
    source, view = ScriptedSource(failing=True), RecordingView(clock=monotonic)
    async with _follow(word, source, view) as follower:
        word.configuration_age = word.age = float("inf")
        await wait_until(lambda: source.endpoint_calls > 0 and follower.age > 0.1)
        # Another one is the first to hear of its return.
        word.age = 0.0
        await wait_until(lambda: view.returns > 0)


async def test_router_that_is_told_all_news_makes_no_calls() -> None:
    word = ScriptedWord(
        receives_configurations=True, receives_endpoints=True, behind=True
    )
    source = ScriptedSource()
    async with _follow(word, source):
        await wait_until(lambda: word.ages_told > LOOKS)

    assert source.endpoint_calls == 0
    assert source.waits == []


async def test_router_whose_others_know_nothing_new_calls_itself() -> None:
    word = ScriptedWord(receives_configurations=True, receives_endpoints=True)
    source = ScriptedSource()
    async with _follow(word, source):
        await wait_until(lambda: word.ages_told > LOOKS)
        word.configuration_age = word.age = float("inf")
        await wait_until(lambda: source.endpoint_calls > 1)
