"""Endpoints that have said in an answer that they leave, or that they want quiet."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dotterelpaddle.forwarding.backoffs import MAX_BACKOFF_SECONDS, EndpointBackoffs
from dotterelpaddle.forwarding.interface import AnswerHead, EndpointsUpdate
from dotterelpaddle.forwarding.leaving import (
    MAX_NOTICES_PER_REPORT,
    RESEND_INTERVAL_SECONDS,
    RETENTION_SECONDS,
    SERVE_MARGIN_SECONDS,
    LeavingEndpoints,
    LeavingNotice,
)
from dotterelpaddle.forwarding.model import EndpointEntry, EndpointState, endpoint_id
from dotterelpaddle.forwarding.notices import EndpointNotices
from dotterelpaddle.forwarding.report_state import REPORTS_PER_UPDATE
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import (
    EndpointId,
    EndpointName,
    Incarnation,
    RequestId,
    Revision,
    ServiceName,
)
from dotterelpaddle.tests.forwarding.entries import make_entry

ENGINES = ServiceName("engines")
SERVE_TIME = 2.0
HEAD = AnswerHead(
    status=200,
    headers=[],
    request_id="r",
    has_origin_proof=True,
    not_executed=False,
    wrong_endpoint=False,
    has_unexpected_encoding=False,
)


class World:
    """A view of two endpoints, and a clock that tests turn."""

    def __init__(self) -> None:
        self.now = 100.0
        self.leaving = LeavingEndpoints(clock=self.clock, serve_time=SERVE_TIME)
        self.quiet = EndpointBackoffs(clock=self.clock)
        self.view = FleetView(clock=self.clock, leaving=self.leaving)
        self.take(make_entry("a"), make_entry("b"), revision=1)

    def clock(self) -> float:
        return self.now

    def take(self, *entries: EndpointEntry, revision: int, **fields: object) -> None:
        self.view.apply_endpoints_update(
            update=EndpointsUpdate(
                **{  # type: ignore[arg-type]
                    "revision": Revision(revision),
                    "entries": tuple(
                        replace(entry, revision=Revision(revision)) for entry in entries
                    ),
                    **fields,
                }
            )
        )

    def answer(self, name: str, **fields: object) -> None:
        """Let the head of an answer come in."""
        EndpointNotices(leaving=self.leaving, backoffs=self.quiet).process(
            endpoint=EndpointId(name),
            head=replace(HEAD, **fields),  # type: ignore[arg-type]
            request_id=RequestId("r"),
        )

    @property
    def ready(self) -> list[str]:
        return [entry.endpoint for entry in self.view.ready(service=ENGINES)]

    @property
    def last(self) -> list[str]:
        return [entry.endpoint for entry in self.view.last_resort(service=ENGINES)]


@pytest.fixture
def world() -> World:
    return World()


def test_answer_goes_before_the_entry(world: World) -> None:
    world.answer("a", leaving=True)

    assert world.ready == ["b"]


@pytest.mark.parametrize("revision", [1, 2, 9])
def test_no_entry_takes_back_what_an_answer_said(world: World, revision: int) -> None:
    """Guards against a heartbeat that was written before the endpoint leaves."""
    world.answer("a", leaving=True)
    world.take(make_entry("a"), make_entry("b"), revision=revision)

    assert world.ready == ["b"]


def test_entry_that_lapsed_and_is_back_takes_nothing_back(world: World) -> None:
    world.answer("a", leaving=True)
    world.view.note_platform_recovery()
    world.take(revision=2, removed={EndpointName("a"): Revision(2)})
    assert world.ready == ["b"]
    world.take(make_entry("a"), revision=3)

    assert world.ready == ["b"]


def test_word_of_one_start_says_nothing_of_the_next(world: World) -> None:
    name = EndpointName("c")
    starts = [
        make_entry(
            endpoint_id(name=name, incarnation=Incarnation(number)),
            incarnation=Incarnation(number),
        )
        for number in (1, 2)
    ]
    world.take(starts[0], revision=2)
    world.answer(starts[0].endpoint, leaving=True)
    assert "c@1" not in world.ready
    world.take(starts[1], revision=3)

    assert "c@2" in world.ready


def test_leaving_endpoint_is_a_last_resort_until_its_time_is_over(
    world: World,
) -> None:
    world.answer("a", leaving=True)
    assert world.last == ["a"]
    world.now += SERVE_TIME - SERVE_MARGIN_SECONDS
    world.answer("a", leaving=True)

    assert world.last == []


def test_entry_that_is_gone_brings_a_leaving_endpoint_no_work_back(
    world: World,
) -> None:
    world.answer("a", leaving=True)
    world.take(revision=2, removed={EndpointName("a"): Revision(2)})

    assert world.last == []


def test_entry_that_says_it_leaves_is_no_last_resort(world: World) -> None:
    world.answer("a", leaving=True)
    world.take(make_entry("a", state=EndpointState.DRAINING), revision=2)

    assert world.last == []


def test_word_of_another_router_counts_from_when_that_one_heard_it(
    world: World,
) -> None:
    note = LeavingNotice(endpoint=EndpointId("a"), age=SERVE_TIME)
    world.leaving.receive(notices=[note])

    assert world.ready == ["b"]
    assert world.last == []


def test_others_are_told_a_few_times_and_again_later(world: World) -> None:
    """Guards against routers behind a cut that never hear of it."""
    world.answer("a", leaving=True)
    told = [
        len(world.leaving.take_due_notices()) for _ in range(REPORTS_PER_UPDATE + 1)
    ]
    assert told == [1] * REPORTS_PER_UPDATE + [0]
    world.now += RESEND_INTERVAL_SECONDS

    assert world.leaving.take_due_notices() == (
        LeavingNotice(endpoint=EndpointId("a"), age=RESEND_INTERVAL_SECONDS),
    )


def test_reports_tell_of_some_at_a_time_and_of_all_in_the_end(world: World) -> None:
    names = {f"engine-{number}" for number in range(3 * MAX_NOTICES_PER_REPORT)}
    for name in names:
        world.answer(name, leaving=True)
    told = set()
    for _ in range(3 * REPORTS_PER_UPDATE):
        news = world.leaving.take_due_notices()
        assert len(news) <= MAX_NOTICES_PER_REPORT
        told |= {note.endpoint for note in news}

    assert told == names


def test_it_is_forgotten_long_after_the_endpoint_is_gone(world: World) -> None:
    world.answer("a", leaving=True)
    world.now += RETENTION_SECONDS + 1.0
    world.leaving.take_due_notices()

    assert EndpointId("a") not in world.leaving


@pytest.mark.parametrize("status", [429, 503])
def test_refusal_with_a_time_asks_for_quiet(world: World, status: int) -> None:
    world.answer("a", status=status, not_executed=True, retry_after=4.0)
    assert world.quiet.is_backing_off(endpoint=EndpointId("a"))
    assert not world.quiet.is_backing_off(endpoint=EndpointId("b"))
    world.now += 4.0

    assert not world.quiet.is_backing_off(endpoint=EndpointId("a"))


def test_time_of_a_success_asks_for_no_quiet(world: World) -> None:
    world.answer("a", retry_after=4.0)

    assert not world.quiet.is_backing_off(endpoint=EndpointId("a"))


def test_shorter_time_does_not_end_a_longer_one(world: World) -> None:
    world.answer("a", status=503, retry_after=4.0)
    world.answer("a", status=503, retry_after=1.0)
    world.now += 2.0

    assert world.quiet.is_backing_off(endpoint=EndpointId("a"))


def test_absurd_time_is_bounded(world: World) -> None:
    """Guards against an endpoint that a wrong number takes out of service for good."""
    world.answer("a", status=503, retry_after=float("inf"))
    world.now += MAX_BACKOFF_SECONDS

    assert not world.quiet.is_backing_off(endpoint=EndpointId("a"))


def test_first_end_of_quiet_is_found(world: World) -> None:
    entries = [make_entry("a"), make_entry("b")]
    assert world.quiet.shortest_wait(entries=entries) is None
    world.answer("a", status=503, retry_after=4.0)
    world.answer("b", status=503, retry_after=3.0)

    assert world.quiet.shortest_wait(entries=entries) == 3.0
