"""Where parts of prompts are known to be, and who is told."""

from __future__ import annotations

from dotterelpaddle.forwarding.caches import (
    MIN_REPEAT_REPORT_SECONDS,
    CacheMap,
    UseOrigin,
)
from dotterelpaddle.forwarding.use_queue import (
    MAX_LOCAL_USES_PER_REPORT,
    REPORTS_PER_USE,
)
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.tests.forwarding.entries import make_request

A, B = EndpointId("a"), EndpointId("b")
LONG = make_request(("system", 500), ("chat", 10_000))


def test_uses_are_told_a_few_times_and_a_few_at_a_time() -> None:
    caches = CacheMap(clock=lambda: 0.0)
    for number in range(MAX_LOCAL_USES_PER_REPORT + 10):
        caches.record_part(endpoint=A, part=number)

    reports = [caches.take_pending() for _ in range(20)]

    told = [use for report in reports for use in report]
    assert max(len(report) for report in reports) == MAX_LOCAL_USES_PER_REPORT
    assert {told.count(use) for use in set(told)} == {REPORTS_PER_USE}
    assert len(set(told)) == MAX_LOCAL_USES_PER_REPORT + 10


def test_part_counts_only_with_all_parts_before_it() -> None:
    caches = CacheMap(clock=lambda: 0.0)
    caches.record_prompt(endpoint=A, request=make_request(("chat", 10_000)))

    assert caches.missing_tokens(endpoint=A, request=LONG) == 10_500
    caches.record_prompt(endpoint=A, request=make_request(("system", 500)))
    assert caches.missing_tokens(endpoint=A, request=LONG) == 0
    assert caches.missing_tokens(endpoint=B, request=LONG) == 10_500


def test_prompt_that_never_arrived_is_forgotten() -> None:
    caches = CacheMap(clock=lambda: 0.0)
    caches.record_prompt(endpoint=A, request=make_request(("system", 500)))
    noted = caches.record_prompt(endpoint=A, request=LONG)
    caches.retract_parts(endpoint=A, parts=noted)

    assert caches.missing_tokens(endpoint=A, request=LONG) == 10_000
    assert len(caches.take_pending()) == 1


def test_use_that_all_know_is_told_again_now_and_then() -> None:
    now = 0.0
    caches = CacheMap(clock=lambda: now)
    caches.receive(uses=[(1, A)])

    caches.record_part(endpoint=A, part=1)
    at_once = caches.take_pending()
    now = MIN_REPEAT_REPORT_SECONDS
    caches.record_part(endpoint=A, part=1)

    assert at_once == []
    assert caches.take_pending() == [(1, A)]


def test_use_is_passed_on_as_news_of_its_origin() -> None:
    caches = CacheMap(clock=lambda: 0.0)

    caches.receive(uses=[(1, A)], forward_as=UseOrigin.SAME_DOMAIN)
    caches.receive(uses=[(2, A)])

    assert caches.take_pending(origin=UseOrigin.SAME_DOMAIN) == [(1, A)]
    assert caches.take_pending(origin=UseOrigin.OTHER_DOMAIN) == []
    assert caches.take_pending() == []
