"""The retry budget that routers share."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dotterelpaddle.forwarding.request_totals import RetryCounts
from dotterelpaddle.ids import ServiceName
from dotterelpaddle.retries.budget import RetryBudget, RetryLimits

SERVICE = ServiceName("records")
LIMITS = RetryLimits(share=0.2, allowance=20.0, window=10.0)
ROUTERS = 3


@dataclass(kw_only=True)
class Router:
    """A router whose process has run for a while, at a time that tests set."""

    routers: int | None = 1
    now: float = 0.0

    def __post_init__(self) -> None:
        self.budget = RetryBudget(
            limits=LIMITS, routers=lambda: self.routers, clock=lambda: self.now
        )

    def settle(self) -> Router:
        """Advance the clock until the process counts as one that has run for long."""
        self.now += 2 * LIMITS.window
        return self

    def count_requests(self, count: int) -> None:
        for _ in range(count):
            self.budget.count_request(service=SERVICE)

    def spend_on_requests(self, count: int) -> int:
        """Retry as often as possible while requests come; return how often."""
        acquired = self.acquire_all()
        for _ in range(count):
            self.now += 0.99 * LIMITS.window / count
            self.budget.count_request(service=SERVICE)
            acquired += self.acquire_all()
        return acquired

    def acquire_all(self) -> int:
        """Make as many retries as possible and return how many."""
        return sum(self.budget.acquire(service=SERVICE) for _ in range(100))


def test_allowance_is_available_without_requests() -> None:
    acquired = Router().settle().acquire_all()

    assert 10 <= acquired <= LIMITS.allowance


def test_requests_raise_the_budget() -> None:
    acquired = Router().settle().spend_on_requests(200)

    assert LIMITS.allowance < acquired <= LIMITS.allowance + 0.2 * 200


def test_requests_raise_the_budget_of_a_process_that_has_just_started() -> None:
    router = Router()
    router.count_requests(200)

    assert 0 < router.acquire_all() <= 0.2 * 200


def test_process_that_has_just_started_has_no_part_of_the_allowance() -> None:
    assert Router().acquire_all() == 0


def test_spent_retries_are_available_again_after_the_window() -> None:
    router = Router().settle()
    router.count_requests(200)
    first = router.acquire_all()
    at_once = router.acquire_all()
    router.settle()
    router.count_requests(200)

    assert at_once == 0
    assert router.acquire_all() == first


def test_each_router_has_its_part_of_the_allowance() -> None:
    alone, among_four = Router().settle(), Router(routers=4).settle()

    assert 0 < among_four.acquire_all() <= alone.acquire_all() / 4


def test_router_that_knows_no_fleet_size_spends_no_allowance() -> None:
    router = Router(routers=None).settle()
    without_requests = router.acquire_all()
    router.count_requests(200)

    assert without_requests == 0
    assert 0 < router.acquire_all() <= 0.2 * 200


def test_room_is_what_can_be_acquired() -> None:
    router = Router().settle()
    router.count_requests(100)
    room = router.budget.room(service=SERVICE)

    assert router.budget.has_room(service=SERVICE)
    assert room - 2 < router.acquire_all() <= room
    assert not router.budget.has_room(service=SERVICE)


def test_reports_hold_the_counts_of_the_window() -> None:
    router = Router().settle()
    router.count_requests(50)
    acquired = router.acquire_all()

    assert router.budget.counts()[SERVICE] == RetryCounts(requests=50, retries=acquired)


class SharedBudgetMachine(RuleBasedStateMachine):
    """Routers that never hear of each other, and start again at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.routers: list[RetryBudget] = []
        self.requests: list[float] = []
        self.retries: list[float] = []

    def _router(self) -> RetryBudget:
        return RetryBudget(
            limits=LIMITS, routers=lambda: ROUTERS, clock=lambda: self.now
        )

    @initialize(settled=st.booleans())
    def start(self, settled: bool) -> None:
        self.routers = [self._router() for _ in range(ROUTERS)]
        self.now += settled * 2 * LIMITS.window

    @rule(router=st.integers(0, ROUTERS - 1), count=st.integers(1, 50))
    def send_requests(self, router: int, count: int) -> None:
        for _ in range(count):
            self.routers[router].count_request(service=SERVICE)
            self.requests.append(self.now)

    @rule(router=st.integers(0, ROUTERS - 1), count=st.integers(1, 50))
    def retry(self, router: int, count: int) -> None:
        for _ in range(count):
            if self.routers[router].acquire(service=SERVICE):
                self.retries.append(self.now)

    @rule(router=st.integers(0, ROUTERS - 1))
    def restart(self, router: int) -> None:
        self.routers[router] = self._router()

    @rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def retries_stay_within_the_budget(self) -> None:
        """No window that ends now holds more retries than it or the last one allows.

        The requests of the two windows don't add up: a caller that moves from one
        router to another counts in both.
        """
        oldest = self.now - LIMITS.window
        requests = max(
            sum(first <= at <= first + LIMITS.window for at in self.requests)
            for first in (oldest, oldest - LIMITS.window / 2, oldest - LIMITS.window)
        )
        retries = sum(at >= oldest for at in self.retries)
        assert retries <= LIMITS.share * requests + LIMITS.allowance


TestSharedBudget = SharedBudgetMachine.TestCase
