"""Tests of reading the endpoints anew for one decision."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, cast

import anyio

from dotterelpaddle.exceptions import HistoryLost, PlatformUnavailable
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.streams.confirmation import (
    FAILURE_COOLDOWN_SECONDS,
    EndpointsConfirmation,
)
from dotterelpaddle.tests.forwarding.entries import make_entry
from dotterelpaddle.tests.revisions import revision_at
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.revisions import StoreRevision

READ_SECONDS = 0.1


class SlowSource:
    """A store that takes a while for each read, and may be away."""

    def __init__(self) -> None:
        self.reads = 0
        self.changes_reads = 0
        self.away = False
        self.has_forgotten = False

    async def endpoints(self) -> EndpointsUpdate:
        self.reads += 1
        await anyio.sleep(READ_SECONDS)
        if self.away:
            raise PlatformUnavailable("the store is away")
        return EndpointsUpdate(
            revision=revision_at(self.reads),
            entries=(make_entry("a", revision=revision_at(self.reads)),),
            is_snapshot=True,
        )

    async def endpoints_after(
        self, *, after: StoreRevision, wait: float
    ) -> EndpointsUpdate:
        self.changes_reads += 1
        if self.has_forgotten:
            raise HistoryLost(f"nothing is known since {after}")
        update = await self.endpoints()
        return replace(update, is_snapshot=False)


def _confirmation(source: SlowSource, view: FleetView) -> EndpointsConfirmation:
    return EndpointsConfirmation(
        source=cast("Any", source), view=view, clock=anyio.current_time
    )


def test_calls_at_the_same_time_share_a_read() -> None:
    source, results = SlowSource(), []

    async def main() -> None:
        view = FleetView(clock=anyio.current_time)
        confirmation = _confirmation(source, view)

        async def confirm() -> None:
            results.append(await confirmation.confirm())

        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(confirm)
        assert [entry.endpoint for entry in view.entries] == ["a"]

    run_in_virtual_time(main)

    assert results == [True] * 5
    assert source.reads == 1


def test_read_since_a_time_counts() -> None:
    source, results = SlowSource(), []

    async def main() -> None:
        confirmation = _confirmation(source, FleetView(clock=anyio.current_time))
        since = anyio.current_time()
        await confirmation.confirm()
        results.append(await confirmation.confirm(since=since))

    run_in_virtual_time(main)

    assert results == [True]
    assert source.reads == 1


def test_changes_are_read_or_all_endpoints_if_these_are_forgotten() -> None:
    source, results = SlowSource(), []

    async def main() -> None:
        confirmation = _confirmation(source, FleetView(clock=anyio.current_time))
        for source.has_forgotten in (False, False, True):
            results.append(await confirmation.confirm())
            await anyio.sleep(READ_SECONDS)

    run_in_virtual_time(main)

    assert results == [True] * 3
    assert source.changes_reads == 2
    assert source.reads == 3


# Guards against an answer that is older than the question.
def test_call_during_a_read_reads_again() -> None:
    source = SlowSource()

    async def main() -> None:
        confirmation = _confirmation(source, FleetView(clock=anyio.current_time))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(confirmation.confirm)
            await anyio.sleep(READ_SECONDS / 2)
            tasks.start_soon(confirmation.confirm)

    run_in_virtual_time(main)

    assert source.reads == 2


def test_store_that_is_away_confirms_nothing_and_is_not_asked_at_once() -> None:
    source, results = SlowSource(), []
    source.away = True

    async def main() -> None:
        confirmation = _confirmation(source, FleetView(clock=anyio.current_time))
        for pause in (0.0, 0.0, FAILURE_COOLDOWN_SECONDS):
            await anyio.sleep(pause)
            results.append(await confirmation.confirm())

    run_in_virtual_time(main)

    assert results == [False] * 3
    assert source.reads == 2
