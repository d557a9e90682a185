"""The budget of repeats that routers share."""

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


def _repeats(*, routers: int = 1) -> RetryBudget:
    return RetryBudget(
        limits=LIMITS,
        totals=TotalsTracker(failure_domain=HERE, clock=lambda: 0.0),
        routers=lambda: routers,
        clock=lambda: 0.0,
    )


def test_allowance_is_there_without_requests() -> None:
    repeats = _repeats()

    taken = sum(repeats.acquire(service=SERVICE) for _ in range(100))

    assert 10 <= taken <= LIMITS.allowance


def test_requests_raise_the_budget() -> None:
    repeats = _repeats()
    for _ in range(200):
        repeats.count_request(service=SERVICE)

    taken = sum(repeats.acquire(service=SERVICE) for _ in range(100))

    assert LIMITS.allowance < taken <= LIMITS.allowance + 0.2 * 200


def test_routers_that_were_not_heard_may_have_spent_their_part() -> None:
    alone, among_four = _repeats(), _repeats(routers=4)

    taken_alone = sum(alone.acquire(service=SERVICE) for _ in range(100))
    taken = sum(among_four.acquire(service=SERVICE) for _ in range(100))

    assert 0 < taken <= taken_alone / 4


def test_routers_behind_a_cut_may_spend_what_they_were_counted_for() -> None:
    now = 0.0
    shares = TotalsTracker(failure_domain=HERE, clock=lambda: now)
    shares.is_aggregator = False
    repeats = RetryBudget(
        limits=LIMITS, totals=shares, routers=lambda: 4, clock=lambda: now
    )

    def hear(routers: int) -> None:
        share = RequestTotals(scope=TotalsScope.OTHERS, routers=routers)
        shares.receive(router=RouterId("aggregator"), failure_domain=HERE, totals=share)
        repeats.counts()

    hear(11)
    before = repeats.room(service=SERVICE)
    now = 3.0
    hear(3)
    behind_a_cut = repeats.room(service=SERVICE)
    now = 2 * ROUTER_COUNT_MEMORY_SECONDS
    hear(3)
    later = repeats.room(service=SERVICE)

    assert behind_a_cut == pytest.approx(before * 4 / 12)
    assert later > before


class SharedBudgetMachine(RuleBasedStateMachine):
    """Routers whose reports are lost, late and doubled, and which restart."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.routers: list[RetryBudget] = []
        self.shares: list[TotalsTracker] = []
        self.requests: list[float] = []
        self.repeats: list[float] = []
        self.pending: list[tuple[int, dict]] = []  # type: ignore[type-arg]

    def _router(self) -> RetryBudget:
        shares = TotalsTracker(failure_domain=HERE, clock=lambda: self.now)
        self.shares.append(shares)
        return RetryBudget(
            limits=LIMITS,
            totals=shares,
            routers=lambda: ROUTERS,
            clock=lambda: self.now,
        )

    def _hear(self, *, by: int, sender: int, counts: dict) -> None:  # type: ignore[type-arg]
        self.shares[by].receive(
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
    def repeat(self, router: int, count: int) -> None:
        for _ in range(count):
            if self.routers[router].acquire(service=SERVICE):
                self.repeats.append(self.now)

    @rule()
    def report(self) -> None:
        """Let every router hear every other one, as happens most of the time."""
        for number, router in enumerate(self.routers):
            counts = router.counts()
            self.pending.append((number, counts))
            for other in range(ROUTERS):
                if other != number:
                    self._hear(by=other, sender=number, counts=counts)

    @rule(data=st.data())
    def hear_an_old_report_again(self, data: st.DataObject) -> None:
        if self.pending:
            number, counts = data.draw(st.sampled_from(self.pending[-ROUTERS:]))
            for other in range(ROUTERS):
                if other != number:
                    self._hear(by=other, sender=number, counts=counts)

    @rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def repeats_stay_within_the_budget(self) -> None:
        """What routers that hear each other seldom overspend is bounded.

        Between two reports each may spend its part of the room that is left, so
        all together at most one and a half times of it for three routers.
        """
        oldest = self.now - LIMITS.window
        requests = sum(at >= oldest - LIMITS.window for at in self.requests)
        repeats = sum(at >= oldest for at in self.repeats)
        budget = LIMITS.share * requests + LIMITS.allowance
        assert repeats <= 2 * budget


TestSharedBudget = SharedBudgetMachine.TestCase
