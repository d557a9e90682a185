"""Which requests routers block because they cause crashes, and for how long."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelpaddle.crashes.blocks import MIN_BLOCK_SECONDS
from dotterelpaddle.crashes.subjects import RequestSubject
from dotterelpaddle.crashes.suspect_table import MAX_SUSPECTS
from dotterelpaddle.crashes.suspects import (
    ONE_CRASH_INTERVAL_SECONDS,
    REPORT_INTERVAL_SECONDS,
)
from dotterelpaddle.crashes.tracker import (
    MAX_ATTEMPT_SECONDS,
    MAX_NOTES_PER_REPORT,
    MIN_CRASHES_TO_BLOCK,
    SUSPICION_SECONDS,
    CrashTracker,
)
from dotterelpaddle.exceptions import RequestBlocked
from dotterelpaddle.forwarding.report_state import REPORTS_PER_UPDATE
from dotterelpaddle.ids import EndpointId, Fingerprint

if TYPE_CHECKING:
    from dotterelpaddle.crashes.subjects import CrashSubject


def _request(name: str) -> RequestSubject:
    return RequestSubject(fingerprint=Fingerprint(name))


CULPRIT, OTHER = _request("culprit"), _request("other")
DELAY = 0.005
"""Transmission time of a report, seconds."""


class Router:
    """A crash tracker with a clock that tests set."""

    def __init__(self) -> None:
        self.now = 100.0
        self.tracker = CrashTracker(clock=lambda: self.now)

    def crash(
        self, *names: str, of: CrashSubject = CULPRIT, begun: bool = False
    ) -> None:
        for name in names:
            self.tracker.record_crash(
                subject=of, endpoint=EndpointId(name), at=self.now, begun=begun
            )

    def allows(self, subject: CrashSubject = CULPRIT) -> bool:
        try:
            self.tracker.check(subject=subject)
        except RequestBlocked:
            return False
        return True

    def begin_attempt(self, name: str, of: CrashSubject = CULPRIT) -> None:
        self.tracker.begin_attempt(subject=of, endpoint=EndpointId(name))

    def report(self, *others: Router, forward: bool = False) -> int:
        notes = self.tracker.take_due_notes()
        for other in others:
            received = [replace(note, age=note.age + DELAY) for note in notes]
            other.tracker.receive(notes=received, forward=forward)
        return len(notes)


@pytest.fixture
def router() -> Router:
    return Router()


def test_request_is_blocked_after_three_crashes(router: Router) -> None:
    router.crash("a", "b")
    assert router.allows()

    router.crash("c")

    assert not router.allows()
    assert router.allows(OTHER)


def test_crashes_seen_by_different_routers_add_up(router: Router) -> None:
    others = [Router(), Router(), Router()]
    for name, other in zip("abc", others, strict=True):
        other.crash(name)
        other.report(router)

    assert not router.allows()


def test_crash_counts_once_however_often_it_is_reported(router: Router) -> None:
    other = Router()
    other.crash("a", "b")
    for _ in range(REPORTS_PER_UPDATE):
        other.report(router)
    router.crash("a")

    assert router.allows()


def test_each_incarnation_of_an_endpoint_counts(router: Router) -> None:
    router.crash("a@1", "a@2", "a@3")

    assert not router.allows()


def test_complete_answer_clears_the_request_at_all_routers(router: Router) -> None:
    other = Router()
    router.crash("a", "b", "c")
    router.report(other)
    other.now = router.now = 101.0
    other.tracker.record_served(subject=CULPRIT)
    other.report(router)

    assert router.allows()
    assert other.allows()


def test_crash_before_an_answer_does_not_count_if_reported_late(
    router: Router,
) -> None:
    late = Router()
    late.crash("c")
    router.crash("a", "b")
    router.now = late.now = 101.0
    router.tracker.record_served(subject=CULPRIT)
    late.report(router)
    router.crash("d", "e")

    assert router.allows()


def test_attempts_in_flight_count_so_that_no_fourth_endpoint_is_risked(
    router: Router,
) -> None:
    """Guards against routers that each send the last allowed attempt concurrently."""
    other = Router()
    router.crash("a", "b")
    router.report(other)
    other.begin_attempt("c")
    other.report(router)
    assert not router.allows()

    router.now += MAX_ATTEMPT_SECONDS + DELAY

    assert router.allows()


def test_attempt_without_a_crash_does_not_count(router: Router) -> None:
    router.crash("a", "b")
    router.begin_attempt("c")
    router.tracker.end_attempt(subject=CULPRIT, endpoint=EndpointId("c"))

    assert router.allows()


def test_only_one_router_sends_an_attempt_after_a_block(router: Router) -> None:
    """Guards against attempts from all routers at the end of a block."""
    other = Router()
    router.crash("a", "b", "c")
    router.report(other)
    other.now = router.now = router.now + MIN_BLOCK_SECONDS + 1.0
    assert router.allows()
    router.begin_attempt("d")
    router.report(other)

    assert not other.allows()


def test_block_doubles_after_another_crash(router: Router) -> None:
    router.crash("a", "b", "c")
    router.now += MIN_BLOCK_SECONDS + 1.0
    router.crash("d")
    router.now += 2 * MIN_BLOCK_SECONDS - 1.0
    assert not router.allows()

    router.now += 2.0

    assert router.allows()


def test_error_states_when_the_block_ends(router: Router) -> None:
    router.crash("a", "b", "c")
    router.now += 10.0

    with pytest.raises(RequestBlocked, match="a 10.0 s ago") as raised:
        router.tracker.check(subject=CULPRIT)

    assert raised.value.retry_after == pytest.approx(MIN_BLOCK_SECONDS - 10.0)


def test_crashes_expire(router: Router) -> None:
    router.crash("a", "b")
    router.now += SUSPICION_SECONDS + 1.0
    router.tracker.take_due_notes()
    router.crash("c")

    assert router.allows()


def test_request_that_ran_beside_the_cause_is_not_blocked(
    router: Router,
) -> None:
    """Guards against refusals to callers whose streams broke in the same crashes."""
    router.crash("a", "b", "c", "d")
    router.crash("b", "c", "d", of=OTHER)

    assert not router.allows()
    assert router.allows(OTHER)


def test_of_two_requests_in_all_crashes_the_one_that_had_begun_is_blocked(
    router: Router,
) -> None:
    router.crash("a", "b", "c", of=OTHER)
    router.crash("a", "b", "c", begun=True)

    assert not router.allows()
    assert router.allows(OTHER)


def test_wrongly_blocked_request_is_released_after_one_more_crash(
    router: Router,
) -> None:
    router.crash("a", "b", "c", of=OTHER, begun=True)
    router.crash("a", "b", "c")
    assert not router.allows(OTHER)

    router.crash("d")

    assert not router.allows()
    assert router.allows(OTHER)


def test_each_of_two_causes_is_blocked(router: Router) -> None:
    router.crash("a", "b", "c")
    router.crash("c", "d", "e", "f", of=OTHER)
    router.crash("g")

    assert not router.allows()
    assert not router.allows(OTHER)


def test_memory_is_bounded_and_keeps_what_is_blocked(router: Router) -> None:
    """Guards against callers that evict a blocked request by sending others."""
    router.crash("a", "b", "c")
    for number in range(2 * MAX_SUSPECTS):
        router.crash("d", of=_request(f"other-{number}"))

    assert router.tracker.suspect_count == MAX_SUSPECTS
    assert not router.allows()


def test_blocked_requests_are_reported_first_and_reports_stay_small(
    router: Router,
) -> None:
    for number in range(5 * MAX_NOTES_PER_REPORT):
        router.crash("d", of=_request(f"other-{number}"))
    router.crash("a", "b", "c")
    other = Router()

    assert router.report(other) == MAX_NOTES_PER_REPORT
    assert not other.allows()


def test_crashes_are_reported_again_for_late_routers(router: Router) -> None:
    """Guards against two sides of a partition that never agree after it."""
    router.crash("a", "b", "c")
    for _ in range(REPORTS_PER_UPDATE):
        router.report()
    assert router.report() == 0
    late = Router()
    late.now = router.now = router.now + REPORT_INTERVAL_SECONDS

    router.report(late)

    assert not late.allows()


def test_aggregator_forwards_notes(router: Router) -> None:
    aggregator, member = Router(), Router()
    router.crash("a", "b", "c")
    router.report(aggregator, forward=True)
    aggregator.report(member)

    assert not member.allows()


class CrashesMachine(RuleBasedStateMachine):
    """Routers that lose reports block the same requests once no report gets lost."""

    def __init__(self) -> None:
        super().__init__()
        self.routers = [Router(), Router(), Router()]

    @rule(
        router=st.integers(0, 2),
        of=st.sampled_from([CULPRIT, OTHER]),
        name=st.sampled_from("abcdef"),
        begun=st.booleans(),
    )
    def crash(self, router: int, of: RequestSubject, name: str, begun: bool) -> None:
        self._advance(seconds=0.1)
        self.routers[router].crash(f"{name}{self.routers[0].now}", of=of, begun=begun)

    @rule(router=st.integers(0, 2), of=st.sampled_from([CULPRIT, OTHER]))
    def serve(self, router: int, of: RequestSubject) -> None:
        self._advance(seconds=0.1)
        self.routers[router].tracker.record_served(subject=of)

    @rule(sender=st.integers(0, 2), lost=st.sets(st.integers(0, 2)))
    def report(self, sender: int, lost: set[int]) -> None:
        self._advance(seconds=0.2)
        self._report(sender=sender, lost=lost)

    @invariant()
    def few_crashes_block_few_requests(self) -> None:
        for router in self.routers:
            crashes = sum(
                len(suspect.crashes)
                for suspect in router.tracker._suspects.all.values()
            )
            assert router.tracker.blocked_count <= crashes // MIN_CRASHES_TO_BLOCK

    def teardown(self) -> None:
        for _ in range(3):
            self._advance(seconds=ONE_CRASH_INTERVAL_SECONDS)
            for _ in range(REPORTS_PER_UPDATE + 1):
                for sender in range(3):
                    self._report(sender=sender, lost=set())
        blocked = {
            tuple(router.allows(each) for each in (CULPRIT, OTHER))
            for router in self.routers
        }
        assert len(blocked) == 1

    def _report(self, *, sender: int, lost: set[int]) -> None:
        received = [
            router
            for number, router in enumerate(self.routers)
            if number not in {sender, *lost}
        ]
        self.routers[sender].report(*received)

    def _advance(self, *, seconds: float) -> None:
        for router in self.routers:
            router.now += seconds


TestCrashes = CrashesMachine.TestCase
TestCrashes.settings = settings(max_examples=50, stateful_step_count=30)


@pytest.mark.parametrize("partition", [True, False])
def test_routers_agree_after_a_partition(partition: bool) -> None:
    one, two = Router(), Router()
    one.crash("a", "b")
    two.crash("c", "d")
    if not partition:
        one.report(two)
    one.now = two.now = 100.0 + REPORT_INTERVAL_SECONDS
    for sender, receiver in ((one, two), (two, one)):
        for _ in range(REPORTS_PER_UPDATE + 1):
            sender.report(receiver)

    assert not one.allows()
    assert not two.allows()
