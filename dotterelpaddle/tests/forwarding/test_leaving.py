"""Tests endpoints that report in an answer that they leave, or ask for a backoff."""

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
from dotterelpaddle.forwarding.revisions import FIRST_ERA
from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import (
    EndpointId,
    EndpointName,
    Incarnation,
    RequestId,
    ServiceName,
)
from dotterelpaddle.tests.forwarding.entries import make_brittle, make_entry
from dotterelpaddle.tests.revisions import revision_at

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
    """A view of two endpoints, and a clock that tests advance."""

    def __init__(self) -> None:
        self.now = 100.0
        self.store_clock = StoreClock(clock=self.clock)
        self.record_store_answer()
        self.leaving = LeavingEndpoints(
            clock=self.clock, store_clock=self.store_clock, serve_time=SERVE_TIME
        )
        self.backoffs = EndpointBackoffs(clock=self.clock)
        self.view = FleetView(clock=self.clock, leaving=self.leaving)
        self.apply(make_entry("a"), make_entry("b"), revision=1)

    def clock(self) -> float:
        return self.now

    def store_time(self) -> StoreTime:
        """Return the time on the store's clock."""
        return StoreTime(era=FIRST_ERA, seconds=self.now + 1000.0)

    def record_store_answer(self) -> None:
        """Process an answer of the store that takes no time."""
        self.store_clock.record_answer(time=self.store_time(), requested_at=self.now)

    def apply(self, *entries: EndpointEntry, revision: int, **fields: object) -> None:
        self.view.apply_endpoints_update(
            update=EndpointsUpdate(
                **{  # type: ignore[arg-type]
                    "revision": revision_at(revision),
                    "entries": tuple(
                        replace(entry, revision=revision_at(revision))
                        for entry in entries
                    ),
                    **fields,
                }
            )
        )

    def receive_answer(self, name: str, **fields: object) -> None:
        """Process the head of an answer."""
        notices = EndpointNotices(
            leaving=self.leaving,
            backoffs=self.backoffs,
            brittle=make_brittle(backoffs=self.backoffs),
        )
        notices.process(
            entry=make_entry(name, service=ENGINES),
            head=replace(HEAD, **fields),  # type: ignore[arg-type]
            request_id=RequestId("r"),
        )

    @property
    def ready(self) -> list[str]:
        return [entry.endpoint for entry in self.view.ready(service=ENGINES)]

    @property
    def last_resort(self) -> list[str]:
        return [entry.endpoint for entry in self.view.last_resort(service=ENGINES)]


@pytest.fixture
def world() -> World:
    return World()


def test_answer_takes_precedence_over_the_entry(world: World) -> None:
    world.receive_answer("a", leaving=True)

    assert world.ready == ["b"]


@pytest.mark.parametrize("revision", [1, 2, 9])
def test_no_entry_revokes_the_report_in_an_answer(world: World, revision: int) -> None:
    """Guards against a heartbeat that the endpoint wrote before it reported leaving."""
    world.receive_answer("a", leaving=True)
    world.apply(make_entry("a"), make_entry("b"), revision=revision)

    assert world.ready == ["b"]


def test_entry_that_expired_and_returned_does_not_revoke_the_report(
    world: World,
) -> None:
    world.receive_answer("a", leaving=True)
    world.view.note_platform_recovery()
    world.apply(revision=2, removed={EndpointName("a"): revision_at(2)})
    assert world.ready == ["b"]
    world.apply(make_entry("a"), revision=3)

    assert world.ready == ["b"]


def test_report_does_not_apply_to_the_next_incarnation(world: World) -> None:
    name = EndpointName("c")
    starts = [
        make_entry(
            endpoint_id(name=name, incarnation=Incarnation(number)),
            incarnation=Incarnation(number),
        )
        for number in (1, 2)
    ]
    world.apply(starts[0], revision=2)
    world.receive_answer(starts[0].endpoint, leaving=True)
    assert "c@1" not in world.ready
    world.apply(starts[1], revision=3)

    assert "c@2" in world.ready


def test_leaving_endpoint_is_a_last_resort_until_its_serve_time_ends(
    world: World,
) -> None:
    world.receive_answer("a", leaving=True)
    assert world.last_resort == ["a"]
    world.now += SERVE_TIME - SERVE_MARGIN_SECONDS
    world.receive_answer("a", leaving=True)

    assert world.last_resort == []


def test_removed_entry_does_not_make_a_leaving_endpoint_a_last_resort(
    world: World,
) -> None:
    world.receive_answer("a", leaving=True)
    world.apply(revision=2, removed={EndpointName("a"): revision_at(2)})

    assert world.last_resort == []


