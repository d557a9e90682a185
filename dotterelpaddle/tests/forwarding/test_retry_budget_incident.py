"""Routers that retry as often as they may, while some start again or hear no others."""

from __future__ import annotations

import random
from bisect import bisect_left
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from dotterelpaddle.exceptions import PlatformUnavailable
from dotterelpaddle.forwarding.request_totals import RequestTotals, TotalsTracker
from dotterelpaddle.forwarding.revisions import FIRST_ERA
from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
from dotterelpaddle.ids import FailureDomain, Revision, RouterId, ServiceName
from dotterelpaddle.registry.fleet_size import FleetSize
from dotterelpaddle.registry.interface import RegistryRow, RegistryRows
from dotterelpaddle.registry.known import KnownRegistry
from dotterelpaddle.registry.service import RouterRegistry
from dotterelpaddle.retries.budget import RetryBudget, RetryLimits
from dotterelpaddle.tests.owners.hosts import SEED_ADDRESSES, build_router

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

SERVICE = ServiceName("pool")
HERE = FailureDomain("here")
LIMITS = RetryLimits(share=0.2, allowance=52.0, window=10.0)
STEP_SECONDS = 0.05
REPORT_STEPS = 4
REGISTRY_STEPS = 20
REQUESTS_PER_SECOND = 100.0
TRAFFIC_FROM = 12.0
FAILURES_FROM = 16.0
END = 40.0
FLEET_SIZES = (3, 6, 20)
MIN_USED_SHARE = 0.6


@dataclass(frozen=True, kw_only=True)
class FleetRegistryStore:
    """The registry's rows, as one router reaches them."""

    router: Router

    def _rows(self) -> dict[RouterId, RegistryRow]:
        if not self.router.reaches_store:
            raise PlatformUnavailable("the store is away", peer="store")
        return self.router.fleet.rows

    def _answer(self, rows: Mapping[RouterId, RegistryRow]) -> RegistryRows:
        now = StoreTime(era=FIRST_ERA, seconds=self.router.fleet.now)
        return RegistryRows(rows=dict(rows), as_of=now)

    async def router_row(self, *, router: RouterId) -> RegistryRows:
        rows = self._rows()
        return self._answer({router: rows[router]} if router in rows else {})

    async def router_rows(self) -> RegistryRows:
        return self._answer(self._rows())

    async def put_router_row(self, *, router: RouterId, row: bytes) -> None:
        self._rows()[router] = RegistryRow(value=row, revision=Revision(1))

    async def remove_router_rows(self, *, rows: Mapping[RouterId, RegistryRow]) -> None:
        for router in rows:
            self._rows().pop(router, None)


