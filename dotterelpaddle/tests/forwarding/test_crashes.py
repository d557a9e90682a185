"""Which requests are blocked because endpoints end under them, and for how long."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelpaddle.exceptions import RequestBlocked
from dotterelpaddle.forwarding.crashes import (
    MAX_ATTEMPT_SECONDS,
    MAX_NOTES_PER_REPORT,
    MAX_SUSPECTS,
    MIN_BLOCK_SECONDS,
    MIN_CRASHES_TO_BLOCK,
    REPORT_INTERVAL_SECONDS,
    ONE_CRASH_INTERVAL_SECONDS,
    SUSPICION_SECONDS,
    CrashTracker,
)
from dotterelpaddle.forwarding.report_state import REPORTS_PER_UPDATE
from dotterelpaddle.ids import EndpointId, Fingerprint

CULPRIT, OTHER = Fingerprint("culprit"), Fingerprint("other")
DELAY = 0.005
"""Seconds that a report takes."""


class Router:
    """A book, with a clock that tests turn."""

    def __init__(self) -> None:
        self.now = 100.0
        self.book = CrashTracker(clock=lambda: self.now)

    def end(self, *names: str, of: Fingerprint = CULPRIT, begun: bool = False) -> None:
        for name in names:
            self.book.record_crash(
                fingerprint=of, endpoint=EndpointId(name), at=self.now, begun=begun
            )

    def passes(self, fingerprint: Fingerprint = CULPRIT) -> bool:
        try:
            self.book.check(fingerprint=fingerprint)
        except RequestBlocked:
            return False
        return True

    def try_at(self, name: str, of: Fingerprint = CULPRIT) -> None:
        self.book.begin_attempt(fingerprint=of, endpoint=EndpointId(name))

    def tell(self, *others: Router, pass_on: bool = False) -> int:
        notes = self.book.take_due_notes()
        for other in others:
            heard = [replace(note, age=note.age + DELAY) for note in notes]
            other.book.receive(notes=heard, forward=pass_on)
        return len(notes)


@pytest.fixture
def router() -> Router:
    return Router()


def test_request_is_blocked_once_three_endpoints_ended_under_it(router: Router) -> None:
    router.end("a", "b")
    assert router.passes()

    router.end("c")

    assert not router.passes()
    assert router.passes(OTHER)


def test_ends_that_different_routers_saw_count_together(router: Router) -> None:
    others = [Router(), Router(), Router()]
    for name, other in zip("abc", others, strict=True):
        other.end(name)
        other.tell(router)

    assert not router.passes()


def test_same_end_counts_once_however_often_it_is_told(router: Router) -> None:
    other = Router()
    other.end("a", "b")
    for _ in range(REPORTS_PER_UPDATE):
        other.tell(router)
    router.end("a")

    assert router.passes()


def test_later_start_of_an_endpoint_counts_as_another_one(router: Router) -> None:
    router.end("a@1", "a@2", "a@3")

    assert not router.passes()


def test_whole_answer_ends_the_suspicion_at_all_routers(router: Router) -> None:
    other = Router()
    router.end("a", "b", "c")
    router.tell(other)
    other.now = router.now = 101.0
    other.book.record_served(fingerprint=CULPRIT)
    other.tell(router)

    assert router.passes()
    assert other.passes()


def test_end_before_an_answer_is_not_counted_when_it_is_told_late(
    router: Router,
) -> None:
    late = Router()
    late.end("c")
    router.end("a", "b")
    router.now = late.now = 101.0
    router.book.record_served(fingerprint=CULPRIT)
    late.tell(router)
    router.end("d", "e")

    assert router.passes()


def test_tries_under_way_count_so_that_no_fourth_endpoint_is_risked(
    router: Router,
) -> None:
    """Guards against routers that each risk the last endpoint at the same moment."""
    other = Router()
    router.end("a", "b")
    router.tell(other)
    other.try_at("c")
    other.tell(router)
    assert not router.passes()

    router.now += MAX_ATTEMPT_SECONDS + DELAY

    assert router.passes()


def test_try_that_came_to_nothing_does_not_count(router: Router) -> None:
    router.end("a", "b")
    router.try_at("c")
    router.book.end_attempt(fingerprint=CULPRIT, endpoint=EndpointId("c"))

    assert router.passes()


def test_block_ends_with_one_try_and_not_one_at_each_router(router: Router) -> None:
    """Guards against a wave of tries from all routers when a block ends."""
    other = Router()
    router.end("a", "b", "c")
    router.tell(other)
    other.now = router.now = router.now + MIN_BLOCK_SECONDS + 1.0
    assert router.passes()
    router.try_at("d")
    router.tell(other)

    assert not other.passes()


def test_block_is_twice_as_long_after_a_try_in_vain(router: Router) -> None:
    router.end("a", "b", "c")
    router.now += MIN_BLOCK_SECONDS + 1.0
    router.end("d")
    router.now += 2 * MIN_BLOCK_SECONDS - 1.0
    assert not router.passes()

    router.now += 2.0

    assert router.passes()


def test_caller_is_told_when_the_block_ends(router: Router) -> None:
    router.end("a", "b", "c")
    router.now += 10.0

    with pytest.raises(RequestBlocked, match="a 10.0 s ago") as raised:
        router.book.check(fingerprint=CULPRIT)

    assert raised.value.retry_after == pytest.approx(MIN_BLOCK_SECONDS - 10.0)


def test_ends_are_forgotten_after_a_while(router: Router) -> None:
    router.end("a", "b")
    router.now += SUSPICION_SECONDS + 1.0
    router.book.take_due_notes()
    router.end("c")

    assert router.passes()


def test_request_that_was_beside_the_cause_each_time_is_not_blocked(
    router: Router,
) -> None:
    """Guards against refusals to callers whose streams broke with the culprit's."""
    router.end("a", "b", "c", "d")
    router.end("b", "c", "d", of=OTHER)

    assert not router.passes()
    assert router.passes(OTHER)


