from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import pytest

from dotterelpaddle.backing.http import open_platform
from dotterelpaddle.exceptions import LeaseLost
from dotterelpaddle.ids import LeaseEpoch, RouterId
from dotterelpaddle.leases.service import run_lease
from dotterelpaddle.leases.settings import LeaseSettings
from dotterelpaddle.links import Links
from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.standins.platform import run_platform
from dotterelpaddle.tests.standins.calls import ANYWHERE, quick, until

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

QUICK = LeaseSettings(
    duration=0.6, margin=0.2, renew_every=0.1, poll_every=0.05, retry_every=0.02
)


@asynccontextmanager
async def leases():
    async with (
        quick(run_platform(address=ANYWHERE)) as standin,
        open_platform(
            url=f"http://{standin.address}", token="", timeout=0.2, links=Links()
        ) as platform,
    ):
        yield standin, platform.leases


def lease(table, name, **extra):
    return run_lease(
        name="booth-model",
        holder=RouterId(name),
        table=table,
        settings=QUICK,
        **extra,
    )


async def test_a_release_hands_over_with_the_next_epoch():
    async with leases() as (_, table), lease(table, "b") as second:
        second.contending = False
        async with lease(table, "a") as first:
            await until(lambda: first.held)
            second.contending = True
            assert first.check() == LeaseEpoch(1)
        assert not first.held
        await until(lambda: second.held)
        assert second.epoch == LeaseEpoch(2)


async def test_a_resigned_lease_is_left_to_others_for_a_while():
    async with leases() as (_, table), lease(table, "a") as first:
        await until(lambda: first.held)
        async with lease(table, "b") as second:
            first.resign(seconds=0.3)
            assert not first.held
            await until(lambda: second.held)
            assert second.epoch == LeaseEpoch(2)
        await until(lambda: first.held)
        assert first.epoch == LeaseEpoch(3)


@pytest.mark.parametrize("kind", [FaultKind.ANSWER_LOST, FaultKind.WRITE_LOST])
async def test_lost_answers_are_resolved(kind):
    async with leases() as (standin, table):
        standin.faults.switch_on(kind=kind, count=2)
        async with lease(table, "a") as first:
            await until(lambda: first.held)
            assert first.epoch == LeaseEpoch(1)
            standin.faults.switch_on(kind=kind, count=2)
            await until(lambda: standin.faults.hits[kind] == 4)
            assert first.check() == LeaseEpoch(1)


async def test_an_outage_ends_the_tenure_and_a_later_one_has_another_epoch():
    async with leases() as (standin, table), lease(table, "a") as first:
        await until(lambda: first.held)
        epoch = first.epoch
        standin.faults.switch_on(kind=FaultKind.OUTAGE)
        await until(lambda: not first.held)
        standin.faults.switch_off()
        await until(lambda: first.held)
        with pytest.raises(LeaseLost):
            first.check(epoch=epoch)


async def test_a_paused_holder_knows_when_it_wakes():
    shift = [0.0]

    def _clock():
        return anyio.current_time() + shift[0]

    async with leases() as (standin, table), lease(table, "a", clock=_clock) as first:
        await until(lambda: first.held)
        # While paused, the process runs nothing and its clock goes on.
        shift[0] = 10.0
        with pytest.raises(LeaseLost):
            first.check()


async def test_an_act_longer_than_the_lease_is_not_begun():
    async with leases() as (_, table), lease(table, "a") as first:
        await until(lambda: first.held)
        first.check(seconds=0.01)
        with pytest.raises(LeaseLost):
            first.check(seconds=5.0)