@dataclass(kw_only=True)
class Router:
    """One router, in whatever process it runs at the moment."""

    name: str
    fleet: Fleet
    group: int = 0
    frozen: bool = False
    reaches_store: bool = True

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Start a process that knows nothing, and hears all others at once."""
        self.totals = TotalsTracker(failure_domain=HERE, clock=self._clock)
        self.store_clock = StoreClock(clock=self._clock)
        self.known = KnownRegistry(store_clock=self.store_clock, clock=self._clock)
        self.registry = RouterRegistry(
            router=RouterId(self.name),
            store=FleetRegistryStore(router=self),
            known=self.known,
            is_reader=lambda: self.fleet.reader_of(self.group) is self,
            store_clock=self.store_clock,
            clock=self._clock,
            generator=random.Random(self.name),
        )
        self.fleet_size = FleetSize(
            heard=lambda: self.totals.router_count,
            has_seeds=True,
            registered=lambda: self.known.routers,
            clock=self._clock,
        )
        self.budget = RetryBudget(
            limits=LIMITS,
            routers=lambda: self.fleet_size.count,
            clock=self._clock,
        )

    def synchronize(self) -> None:
        """Let the registry do what is due, with a store that answers at once."""
        with suppress(PlatformUnavailable), suppress(StopIteration):
            self.registry.synchronize().send(None)

    def _clock(self) -> float:
        return self.fleet.now


@dataclass(kw_only=True)
class Fleet:
    """Routers that report to all others of their group, and requests that fail."""

    size: int
    failures_from: float = FAILURES_FROM
    now: float = 0.0
    routers: list[Router] = field(default_factory=list)
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    rows: dict[RouterId, RegistryRow] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.add(count=self.size)

    def add(self, *, count: int) -> None:
        """Add routers."""
        first = len(self.routers)
        for number in range(first, first + count):
            self.routers.append(Router(name=f"r{number}", fleet=self))

    def step(self, *, number: int, generator: random.Random) -> None:
        """Send the requests of one step; all routers retry as often as they may."""
        self.now = number * STEP_SECONDS
        running = [each for each in self.routers if not each.frozen]
        if self.now >= TRAFFIC_FROM:
            for _ in range(round(REQUESTS_PER_SECOND * STEP_SECONDS)):
                generator.choice(running).budget.count_request(service=SERVICE)
                self.requests.append(self.now)
        if self.now >= self.failures_from:
            for router in running:
                while router.budget.acquire(service=SERVICE):
                    self.retries.append(self.now)
        if number % REGISTRY_STEPS == 0:
            for router in running:
                router.synchronize()
        if number % REPORT_STEPS == 0:
            self._report()

    def reader_of(self, group: int) -> Router | None:
        """Return the router that reads the registry for those of its group."""
        return next(
            (
                router
                for router in self.routers
                if router.group == group and router.reaches_store and not router.frozen
            ),
            None,
        )

    def _report(self) -> None:
        for sender in self.routers:
            totals = RequestTotals(retries=sender.budget.counts())
            for recipient in self.routers:
                if recipient is not sender and recipient.group == sender.group:
                    recipient.totals.receive(
                        router=RouterId(sender.name),
                        failure_domain=HERE,
                        totals=totals,
                    )
                    recipient.known.receive(summary=sender.known.summary)

    def worst_excess(self) -> float:
        """Return the most retries of any window beyond what its requests allow."""
        return max(
            self._count(self.retries, start) - self._allowed(start)
            for start in self.retries
        )

    def largest_share(self) -> float:
        """Return the retries of any window as the largest share of what is allowed."""
        return max(
            self._count(self.retries, start) / self._allowed(start)
            for start in self.retries
        )

    def _allowed(self, start: float) -> float:
        window = LIMITS.window
        requests = max(
            self._count(self.requests, first)
            for first in (start, start - window / 2, start - window)
        )
        return LIMITS.share * requests + LIMITS.allowance

    def _count(self, times: list[float], start: float) -> int:
        end = start + LIMITS.window
        return bisect_left(times, end) - bisect_left(times, start)


def _restart_all(fleet: Fleet) -> None:
    for router in fleet.routers:
        router.start()


def _restart_in_turn(fleet: Fleet) -> None:
    fleet.routers[round(fleet.now) % len(fleet.routers)].start()


def _cut_in_halves(fleet: Fleet) -> None:
    for number, router in enumerate(fleet.routers):
        router.group = number % 2


def _connect(fleet: Fleet) -> None:
    for router in fleet.routers:
        router.group = 0


def _cut_each_off(fleet: Fleet) -> None:
    for number, router in enumerate(fleet.routers):
        router.group = number


def _freeze_half(fleet: Fleet) -> None:
    for router in fleet.routers[::2]:
        router.frozen = not router.frozen


def _restart_all_in_a_cut(fleet: Fleet) -> None:
    _cut_in_halves(fleet)
    _restart_all(fleet)


def _restart_half_in_a_cut(fleet: Fleet) -> None:
    _cut_in_halves(fleet)
    for router in fleet.routers[::2]:
        router.start()


def _lose_half(fleet: Fleet) -> None:
    for router in fleet.routers[::2]:
        router.frozen = True


def _lose_all_but_one(fleet: Fleet) -> None:
    for router in fleet.routers[1:]:
        router.frozen = True


def _return_all(fleet: Fleet) -> None:
    for router in fleet.routers:
        if router.frozen:
            router.frozen = False
            router.start()


def _double(fleet: Fleet) -> None:
    fleet.add(count=len(fleet.routers))


Events: TypeAlias = "Mapping[float, Callable[[Fleet], None]]"

RESTARTS: Mapping[str, Events] = {
    "all": {18.0: _restart_all},
    "all twice": {17.0: _restart_all, 20.5: _restart_all},
    "all three times": {17.0: _restart_all, 19.0: _restart_all, 22.0: _restart_all},
    "in turn": {17.0 + number: _restart_in_turn for number in range(20)},
    "all while cut off": {15.0: _cut_each_off, 19.0: _restart_all},
}

MISSING_REPORTS: Mapping[str, Events] = {
    "between two reports": {},
    "cut in halves": {16.0: _cut_in_halves},
    "each cut off": {16.0: _cut_each_off},
    "half frozen": {17.0: _freeze_half, 18.0: _freeze_half},
    "fleet doubles": {17.0: _double},
}


def _restart_all_in_a_cut_without_store(fleet: Fleet) -> None:
    _lose_store(fleet)
    _restart_all_in_a_cut(fleet)


def _lose_store(fleet: Fleet) -> None:
    for router in fleet.routers:
        router.reaches_store = False


def _double_in_a_cut(fleet: Fleet) -> None:
    _double(fleet)
    for router in fleet.routers[len(fleet.routers) // 2 :]:
        router.group = 1


def _double_in_a_cut_from_the_store(fleet: Fleet) -> None:
    _lose_store(fleet)
    _double_in_a_cut(fleet)


STARTS_IN_A_CUT: Mapping[str, Events] = {
    "all": {14.0: _restart_all_in_a_cut},
    "all, which then are connected": {14.0: _restart_all_in_a_cut, 33.0: _connect},
    "half": {14.0: _restart_half_in_a_cut},
    "all of a cut fleet, twice": {
        2.0: _cut_in_halves,
        14.0: _restart_all,
        20.0: _restart_all,
    },
}

CUTS_FROM_THE_STORE: Mapping[str, Events] = {
    "all start in a cut, the store is away": {
        14.0: _restart_all_in_a_cut_without_store,
    },
    "fleet doubles in a cut": {8.0: _double_in_a_cut},
    "fleet doubles in a cut, where it doesn't reach the store": {
        8.0: _double_in_a_cut_from_the_store,
    },
}

MOVES: Mapping[str, Events] = {
    "half are lost": {26.1: _lose_half},
    "all but one are lost": {26.1: _lose_all_but_one},
    "half are lost and return": {26.1: _lose_half, 29.0: _return_all},
    "all but one are lost and return": {26.1: _lose_all_but_one, 29.0: _return_all},
}
"""Callers of routers that are lost move to others, ten seconds of requests later."""


def _play(
    *,
    size: int,
    events: Events,
    failures_from: float = FAILURES_FROM,
    end: float = END,
) -> Fleet:
    """Play some events, and return the fleet with what it has sent."""
    fleet = Fleet(size=size, failures_from=failures_from)
    generator = random.Random(size)
    due = {round(at / STEP_SECONDS): event for at, event in events.items()}
    for number in range(round(end / STEP_SECONDS)):
        if number in due:
            due[number](fleet)
        fleet.step(number=number, generator=generator)
    assert fleet.retries
    return fleet


def _over_budget(
    cases: Mapping[str, Events],
    *,
    failures_from: float = FAILURES_FROM,
    end: float = END,
) -> list[tuple[str, int, float]]:
    found = []
    for name, events in cases.items():
        for size in FLEET_SIZES:
            fleet = _play(
                size=size, events=events, failures_from=failures_from, end=end
            )
            excess = fleet.worst_excess()
            if excess > 0:
                found.append((name, size, excess))
    return found


# Guards against retries of an earlier process that are spent again after a restart.
def test_retries_of_restarted_routers_stay_within_the_budget() -> None:
    assert not _over_budget(RESTARTS)


# Guards against routers that each spend what all have left until the next report.
def test_retries_without_fresh_reports_stay_within_the_budget() -> None:
    assert not _over_budget(MISSING_REPORTS)


# Guards against routers that start in a network partition, count only those on their
# own side of it, and together spend the allowance several times. The failures begin
# once each of them has saved its part.
def test_retries_of_routers_that_start_in_a_cut_stay_within_the_budget() -> None:
    assert not _over_budget(STARTS_IN_A_CUT, failures_from=30.0)


# Guards against routers that rely on a count which others, who have joined since, don't
# appear in, where nobody of the two sides hears the other one or the store.
def test_retries_of_routers_cut_from_the_store_stay_within_the_budget() -> None:
    assert not _over_budget(CUTS_FROM_THE_STORE, failures_from=42.0, end=60.0)


# Guards against a count of routers that costs callers the allowance where routers start
# again and all hear each other.
def test_routers_that_start_connected_use_the_budget() -> None:
    for size in FLEET_SIZES:
        fleet = _play(size=size, events={14.0: _restart_all}, failures_from=30.0)

        assert fleet.largest_share() > MIN_USED_SHARE


# Guards against a share of repeats that is spent twice, by the router that loses its
# callers and by those to which they move.
def test_retries_of_callers_that_move_stay_within_the_budget() -> None:
    assert not _over_budget(MOVES, failures_from=26.0)


# Guards against routers that recall no crash of before, and spend retries that an
# earlier process has spent, as they are told that the whole fleet starts for the first
# time though it starts again.
def test_first_start_gives_nothing_in_advance() -> None:
    components = build_router(
        router=RouterId("router-1"),
        failure_domain=HERE,
        address=SEED_ADDRESSES[0],
        link=10,
        clock=lambda: 0.0,
        first_start=True,
    )

    assert components.state.retry_budget.room(service=SERVICE) == 0.0
    assert not components.state.introduction.has_ended
