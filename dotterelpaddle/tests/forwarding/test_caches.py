"""The map of cached prompt parts and its reports to other routers."""

from __future__ import annotations

from dotterelpaddle.forwarding.caches import (
    MAX_PARTS,
    MIN_REPEAT_REPORT_SECONDS,
    CacheMap,
    UseOrigin,
)
from dotterelpaddle.forwarding.use_queue import (
    MAX_LOCAL_USES_PER_REPORT,
    MAX_QUEUED_USES,
    REPORTS_PER_USE,
    UseQueue,
)
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.tests.forwarding.entries import make_request

A, B = EndpointId("a"), EndpointId("b")
LONG = make_request(("system", 500), ("chat", 10_000))


def test_each_use_is_in_several_reports_of_limited_size() -> None:
    caches = CacheMap(clock=lambda: 0.0)
    for number in range(MAX_LOCAL_USES_PER_REPORT + 10):
        caches.record_part(endpoint=A, part=number)

    reports = [caches.take_pending() for _ in range(20)]

    reported = [use for report in reports for use in report]
    assert max(len(report) for report in reports) == MAX_LOCAL_USES_PER_REPORT
    assert {reported.count(use) for use in set(reported)} == {REPORTS_PER_USE}
    assert len(set(reported)) == MAX_LOCAL_USES_PER_REPORT + 10


def test_part_counts_only_with_all_parts_before_it() -> None:
    caches = CacheMap(clock=lambda: 0.0)
    caches.record_prompt(endpoint=A, request=make_request(("chat", 10_000)))

    assert caches.missing_tokens(endpoint=A, request=LONG) == 10_500
    caches.record_prompt(endpoint=A, request=make_request(("system", 500)))
    assert caches.missing_tokens(endpoint=A, request=LONG) == 0
    assert caches.missing_tokens(endpoint=B, request=LONG) == 10_500


def test_prompt_that_never_arrived_is_removed() -> None:
    caches = CacheMap(clock=lambda: 0.0)
    caches.record_prompt(endpoint=A, request=make_request(("system", 500)))
    new_parts = caches.record_prompt(endpoint=A, request=LONG)
    caches.retract_parts(endpoint=A, parts=new_parts)

    assert caches.missing_tokens(endpoint=A, request=LONG) == 10_000
    assert len(caches.take_pending()) == 1


def test_known_use_is_reported_again_after_a_while() -> None:
    now = 0.0
    caches = CacheMap(clock=lambda: now)
    caches.receive(uses=[(1, A)])

    caches.record_part(endpoint=A, part=1)
    first_report = caches.take_pending()
    now = MIN_REPEAT_REPORT_SECONDS
    caches.record_part(endpoint=A, part=1)

    assert first_report == []
    assert caches.take_pending() == [(1, A)]


def test_use_is_forwarded_under_its_origin() -> None:
    caches = CacheMap(clock=lambda: 0.0)

    caches.receive(uses=[(1, A)], forward_as=UseOrigin.SAME_DOMAIN)
    caches.receive(uses=[(2, A)])

    assert caches.take_pending(origin=UseOrigin.SAME_DOMAIN) == [(1, A)]
    assert caches.take_pending(origin=UseOrigin.OTHER_DOMAIN) == []
    assert caches.take_pending() == []


# Guards against a router whose memory fills with the uses of prompts of 1,500 parts,
# faster than reports to other routers can contain them.
def test_queue_of_uses_has_a_bound_and_keeps_the_latest() -> None:
    queue = UseQueue(max_per_report=2 * MAX_QUEUED_USES)
    for part in range(3 * MAX_QUEUED_USES):
        queue.put(use=(part, A))

    assert queue.size == MAX_QUEUED_USES
    latest = range(2 * MAX_QUEUED_USES, 3 * MAX_QUEUED_USES)
    assert queue.take() == [(part, A) for part in latest]


# Guards against the same by what other routers report, which is passed on.
def test_long_prompts_leave_the_map_of_caches_bounded() -> None:
    caches = CacheMap(clock=lambda: 0.0)
    parts = 1_500
    for number in range(40):
        names = [(f"{number}-{part}", 7) for part in range(parts)]
        caches.record_prompt(endpoint=A, request=make_request(*names))
        uses = [(-(parts * number + part), B) for part in range(parts)]
        for origin in (UseOrigin.SAME_DOMAIN, UseOrigin.OTHER_DOMAIN):
            caches.receive(uses=uses, forward_as=origin)

    assert caches.part_count <= MAX_PARTS
    assert all(each.size <= MAX_QUEUED_USES for each in caches._pending.values())
    assert len(caches._reported_at) <= MAX_PARTS
