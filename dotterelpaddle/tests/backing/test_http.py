from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.backing.http import open_platform
from dotterelpaddle.backing.interface import (
    Check,
    Host,
    HostState,
    Transaction,
    Write,
)
from dotterelpaddle.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
    TableConflict,
)
from dotterelpaddle.ids import AttemptId, FailureDomain, Revision, RouterId
from dotterelpaddle.links import Links
from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.standins.platform import (
    PlatformSettings,
    PlatformStandin,
    run_platform,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.backing.interface import Platform

pytestmark = pytest.mark.anyio

LOOPBACK = Address(host="127.0.0.1", port=0)
SHORT = 0.3
LONG = 10.0


@asynccontextmanager
async def _open(
    *, timeout: float = LONG, links: Links | None = None, token: str = "secret"
) -> AsyncIterator[tuple[PlatformStandin, Platform]]:
    settings = PlatformSettings(token="secret", host_lag=0.0)
    async with (
        run_platform(address=LOOPBACK, settings=settings) as standin,
        open_platform(
            url=f"http://{standin.address}/",
            token=token,
            timeout=timeout,
            links=links or Links(),
        ) as platform,
    ):
        with anyio.fail_after(20):
            yield standin, platform


def _put(
    name: str, expected: int | None, value: bytes | None = b"\x00v"
) -> Transaction:
    revision = None if expected is None else Revision(expected)
    return Transaction(
        attempt=AttemptId(f"{name}-{expected}"),
        writes=(Write(key=name, expected=revision, value=value),),
    )


async def test_tables_keep_values_tombstones_and_attempts():
    async with _open() as (_, platform):
        table = platform.records
        first = await table.transact(transaction=_put("a", 0))
        assert (await table.read(keys=("a", "none")))[0].value == b"\x00v"
        await table.transact(transaction=_put("a", first.revision, None))
        page = await table.changes(after=Revision(0), limit=10)
        assert [(row.revision, row.value) for row in page.rows] == [(2, None)]
        assert (page.head, page.complete) == (2, True)
        assert await table.find_attempt(attempt=AttemptId("a-0")) == first
        assert await table.find_attempt(attempt=AttemptId("never ?")) is None
        assert (await platform.leases.changes(after=Revision(0), limit=1)).head == 0


async def test_conflict_brings_the_rows_that_stand_in_the_way():
    async with _open() as (_, platform):
        await platform.records.transact(transaction=_put("a", 0))
        with pytest.raises(TableConflict) as caught:
            await platform.records.transact(
                transaction=Transaction(
                    attempt=AttemptId("second"),
                    writes=(Write(key="b", expected=Revision(0), value=b"x"),),
                    checks=(Check(key="a", expected=Revision(7)),),
                )
            )
        (row,) = caught.value.rows
        assert (row.key, row.revision, row.attempt) == ("a", 1, "a-0")
        assert await platform.records.read(keys=("b",)) == ()


async def test_objects_hosts_and_reservations():
    async with _open() as (_, platform):
        assert await platform.objects.get(name="catalog/none") is None
        await platform.objects.put(name="catalog/a b", content=b"\xff\x00")
        assert await platform.objects.get(name="catalog/a b") == b"\xff\x00"
        host = Host(
            router=RouterId("r-1"),
            address=Address(host="127.0.0.1", port=9),
            failure_domain=FailureDomain("a"),
            state=HostState.LEAVING,
        )
        await platform.hosts.register(host=host)
        assert await platform.hosts.hosts() == (host,)
        await platform.hosts.deregister(router=RouterId("r-1"))
        assert await platform.hosts.hosts() == ()
        assert await platform.weights.reserve(name="m", size=10) >= 0.0


@pytest.mark.parametrize(
    ("kind", "error"),
    [
        (FaultKind.OUTAGE, PlatformUnavailable),
        (FaultKind.WRITE_LOST, PlatformAnswerLost),
        (FaultKind.ANSWER_LOST, PlatformAnswerLost),
        (FaultKind.SILENT, PlatformAnswerLost),
    ],
)
async def test_failed_write_is_lost_unless_it_certainly_did_nothing(kind, error):
    async with _open(timeout=SHORT) as (standin, platform):
        standin.faults.switch_on(kind=kind, count=1)
        with pytest.raises(PlatformError) as caught:
            await platform.records.transact(transaction=_put("a", 0))
        assert type(caught.value) is error
        commit = await platform.records.find_attempt(attempt=AttemptId("a-0"))
        assert (commit is not None) == (kind is FaultKind.ANSWER_LOST)


async def test_nobody_listening_means_nothing_took_effect():
    async with _open() as (standin, _):
        address = standin.address
    async with open_platform(
        url=f"http://{address}", token="", timeout=SHORT, links=Links()
    ) as platform:
        with pytest.raises(PlatformUnavailable):
            await platform.records.transact(transaction=_put("a", 0))


async def test_wrong_token_is_an_error_and_no_lost_answer():
    async with _open(token="wrong") as (_, platform):
        with pytest.raises(PlatformUnavailable, match="401"):
            await platform.records.transact(transaction=_put("a", 0))


async def test_read_goes_on_over_a_new_connection_when_the_open_one_is_silent():
    async with _open(timeout=2.0) as (standin, platform):
        await platform.records.read(keys=("a",))
        standin.faults.switch_on(kind=FaultKind.SILENT, count=1)
        assert await platform.records.read(keys=("a",)) == ()


async def test_cut_link_before_and_while_a_write_is_on_its_way():
    links = Links()
    async with _open(timeout=SHORT, links=links) as (standin, platform):
        cut = frozenset({standin.address})
        links.cut(peers=cut)
        with pytest.raises(PlatformUnavailable):
            await platform.records.transact(transaction=_put("a", 0))
        links.heal()
        await platform.records.read(keys=("a",))
        links.cut(peers=cut)
        with pytest.raises(PlatformAnswerLost):
            await platform.records.transact(transaction=_put("a", 0))
        links.heal()
        await platform.records.read(keys=("a",))


async def test_damaged_answer_to_a_write_counts_as_lost(monkeypatch):
    async with _open() as (_, platform):
        monkeypatch.setattr(
            "dotterelpaddle.standins.platform_app.reply", lambda **_: _damaged()
        )
        with pytest.raises(PlatformAnswerLost):
            await platform.records.transact(transaction=_put("a", 0))
        with pytest.raises(PlatformUnavailable):
            await platform.records.read(keys=("a",))


def _damaged():
    from starlette.responses import Response

    return Response(content=b'{"revis')
