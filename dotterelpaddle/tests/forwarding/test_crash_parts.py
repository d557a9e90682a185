"""Which prompt parts routers block because they cause crashes."""

from __future__ import annotations

import pytest

from dotterelpaddle.crashes.blocks import MIN_BLOCK_SECONDS
from dotterelpaddle.crashes.subjects import PartSubject, RequestSubject
from dotterelpaddle.crashes.suspect_table import MAX_SUSPECT_PARTS
from dotterelpaddle.crashes.suspects import RECENT_ANSWER_SECONDS
from dotterelpaddle.crashes.tracker import (
    SETTLE_SECONDS,
    CrashTracker,
)
from dotterelpaddle.exceptions import RequestBlocked
from dotterelpaddle.ids import EndpointId, Fingerprint, PartKey
from dotterelpaddle.peers.crash_notes import decode_notes, encode_notes
from dotterelpaddle.tests.crashes.test_tracker import Router


def _part(name: str, position: int = 1) -> PartSubject:
    return PartSubject(part=PartKey(name), position=position)


SYSTEM, DEADLY = _part("system", 0), _part("deadly")
FIRST, SECOND = (
    RequestSubject(fingerprint=Fingerprint(name)) for name in ("first", "second")
)


@pytest.fixture
def router() -> Router:
    return Router()


# Guards against a part that all requests share, which is at each crash as well.
def test_of_parts_at_the_same_crashes_only_the_one_without_answers_is_blocked(
    router: Router,
) -> None:
    router.tracker.record_served(subject=SYSTEM)
    router.crash("a", "b", "c", of=SYSTEM, begun=True)
    router.crash("a", "b", "c", of=DEADLY, begun=True)

    assert not router.allows(DEADLY)
    assert router.allows(SYSTEM)


# Guards against blocking the common part where nobody remembers an answer.
def test_of_parts_without_answers_the_later_one_is_blocked(router: Router) -> None:
    router.crash("a", "b", "c", of=SYSTEM, begun=True)
    router.crash("a", "b", "c", of=DEADLY, begun=True)

    assert not router.allows(DEADLY)
    assert router.allows(SYSTEM)


# Guards against a router that blocks a part which others serve.
def test_answer_at_another_router_clears_a_part(router: Router) -> None:
    other = Router()
    other.tracker.record_served(subject=SYSTEM)
    other.now = router.now = router.now + RECENT_ANSWER_SECONDS / 2
    router.crash("a", "b", "c", of=SYSTEM, begun=True)
    assert not router.allows(SYSTEM)

    router.report(other)
    other.report(router)

    assert router.allows(SYSTEM)
    assert other.allows(SYSTEM)


# Guards against telling callers to stay away for a minute for a part that others serve.
def test_refusal_is_short_until_other_routers_had_time_to_object(
    router: Router,
) -> None:
    router.crash("a", "b", "c", of=DEADLY, begun=True)
    with pytest.raises(RequestBlocked) as early:
        router.tracker.check(subject=DEADLY)
    router.now += SETTLE_SECONDS
    with pytest.raises(RequestBlocked) as settled:
        router.tracker.check(subject=DEADLY)

    assert early.value.retry_after == SETTLE_SECONDS
    assert settled.value.retry_after == pytest.approx(
        MIN_BLOCK_SECONDS - SETTLE_SECONDS
    )


# Guards against a part that has become deadly and was sound long before.
def test_answer_long_before_the_crashes_clears_no_part(router: Router) -> None:
    router.tracker.record_served(subject=DEADLY)
    router.now += RECENT_ANSWER_SECONDS + 1.0
    router.crash("a", "b", "c", of=DEADLY, begun=True)

    assert not router.allows(DEADLY)


# Guards against refusing other requests with the parts of the one that crashes.
def test_part_of_a_single_request_is_not_blocked_in_its_place(router: Router) -> None:
    router.crash("a", "b", "c", of=DEADLY, begun=True)
    router.crash("a", "b", "c", of=FIRST, begun=True)

    assert not router.allows(FIRST)
    assert router.allows(DEADLY)

    router.crash("d", of=DEADLY, begun=True)
    router.crash("d", of=SECOND, begun=True)

    assert not router.allows(DEADLY)


