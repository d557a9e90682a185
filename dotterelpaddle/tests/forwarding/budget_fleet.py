"""Budgets of routers that retry as often as they may, with the product's own count."""

from __future__ import annotations

import random
from bisect import bisect_left
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    from collections.abc import Mapping

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
                    recipient.known.receive(summary=sender.known.to_tell)

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
