"""What is counted at endpoints while requests are in flight."""

from __future__ import annotations

from dotterelpaddle.forwarding.loads import LoadTracker
from dotterelpaddle.forwarding.request_totals import RequestTotals, TotalsTracker
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId

HERE = FailureDomain("here")
ENDPOINT = EndpointId("engine-1")


def _book() -> tuple[LoadTracker, TotalsTracker]:
    shares = TotalsTracker(failure_domain=HERE, clock=lambda: 0.0)
    return LoadTracker(shares=shares), shares


def test_prompt_waits_until_its_answer_begins() -> None:
    book, _ = _book()
    with book.track(endpoint=ENDPOINT, work_tokens=700) as held:
        waiting = book.queued_tokens()[ENDPOINT]
        held.answer_started()
        begun = book.queued_tokens()[ENDPOINT]
        load = book.loads()[ENDPOINT]

    assert (waiting, begun, load) == (700, 0, 1)
    assert not book.loads()
    assert not book.queued_tokens()


def test_request_that_ends_without_an_answer_waits_no_more() -> None:
    book, _ = _book()
    with book.track(endpoint=ENDPOINT, work_tokens=700):
        pass

    assert not book.own
    assert not book.own_queued_tokens


def test_what_waits_is_added_up_over_all_routers() -> None:
    book, shares = _book()
    shares.receive(
        router=RouterId("other"),
        failure_domain=HERE,
        totals=RequestTotals(loads={ENDPOINT: 2}, queued_tokens={ENDPOINT: 300}),
    )
    with book.track(endpoint=ENDPOINT, work_tokens=700):
        assert book.queued_tokens()[ENDPOINT] == 1000
        own = RequestTotals(loads=book.own, queued_tokens=book.own_queued_tokens)
        assert shares.domain_totals(own=own).queued_tokens == {ENDPOINT: 1000}