# Guards against attempts from all routers at once when the block of a part ends.
@pytest.mark.parametrize("is_first", [True, False])
def test_one_router_tries_a_part_after_its_block(is_first: bool) -> None:
    router = Router()
    router.tracker = CrashTracker(
        clock=lambda: router.now, may_try_parts=lambda: is_first
    )
    router.crash("a", "b", "c", of=DEADLY, begun=True)
    router.now += MIN_BLOCK_SECONDS + 1.0

    assert router.allows(DEADLY) is is_first


# Guards against parts of many prompts that evict a blocked one.
def test_memory_of_parts_is_bounded_and_keeps_what_is_blocked(router: Router) -> None:
    router.crash("a", "b", "c", of=DEADLY, begun=True)
    for number in range(2 * MAX_SUSPECT_PARTS):
        router.crash("d", of=_part(f"other-{number}"), begun=True)

    assert router.tracker.suspect_count == MAX_SUSPECT_PARTS
    assert not router.allows(DEADLY)


# Guards against blocking what most requests share after the loss of a rack.
def test_crashes_within_a_second_block_no_part_that_is_served(router: Router) -> None:
    router.tracker.record_served(subject=SYSTEM)
    for name in "abcde":
        router.now += 0.1
        router.tracker.record_crash(
            subject=SYSTEM,
            endpoint=EndpointId(name),
            at=router.now,
            begun=False,
            began_at=router.now - 0.5,
        )
    router.now += 10.0

    assert router.allows(SYSTEM)


# Guards against answers of before that keep a part from being suspected.
def test_part_that_was_served_is_blocked_if_crashes_go_on(router: Router) -> None:
    router.tracker.record_served(subject=DEADLY)
    for name in "abc":
        router.now += 0.6
        router.crash(name, of=DEADLY)

    assert not router.allows(DEADLY)


# Guards against a part that attempts acquit which began before it crashed endpoints.
def test_answer_clears_no_crash_of_an_attempt_that_began_later(router: Router) -> None:
    began_at = router.now
    for name in "abc":
        router.now += 0.6
        router.crash(name, of=DEADLY)
    router.tracker.record_served(subject=DEADLY, began_at=began_at)
    assert not router.allows(DEADLY)

    router.tracker.record_served(subject=DEADLY)

    assert router.allows(DEADLY)


# Guards against blocking a request that was at three of many unrelated crashes.
def test_more_crashes_are_required_while_others_are_unexplained(
    router: Router,
) -> None:
    for name in "uvwx":
        router.crash(name, of=SECOND)
        router.tracker.record_served(subject=SECOND)
        router.now += 0.1
    router.crash("a", "b", "c", of=FIRST)
    assert router.allows(FIRST)

    router.crash("d", "e", of=FIRST)

    assert not router.allows(FIRST)


# Guards against notes that lose when the attempts of a part began.
def test_other_routers_hear_when_the_attempts_of_a_part_began(router: Router) -> None:
    other = Router()
    router.tracker.record_crash(
        subject=DEADLY,
        endpoint=EndpointId("a"),
        at=router.now,
        begun=False,
        began_at=router.now - 1.5,
    )
    notes = router.tracker.take_due_notes()
    heard = decode_notes(fields=encode_notes(notes=notes))

    other.tracker.receive(notes=heard, forward=False)

    assert heard == tuple(notes)
    assert sorted(each.attempt_seconds for each in heard) == [0.0, 1.5]


# Guards against refusing a sound part that was at crashes which another one caused.
def test_part_beside_a_cause_may_run_more_than_once(router: Router) -> None:
    router.crash("a", "b", "c", of=DEADLY)
    router.crash("b", "c", of=SYSTEM)
    router.begin_attempt("d", of=SYSTEM)

    assert not router.allows(DEADLY)
    assert router.allows(SYSTEM)