def test_draining_entry_is_no_last_resort(world: World) -> None:
    world.receive_answer("a", leaving=True)
    world.apply(make_entry("a", state=EndpointState.DRAINING), revision=2)

    assert world.last_resort == []


def test_notice_of_a_peer_counts_from_its_first_report(
    world: World,
) -> None:
    reported_at = world.store_time()
    world.now += SERVE_TIME
    notice = LeavingNotice(endpoint=EndpointId("a"), since=reported_at, age=SERVE_TIME)
    world.leaving.receive(notices=[notice])

    assert world.ready == ["b"]
    assert world.last_resort == []


# Guards against requests at a leaving endpoint by a router that learns of it late and
# takes the notice for a new one.
def test_time_on_its_way_counts_for_a_notice(world: World) -> None:
    sender, other = world, World()
    sender.receive_answer("a", leaving=True)
    (notice,) = sender.leaving.take_due_notices()
    other.now += 0.5
    other.leaving.receive(notices=[notice])
    soon = other.last_resort
    later = World()
    later.now += SERVE_TIME - SERVE_MARGIN_SECONDS
    later.leaving.receive(notices=[notice])

    assert soon == ["a"]
    assert later.last_resort == []


def test_notice_without_a_time_makes_no_last_resort(world: World) -> None:
    notice = LeavingNotice(endpoint=EndpointId("a"), since=None, age=0.1)
    world.leaving.receive(notices=[notice])

    assert world.ready == ["b"]
    assert world.last_resort == []


def test_notices_are_sent_a_few_times_and_again_later(world: World) -> None:
    """Guards against routers that miss the notice in a network partition."""
    world.receive_answer("a", leaving=True)
    sent = [
        len(world.leaving.take_due_notices()) for _ in range(REPORTS_PER_UPDATE + 1)
    ]
    assert sent == [1] * REPORTS_PER_UPDATE + [0]
    reported_at = world.store_time()
    world.now += RESEND_INTERVAL_SECONDS

    assert world.leaving.take_due_notices() == (
        LeavingNotice(
            endpoint=EndpointId("a"), since=reported_at, age=RESEND_INTERVAL_SECONDS
        ),
    )


def test_all_notices_are_sent_over_several_reports(world: World) -> None:
    names = {f"engine-{number}" for number in range(3 * MAX_NOTICES_PER_REPORT)}
    for name in names:
        world.receive_answer(name, leaving=True)
    sent = set()
    for _ in range(3 * REPORTS_PER_UPDATE):
        notices = world.leaving.take_due_notices()
        assert len(notices) <= MAX_NOTICES_PER_REPORT
        sent |= {notice.endpoint for notice in notices}

    assert sent == names


def test_records_expire_long_after_the_endpoint_stopped(world: World) -> None:
    world.receive_answer("a", leaving=True)
    world.now += RETENTION_SECONDS + 1.0
    world.leaving.take_due_notices()

    assert EndpointId("a") not in world.leaving


@pytest.mark.parametrize("status", [429, 503])
def test_refusal_with_a_time_starts_a_backoff(world: World, status: int) -> None:
    world.receive_answer("a", status=status, not_executed=True, retry_after=4.0)
    assert world.backoffs.is_backing_off(endpoint=EndpointId("a"))
    assert not world.backoffs.is_backing_off(endpoint=EndpointId("b"))
    world.now += 4.0

    assert not world.backoffs.is_backing_off(endpoint=EndpointId("a"))


def test_success_with_a_time_starts_no_backoff(world: World) -> None:
    world.receive_answer("a", retry_after=4.0)

    assert not world.backoffs.is_backing_off(endpoint=EndpointId("a"))


def test_shorter_backoff_does_not_end_a_longer_one(world: World) -> None:
    world.receive_answer("a", status=503, retry_after=4.0)
    world.receive_answer("a", status=503, retry_after=1.0)
    world.now += 2.0

    assert world.backoffs.is_backing_off(endpoint=EndpointId("a"))


def test_absurd_backoff_is_capped(world: World) -> None:
    """Guards against a wrong number that takes an endpoint out of service for good."""
    world.receive_answer("a", status=503, retry_after=float("inf"))
    world.now += MAX_BACKOFF_SECONDS

    assert not world.backoffs.is_backing_off(endpoint=EndpointId("a"))


def test_shortest_wait_is_the_first_end_of_a_backoff(world: World) -> None:
    entries = [make_entry("a"), make_entry("b")]
    assert world.backoffs.shortest_wait(entries=entries) is None
    world.receive_answer("a", status=503, retry_after=4.0)
    world.receive_answer("b", status=503, retry_after=3.0)

    assert world.backoffs.shortest_wait(entries=entries) == 3.0
