from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.exceptions import PlatformAnswerLost
from dotterelpaddle.forwarding.revisions import FIRST_ERA
from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
from dotterelpaddle.ids import Revision, RouterId, StoreEra
from dotterelpaddle.registry.interface import RegistryRow, RegistryRows
from dotterelpaddle.registry.known import (
    ACTIVE_SECONDS,
    EXPIRY_SECONDS,
    JOIN_SECONDS,
    MAX_SUMMARY_AGE_SECONDS,
    SIMULTANEOUS_SECONDS,
    KnownRegistry,
    RegistryObstacle,
)
from dotterelpaddle.registry.service import (
    HEARING_SECONDS,
    MAX_UNTOLD_SECONDS,
    READ_INTERVAL_SECONDS,
    RENEWAL_SECONDS,
    TELLING_SECONDS,
    RouterRegistry,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

OLD_SECONDS = 1000.0


@dataclass(kw_only=True)
class Store:
    """The registry's rows, on a store with a clock of its own.

    Attributes:
        now: Time on the clocks of the routers' hosts.
        ahead: Seconds by which the store's clock is ahead of them.
    """

    now: float = OLD_SECONDS
    ahead: float = 0.0
    era: StoreEra = FIRST_ERA
    rows: dict[RouterId, RegistryRow] = field(default_factory=dict)
    revision: int = 0
    answers_writes: bool = True
    reads_of_all: int = 0

    def _answer(self, rows: Mapping[RouterId, RegistryRow]) -> RegistryRows:
        as_of = StoreTime(era=self.era, seconds=self.now + self.ahead)
        return RegistryRows(rows=dict(rows), as_of=as_of)

    async def router_row(self, *, router: RouterId) -> RegistryRows:
        found = self.rows.get(router)
        return self._answer({} if found is None else {router: found})

    async def router_rows(self) -> RegistryRows:
        self.reads_of_all += 1
        return self._answer(self.rows)

    async def put_router_row(self, *, router: RouterId, row: bytes) -> None:
        self.revision += 1
        self.rows[router] = RegistryRow(value=row, revision=Revision(self.revision))
        if not self.answers_writes:
            raise PlatformAnswerLost("no answer", peer="store")

    async def remove_router_rows(self, *, rows: Mapping[RouterId, RegistryRow]) -> None:
        if all(self.rows.get(router) == row for router, row in rows.items()):
            for router in rows:
                del self.rows[router]


class Process:
    """A process of a router."""

    def __init__(self, *, store: Store, name: str = "r1", reads: bool = True) -> None:
        self.store = store
        self.clock = StoreClock(clock=lambda: store.now)
        self.known = KnownRegistry(store_clock=self.clock, clock=lambda: store.now)
        self.registry = RouterRegistry(
            router=RouterId(name),
            store=store,
            known=self.known,
            is_reader=lambda: reads,
            store_clock=self.clock,
            clock=lambda: store.now,
            generator=random.Random(1),
        )

    def run(self, *, seconds: float) -> None:
        """Let the process do what is due for a while."""
        for _ in range(round(seconds)):
            anyio.run(self.registry.synchronize)
            self.store.now += 1.0


def test_first_routers_of_a_fleet_count_each_other_within_seconds() -> None:
    store = Store()
    fleet = [Process(store=store, name=f"r{number}") for number in range(3)]
    for _ in range(round(2 * SIMULTANEOUS_SECONDS)):
        for process in fleet:
            anyio.run(process.registry.synchronize)
        store.now += 1.0

    assert [process.known.routers for process in fleet] == [3, 3, 3]


# Guards against a router that divides a bound while others, who can't have read of it
# yet, divide it by fewer.
def test_router_that_joins_waits_until_all_others_count_it() -> None:
    store = Store()
    Process(store=store, name="r1").run(seconds=60)
    joining = Process(store=store, name="r2")

    joining.run(seconds=MAX_SUMMARY_AGE_SECONDS)
    assert joining.known.obstacle is RegistryObstacle.JOINING

    joining.run(seconds=JOIN_SECONDS)
    assert joining.known.routers == 2


def test_later_process_of_a_router_counts_at_once() -> None:
    store = Store()
    Process(store=store).run(seconds=60)
    later = Process(store=store)

    later.run(seconds=HEARING_SECONDS + 1)

    assert later.known.routers == 1


def test_summary_is_relied_on_for_a_while_only() -> None:
    store = Store()
    process = Process(store=store)
    process.run(seconds=60)

    store.now += MAX_SUMMARY_AGE_SECONDS / 2
    assert process.known.routers == 1
    store.now += MAX_SUMMARY_AGE_SECONDS
    assert process.known.routers is None
    assert process.known.recent_routers == 1
    store.now += EXPIRY_SECONDS
    assert process.known.recent_routers == 0


# Guards against a number that routers which start during an outage of the store pass on
# to each other for good.
def test_summary_is_told_only_by_those_who_know_its_age() -> None:
    store = Store()
    first = Process(store=store, name="r1")
    first.run(seconds=60)
    without_store = Process(store=store, name="r2")
    without_store.known.receive(summary=first.known.to_tell)

    assert without_store.known.active_routers == 1
    assert without_store.known.to_tell is None
    store.now += EXPIRY_SECONDS + 1
    assert first.known.to_tell is None


def test_registration_that_is_not_renewed_expires_and_its_row_goes() -> None:
    store = Store()
    Process(store=store, name="r1").run(seconds=5)
    process = Process(store=store, name="r2")

    process.run(seconds=EXPIRY_SECONDS / 2)
    assert process.known.routers == 2
    process.run(seconds=EXPIRY_SECONDS)
    assert process.known.routers == 1
    assert set(store.rows) == {"r2"}


# Guards against owners that grant no slots for long, as many routers are gone for good.
def test_router_that_has_gone_soon_counts_as_not_running() -> None:
    store = Store()
    Process(store=store, name="r1").run(seconds=5)
    process = Process(store=store, name="r2")

    process.run(seconds=5)
    assert process.known.active_routers == 2
    process.run(seconds=ACTIVE_SECONDS + READ_INTERVAL_SECONDS)
    assert process.known.active_routers == 1
    assert process.known.routers == 2


# Guards against owners on two sides of a cut that start after a long time without any.
def test_router_that_starts_after_a_long_time_runs_at_once() -> None:
    store = Store()
    Process(store=store, name="r1").run(seconds=5)
    store.now += 2 * ACTIVE_SECONDS
    Process(store=store, name="r1").run(seconds=1)
    other = Process(store=store, name="r2")
    other.run(seconds=HEARING_SECONDS + 1)

    assert other.known.active_routers == 2


def test_running_router_renews_its_registration() -> None:
    store = Store()
    process = Process(store=store)

    process.run(seconds=3 * EXPIRY_SECONDS)

    assert process.known.routers == 1
    assert store.revision <= 2 + 3 * EXPIRY_SECONDS / RENEWAL_SECONDS


def test_row_that_nobody_can_read_counts_as_a_router() -> None:
    store = Store()
    store.rows[RouterId("odd")] = RegistryRow(value=b"[", revision=Revision(1))
    process = Process(store=store)

    process.run(seconds=JOIN_SECONDS + 5)

    assert process.known.routers == 2


# Guards against a router that does not wait after another writer spoilt its row.
def test_router_writes_its_own_row_anew_if_nobody_can_read_it() -> None:
    store = Store()
    Process(store=store, name="r1").run(seconds=60)
    store.rows[RouterId("r2")] = RegistryRow(value=b"[", revision=Revision(1))
    process = Process(store=store, name="r2")

    process.run(seconds=READ_INTERVAL_SECONDS)

    assert process.known.obstacle is RegistryObstacle.JOINING


# Guards against a router that relies on a row which a copy of the store does not have.
def test_store_back_from_a_copy_loses_no_router() -> None:
    store = Store()
    first, second = Process(store=store, name="r1"), Process(store=store, name="r2")
    for _ in range(round(JOIN_SECONDS) + 10):
        for process in (first, second):
            anyio.run(process.registry.synchronize)
        store.now += 1.0
    del store.rows[RouterId("r2")]
    store.era, store.ahead = StoreEra(1), 5.0 - store.now
    first.run(seconds=2 * READ_INTERVAL_SECONDS)

    second.known.receive(summary=first.known.summary)
    assert second.known.routers is None
    second.run(seconds=JOIN_SECONDS + 5)
    assert second.known.routers == 2


def test_write_without_an_answer_is_read_back() -> None:
    store = Store(answers_writes=False)
    process = Process(store=store)
    with pytest.raises(PlatformAnswerLost):
        process.run(seconds=1)
    process.run(seconds=2 * SIMULTANEOUS_SECONDS)

    assert process.known.routers == 1


def test_router_whose_peers_tell_nothing_reads_by_itself() -> None:
    store = Store()
    process = Process(store=store, reads=False)

    process.run(seconds=TELLING_SECONDS)
    assert store.reads_of_all == 0
    process.run(seconds=60)
    assert 0 < store.reads_of_all <= 60 / MAX_UNTOLD_SECONDS + 1
