"""The retry budget that routers share."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dotterelpaddle.forwarding.request_totals import (
    RequestTotals,
    TotalsScope,
    TotalsTracker,
)
from dotterelpaddle.forwarding.retry_budget import (
    ROUTER_COUNT_MEMORY_SECONDS,
    RetryBudget,
    RetryLimits,
)
from dotterelpaddle.ids import FailureDomain, RouterId, ServiceName

SERVICE = ServiceName("records")
LIMITS = RetryLimits(share=0.2, allowance=20.0, window=10.0)
ROUTERS = 3


HERE = FailureDomain("here")


def _budget(*, routers: int = 1) -> RetryBudget:
    return RetryBudget(
        limits=LIMITS,
        totals=TotalsTracker(failure_domain=HERE, clock=lambda: 0.0),
        routers=lambda: routers,
        clock=lambda: 0.0,
    )


def test_allowance_is_available_without_requests() -> None:
    budget = _budget()

    acquired = sum(budget.acquire(service=SERVICE) for _ in range(100))

    assert 10 <= acquired <= LIMITS.allowance


def test_requests_raise_the_budget() -> None:
    budget = _budget()
    for _ in range(200):
        budget.count_request(service=SERVICE)

    acquired = sum(budget.acquire(service=SERVICE) for _ in range(100))

    assert LIMITS.allowance < acquired <= LIMITS.allowance + 0.2 * 200


def test_routers_without_reports_keep_their_part_of_the_budget() -> None:
    alone, among_four = _budget(), _budget(routers=4)

    acquired_alone = sum(alone.acquire(service=SERVICE) for _ in range(100))
    acquired = sum(among_four.acquire(service=SERVICE) for _ in range(100))

    assert 0 < acquired <= acquired_alone / 4


def test_partitioned_routers_keep_their_part_of_the_budget() -> None:
    now = 0.0
    tracker = TotalsTracker(failure_domain=HERE, clock=lambda: now)
    tracker.is_aggregator = False
    budget = RetryBudget(
        limits=LIMITS, totals=tracker, routers=lambda: 4, clock=lambda: now
    )

    def receive(routers: int) -> None:
        totals = RequestTotals(scope=TotalsScope.OTHERS, routers=routers)
        tracker.receive(
            router=RouterId("aggregator"), failure_domain=HERE, totals=totals
        )
        budget.counts()

    receive(11)
    before = budget.room(service=SERVICE)
    now = 3.0
    receive(3)
    partitioned = budget.room(service=SERVICE)
    now = 2 * ROUTER_COUNT_MEMORY_SECONDS
    receive(3)
    later = budget.room(service=SERVICE)

    assert partitioned == pytest.approx(before * 4 / 12)
    assert later > before


class SharedBudgetMachine(RuleBasedStateMachine):
    """Routers whose reports are lost, delayed or duplicated."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.routers: list[RetryBudget] = []
        self.totals: list[TotalsTracker] = []
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.pending: list[tuple[int, dict]] = []  # type: ignore[type-arg]

    def _router(self) -> RetryBudget:
        tracker = TotalsTracker(failure_domain=HERE, clock=lambda: self.now)
        self.totals.append(tracker)
        return RetryBudget(
            limits=LIMITS,
            totals=tracker,
            routers=lambda: ROUTERS,
            clock=lambda: self.now,
        )

    def _receive(self, *, by: int, sender: int, counts: dict) -> None:  # type: ignore[type-arg]
        self.totals[by].receive(
            router=RouterId(str(sender)),
            failure_domain=HERE,
            totals=RequestTotals(retries=counts),
        )

    @initialize()
    def start(self) -> None:
        self.routers = [self._router() for _ in range(ROUTERS)]

    @rule(router=st.integers(0, ROUTERS - 1), count=st.integers(1, 20))
    def send_requests(self, router: int, count: int) -> None:
        for _ in range(count):
            self.routers[router].count_request(service=SERVICE)
            self.requests.append(self.now)

    @rule(router=st.integers(0, ROUTERS - 1), count=st.integers(1, 10))
    def retry(self, router: int, count: int) -> None:
        for _ in range(count):
            if self.routers[router].acquire(service=SERVICE):
                self.retries.append(self.now)

    @rule()
    def report(self) -> None:
        """Deliver a report of every router to every other one, the usual case."""
        for number, router in enumerate(self.routers):
            counts = router.counts()
            self.pending.append((number, counts))
            for other in range(ROUTERS):
                if other != number:
                    self._receive(by=other, sender=number, counts=counts)

    @rule(data=st.data())
    def deliver_an_old_report_again(self, data: st.DataObject) -> None:
        if self.pending:
            number, counts = data.draw(st.sampled_from(self.pending[-ROUTERS:]))
            for other in range(ROUTERS):
                if other != number:
                    self._receive(by=other, sender=number, counts=counts)

    @rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def retries_stay_within_the_budget(self) -> None:
        """Routers that rarely receive reports exceed the budget by a bounded amount.

        Between two reports each router may spend its part of the remaining budget; for
        three routers that is at most one and a half times the remaining budget.
        """
        oldest = self.now - LIMITS.window
        requests = sum(at >= oldest - LIMITS.window for at in self.requests)
        retries = sum(at >= oldest for at in self.retries)
        budget = LIMITS.share * requests + LIMITS.allowance
        assert retries <= 2 * budget


TestSharedBudget = SharedBudgetMachine.TestCase