def test_of_two_that_were_there_each_time_the_one_that_had_begun_is_blocked(
    router: Router,
) -> None:
    router.end("a", "b", "c", of=OTHER)
    router.end("a", "b", "c", begun=True)

    assert not router.passes()
    assert router.passes(OTHER)


def test_wrong_one_of_two_is_let_go_after_one_more_end(router: Router) -> None:
    router.end("a", "b", "c", of=OTHER, begun=True)
    router.end("a", "b", "c")
    assert not router.passes(OTHER)

    router.end("d")

    assert not router.passes()
    assert router.passes(OTHER)


def test_each_of_two_causes_is_blocked(router: Router) -> None:
    router.end("a", "b", "c")
    router.end("c", "d", "e", "f", of=OTHER)
    router.end("g")

    assert not router.passes()
    assert not router.passes(OTHER)


def test_memory_is_bounded_and_keeps_what_is_blocked(router: Router) -> None:
    """Guards against callers that push a blocked request out with others."""
    router.end("a", "b", "c")
    for number in range(2 * MAX_SUSPECTS):
        router.end("d", of=Fingerprint(f"other-{number}"))

    assert router.book.suspect_count == MAX_SUSPECTS
    assert not router.passes()


def test_what_is_blocked_is_told_first_and_reports_stay_small(router: Router) -> None:
    for number in range(5 * MAX_NOTES_PER_REPORT):
        router.end("d", of=Fingerprint(f"other-{number}"))
    router.end("a", "b", "c")
    other = Router()

    assert router.tell(other) == MAX_NOTES_PER_REPORT
    assert not other.passes()


def test_router_that_hears_late_is_told_again(router: Router) -> None:
    """Guards against two sides of a cut that never agree after it."""
    router.end("a", "b", "c")
    for _ in range(REPORTS_PER_UPDATE):
        router.tell()
    assert router.tell() == 0
    late = Router()
    late.now = router.now = router.now + REPORT_INTERVAL_SECONDS

    router.tell(late)

    assert not late.passes()


def test_aggregator_passes_on_what_it_hears(router: Router) -> None:
    aggregator, member = Router(), Router()
    router.end("a", "b", "c")
    router.tell(aggregator, pass_on=True)
    aggregator.tell(member)

    assert not member.passes()


class CrashesMachine(RuleBasedStateMachine):
    """Routers whose reports get lost block the same requests once none does."""

    def __init__(self) -> None:
        super().__init__()
        self.routers = [Router(), Router(), Router()]

    @rule(
        router=st.integers(0, 2),
        of=st.sampled_from([CULPRIT, OTHER]),
        name=st.sampled_from("abcdef"),
        begun=st.booleans(),
    )
    def end(self, router: int, of: Fingerprint, name: str, begun: bool) -> None:
        self._pass(seconds=0.1)
        self.routers[router].end(f"{name}{self.routers[0].now}", of=of, begun=begun)

    @rule(router=st.integers(0, 2), of=st.sampled_from([CULPRIT, OTHER]))
    def serve(self, router: int, of: Fingerprint) -> None:
        self._pass(seconds=0.1)
        self.routers[router].book.record_served(fingerprint=of)

    @rule(sender=st.integers(0, 2), lost=st.sets(st.integers(0, 2)))
    def tell(self, sender: int, lost: set[int]) -> None:
        self._pass(seconds=0.2)
        self._tell(sender=sender, lost=lost)

    @invariant()
    def few_ends_block_little(self) -> None:
        for router in self.routers:
            ends = sum(
                len(suspect.crashes) for suspect in router.book._suspects.values()
            )
            assert router.book.blocked_count <= ends // MIN_CRASHES_TO_BLOCK

    def teardown(self) -> None:
        for _ in range(3):
            self._pass(seconds=ONE_CRASH_INTERVAL_SECONDS)
            for _ in range(REPORTS_PER_UPDATE + 1):
                for sender in range(3):
                    self._tell(sender=sender, lost=set())
        blocked = {
            tuple(router.passes(each) for each in (CULPRIT, OTHER))
            for router in self.routers
        }
        assert len(blocked) == 1

    def _tell(self, *, sender: int, lost: set[int]) -> None:
        heard = [
            router
            for number, router in enumerate(self.routers)
            if number not in {sender, *lost}
        ]
        self.routers[sender].tell(*heard)

    def _pass(self, *, seconds: float) -> None:
        for router in self.routers:
            router.now += seconds


TestCrashes = CrashesMachine.TestCase
TestCrashes.settings = settings(max_examples=50, stateful_step_count=30)


@pytest.mark.parametrize("cut", [True, False])
def test_routers_agree_after_a_cut(cut: bool) -> None:
    one, two = Router(), Router()
    one.end("a", "b")
    two.end("c", "d")
    if not cut:
        one.tell(two)
    one.now = two.now = 100.0 + REPORT_INTERVAL_SECONDS
    for sender, receiver in ((one, two), (two, one)):
        for _ in range(REPORTS_PER_UPDATE + 1):
            sender.tell(receiver)

    assert not one.passes()
    assert not two.passes()
