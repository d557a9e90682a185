"""Tests the loads and queued tokens of requests in flight."""

from __future__ import annotations

from dotterelpaddle.forwarding.loads import LoadTracker
from dotterelpaddle.forwarding.request_totals import RequestTotals, TotalsTracker
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId

HERE = FailureDomain("here")
ENDPOINT = EndpointId("engine-1")


def _tracker() -> tuple[LoadTracker, TotalsTracker]:
    totals = TotalsTracker(failure_domain=HERE, clock=lambda: 0.0)
    return LoadTracker(totals=totals), totals


def test_prompt_waits_for_prefill_until_its_answer_starts() -> None:
    tracker, _ = _tracker()
    with tracker.track(endpoint=ENDPOINT, work_tokens=700) as request:
        waiting = tracker.queued_tokens()[ENDPOINT]
        request.answer_started()
        started = tracker.queued_tokens()[ENDPOINT]
        load = tracker.loads()[ENDPOINT]

    assert (waiting, started, load) == (700, 0, 1)
    assert not tracker.loads()
    assert not tracker.queued_tokens()


def test_request_that_ends_without_an_answer_leaves_no_queued_tokens() -> None:
    tracker, _ = _tracker()
    with tracker.track(endpoint=ENDPOINT, work_tokens=700):
        pass

    assert not tracker.own
    assert not tracker.own_queued_tokens


def test_queued_tokens_are_summed_over_all_routers() -> None:
    tracker, totals = _tracker()
    totals.receive(
        router=RouterId("other"),
        failure_domain=HERE,
        totals=RequestTotals(loads={ENDPOINT: 2}, queued_tokens={ENDPOINT: 300}),
    )
    with tracker.track(endpoint=ENDPOINT, work_tokens=700):
        assert tracker.queued_tokens()[ENDPOINT] == 1000
        own = RequestTotals(loads=tracker.own, queued_tokens=tracker.own_queued_tokens)
        assert totals.domain_totals(own=own).queued_tokens == {ENDPOINT: 1000}
