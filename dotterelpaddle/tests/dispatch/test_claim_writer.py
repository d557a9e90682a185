from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

import anyio
import pytest

from dotterelpaddle.backing.interface import Transaction, Write
from dotterelpaddle.dispatch.claim_results import Met, Refused, Written
from dotterelpaddle.dispatch.claim_sweeper import CURSOR_KEY, ClaimSweeper
from dotterelpaddle.dispatch.claim_writer import ClaimWriter
from dotterelpaddle.dispatch.claims import Claim, ClaimState, encode_claim
from dotterelpaddle.exceptions import (
    PlatformAnswerLost,
    PlatformUnavailable,
    TableConflict,
)
from dotterelpaddle.ids import AttemptId, RequestId, Revision, RouterId
from dotterelpaddle.standins.table import AttemptFenced, Conflict, MemoryTable

pytestmark = pytest.mark.anyio

NEW = Revision(0)


class FaultyTable:
    """A table in memory whose next answers can go wrong."""

    def __init__(self):
        self.memory = MemoryTable()
        self.faults: list[str] = []
        self.gate = anyio.Event()
        self.gate.set()
        self.sizes: list[int] = []

    async def transact(self, *, transaction):
        await self.gate.wait()
        self.sizes.append(len(transaction.writes))
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "down":
            raise PlatformUnavailable("down")
        if fault == "lost before":
            raise PlatformAnswerLost("lost")
        try:
            commit = self.memory.transact(transaction=transaction)
        except Conflict as conflict:
            raise TableConflict("conflict", rows=conflict.rows) from conflict
        except AttemptFenced as fenced:
            raise PlatformUnavailable("fenced") from fenced
        if fault == "lost after":
            raise PlatformAnswerLost("lost")
        return commit

    async def find_attempt(self, *, attempt):
        if self.faults and self.faults[0] == "down":
            self.faults.pop(0)
            raise PlatformUnavailable("down")
        return self.memory.find_attempt(attempt=attempt)

    async def read(self, *, keys):
        return self.memory.read(keys=keys)

    async def changes(self, *, after, limit):
        return self.memory.changes(after=after, limit=limit)

    def value(self, key):
        rows = self.memory.read(keys=(key,))
        return rows[0].value if rows else None


@asynccontextmanager
async def running_writer():
    table = FaultyTable()
    writer = ClaimWriter(table=table)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writer.run)
        await anyio.wait_all_tasks_blocked()
        with anyio.fail_after(10):
            yield writer, table
        tasks.cancel_scope.cancel()


def claim_write(key, value=b"x"):
    return Write(key=key, expected=NEW, value=value)


async def write_all(writer, keys):
    results = {}

    async def one(key):
        results[key] = await writer.write(write=claim_write(key), undo=True)

    async with anyio.create_task_group() as tasks:
        for key in keys:
            tasks.start_soon(one, key)
    return results


async def test_claims_that_gather_share_a_transaction():
    async with running_writer() as (writer, table):
        table.gate = anyio.Event()
        keys = [f"k{index}" for index in range(40)]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write_all, writer, keys)
            await anyio.wait_all_tasks_blocked()
            table.gate.set()
        assert table.sizes == [40]


async def test_one_conflict_does_not_hold_up_the_others():
    async with running_writer() as (writer, table):
        await writer.write(write=claim_write("k1", b"old"))
        results = await write_all(writer, ["k0", "k1", "k2"])
        assert isinstance(results["k0"], Written)
        assert isinstance(results["k2"], Written)
        met = results["k1"]
        assert isinstance(met, Met)
        assert met.row is not None
        assert met.row.value == b"old"


async def test_of_two_claims_for_a_key_one_wins():
    async with running_writer() as (writer, _):
        results = []

        async def one():
            results.append(await writer.write(write=claim_write("k")))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one)
            tasks.start_soon(one)
        assert sorted(type(result).__name__ for result in results) == ["Met", "Written"]


@pytest.mark.parametrize(
    ("faults", "kind"),
    [
        (["lost after"], Written),
        (["lost before"], Written),
        (["down", "down"], Written),
        (["down", "down", "down"], Refused),
        (["lost before", "down"], Refused),
        (["lost after", "down"], Refused),
    ],
)
async def test_a_claim_is_held_only_if_that_is_certain(faults, kind):
    async with running_writer() as (writer, table):
        table.faults = faults
        result = await writer.write(write=claim_write("k"), undo=True)
        assert isinstance(result, kind)
        if kind is Written:
            assert table.value("k") == b"x"
            return
        # What took effect all the same is cleared up once the table is back.
        await writer.clear_strays()
        await anyio.wait_all_tasks_blocked()
        assert table.value("k") is None
        assert writer.strays == 0


async def test_a_fault_of_the_client_refuses_and_does_not_hang():
    table = FaultyTable()

    async def broken(**_):
        raise KeyError("revision")

    table.transact = broken  # type: ignore[method-assign]
    writer = ClaimWriter(table=table)
    task = asyncio.ensure_future(writer.run())
    await anyio.wait_all_tasks_blocked()
    with anyio.fail_after(10):
        assert isinstance(await writer.write(write=claim_write("k")), Refused)
    with pytest.raises(KeyError):
        await task


async def test_a_claim_whose_request_is_gone_is_deleted():
    async with running_writer() as (writer, table):
        table.gate = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write_all, writer, ["k"])
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
        table.gate.set()
        await anyio.wait_all_tasks_blocked()
        assert len(table.sizes) == 2
        assert table.value("k") is None


def expiring(key, expires_at):
    claim = Claim(
        state=ClaimState.UNKNOWN,
        router=RouterId("r"),
        request_id=RequestId("q"),
        digest="",
        running_until=0.0,
        expires_at=expires_at,
    )
    return Write(key=key, expected=NEW, value=encode_claim(claim=claim))


async def test_sweeping_deletes_what_expired_and_nothing_else():
    table = FaultyTable()
    for index in range(600):
        write = expiring(f"a/{index}", 10.0 if index < 400 else 30.0)
        table.memory.transact(
            transaction=Transaction(attempt=AttemptId(f"t{index}"), writes=(write,))
        )

    sweeper = ClaimSweeper(
        table=table, generator=random.Random(0), wall_clock=lambda: 20.0
    )
    assert await sweeper.sweep()
    assert await sweeper.sweep() is False or sweeper.deleted == 400
    assert sweeper.deleted == 400
    assert table.value("a/399") is None
    assert table.value("a/400") is not None
    assert int(table.value(CURSOR_KEY)) == 400
