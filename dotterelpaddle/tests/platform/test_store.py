"""Tests calling the store, also one that comes back from a copy, at its stand-in."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.exceptions import (
    HistoryLost,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from dotterelpaddle.ids import RouterId
from dotterelpaddle.links import Links
from dotterelpaddle.peers.learned_rows import LearnedRows
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.platform.names import Table
from dotterelpaddle.platform.router_rows import RouterRowsSource
from dotterelpaddle.platform.store import StoreSource
from dotterelpaddle.standins.store import Cutting, Refusing, StoreStandin, run_store
from dotterelpaddle.tests.platform.test_protocols import ENTRY
from dotterelpaddle.tests.revisions import revision_at

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def _running(store: StoreStandin) -> AsyncIterator[StoreSource]:
    for name in ("a", "b"):
        store.put(table=Table.ENDPOINTS, key=name, value=ENTRY)
    async with run_store(store=store) as address:
        source = StoreSource(
            address=address, documents=PlatformDocumentDecoder(), links=Links()
        )
        yield source
        await source.aclose()


async def test_position_names_the_era() -> None:
    async with _running(StoreStandin(era=3)) as source:
        assert (await source.endpoints()).revision == revision_at(2, era=3)


async def test_store_without_eras_is_read() -> None:
    async with _running(StoreStandin(era=None)) as source:
        read = await source.endpoints()
        again = await source.endpoints_after(after=read.revision, wait=0.0)

    assert read.revision == again.revision == revision_at(2)


async def test_changes_after_a_position_of_an_earlier_era_are_lost() -> None:
    store = StoreStandin()
    async with _running(store) as source:
        read = await source.endpoints()
        store.return_from_copy(revision=1)
        for _ in range(3):
            store.put(table=Table.ENDPOINTS, key="a", value=ENTRY)

        with pytest.raises(HistoryLost, match="era is 1, not 0"):
            await source.endpoints_after(after=read.revision, wait=0.0)


async def test_watch_held_open_across_the_return_is_lost() -> None:
    store = StoreStandin()
    lost: list[HistoryLost] = []
    async with _running(store) as source, anyio.create_task_group() as tasks:
        read = await source.endpoints()

        async def watch() -> None:
            with pytest.raises(HistoryLost) as raised:
                await source.endpoints_after(after=read.revision, wait=20.0)
            lost.append(raised.value)

        tasks.start_soon(watch)
        while len(store.calls) < 2:
            await anyio.sleep(0.001)
        store.return_from_copy(revision=1)

    assert lost


async def test_pages_of_two_eras_are_no_listing() -> None:
    store = StoreStandin(page_rows=1)
    async with _running(store) as source:
        store.return_before_page = 2

        with pytest.raises(HistoryLost):
            await source.endpoints()
        assert len((await source.endpoints()).entries) == 2


async def test_answer_of_an_earlier_era_is_no_answer() -> None:
    store = StoreStandin(era=2)
    async with _running(store) as source:
        await source.endpoints()
        store.era = 1

        with pytest.raises(PlatformUnavailable, match="era 1, but has named era 2"):
            await source.endpoints()


async def test_error_of_an_invalid_era_names_it() -> None:
    store = StoreStandin()
    async with _running(store) as source:
        store.era = -1

        with pytest.raises(PlatformUnavailable, match="era .* is b'-1', not a number"):
            await source.endpoints()


async def test_rows_of_streams_round_trip() -> None:
    store = StoreStandin(page_rows=1)
    rows = {"versions": b"{}", "records-000-0": b"[]"}
    async with _running(store) as source:
        await source.put_stream_rows(rows=rows)

        assert await source.stream_rows() == rows


async def test_rows_of_what_was_learned_round_trip() -> None:
    async with _running(StoreStandin()) as source:
        assert await source.learned_rows() == LearnedRows()

        await source.put_learned_rows(rows=LearnedRows(crashes=b"{}"))
        await source.put_learned_rows(rows=LearnedRows(brittle=b"[]"))

        assert await source.learned_rows() == LearnedRows(crashes=b"{}", brittle=b"[]")


async def test_refused_write_is_no_success() -> None:
    store = StoreStandin()
    async with _running(store) as source:
        store.condition = Refusing(status=429)

        with pytest.raises(PlatformUnavailable, match="429"):
            await source.put_stream_rows(rows={"versions": b"{}"})


async def test_write_without_an_answer_may_have_taken_effect() -> None:
    store = StoreStandin()
    async with _running(store) as source:
        store.condition = Cutting()

        with pytest.raises(PlatformAnswerLost):
            await source.put_stream_rows(rows={"versions": b"{}"})


async def test_rows_of_routers_are_read_one_by_one_and_all_at_once() -> None:
    async with _running(StoreStandin()) as source:
        registry = RouterRowsSource(source=source)
        for name in ("router-1", "router-10", "router-2"):
            await registry.put_router_row(router=RouterId(name), row=name.encode())

        one = await registry.router_row(router=RouterId("router-1"))
        none = await registry.router_row(router=RouterId("router-3"))
        everyone = await registry.router_rows()

    assert [row.value for row in one.rows.values()] == [b"router-1"]
    assert one.as_of is not None
    assert not none.rows
    assert len(everyone.rows) == 3


# Guards against a row that a router renews while another one removes it.
async def test_row_of_a_router_that_has_changed_is_not_removed() -> None:
    router = RouterId("router-1")
    async with _running(StoreStandin()) as source:
        registry = RouterRowsSource(source=source)
        await registry.put_router_row(router=router, row=b"1")
        old = (await registry.router_rows()).rows
        await registry.put_router_row(router=router, row=b"2")

        await registry.remove_router_rows(rows=old)
        kept = (await registry.router_rows()).rows
        await registry.remove_router_rows(rows=kept)
        left = (await registry.router_rows()).rows

    assert kept[router].value == b"2"
    assert not left
