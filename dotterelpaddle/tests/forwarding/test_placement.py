"""Which endpoint a request is sent to."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.choice import Choice, ChoiceReason
from dotterelpaddle.forwarding.health import (
    MIN_EJECTION_SECONDS,
    MIN_RESULTS,
    HealthTracker,
)
from dotterelpaddle.forwarding.herding import LOAD_ALLOWANCE
from dotterelpaddle.forwarding.interface import (
    EndpointsUpdate,
    ForwardRequest,
)
from dotterelpaddle.forwarding.loads import LoadTracker
from dotterelpaddle.forwarding.model import EndpointEntry, EndpointState
from dotterelpaddle.forwarding.placement import ForwardPlacer
from dotterelpaddle.forwarding.reachability import Reachability
from dotterelpaddle.forwarding.request_totals import (
    MAX_TOTALS_AGE_SECONDS,
    RequestTotals,
    TotalsTracker,
)
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    RequestId,
    Revision,
    RouterId,
    ServiceName,
)
from dotterelpaddle.tests.forwarding.entries import (
    make_entry,
    make_request,
    unbounded_cold_endpoints,
)

pytestmark = pytest.mark.anyio

SERVICE = ServiceName("engines")
HERE, THERE = FailureDomain("here"), FailureDomain("there")
A, B, C, D = (EndpointId(name) for name in "abcd")


PLAIN = make_request()
LONG = make_request(("system", 500), ("chat", 10_000))


@dataclass(kw_only=True)
class World:
    """What a placer knows, with a clock that tests turn."""

    now: float = 0.0
    endpoints: tuple[EndpointId, ...] = (A, B, C)
    draining: frozenset[EndpointId] = frozenset()
    parts: Any = field(init=False)

    def __post_init__(self) -> None:
        def clock() -> float:
            return self.now

        view = FleetView(clock=clock)
        shares = TotalsTracker(failure_domain=HERE, clock=clock)
        loads, health = LoadTracker(shares=shares), HealthTracker(clock=clock)
        caches = CacheMap(clock=clock)
        reachability = Reachability(
            view=view,
            backend=None,  # type: ignore[arg-type]
            failure_domain=HERE,
            clock=clock,
        )
        placer = ForwardPlacer(
            view=view,
            loads=loads,
            health=health,
            reachability=reachability,
            quiet=EndpointBackoffs(clock=lambda: 100.0),
            cold=unbounded_cold_endpoints(view=view),
            caches=caches,
            failure_domain=HERE,
            generator=random.Random(1),
        )
        self.parts = SimpleNamespace(
            view=view,
            loads=loads,
            shares=shares,
            health=health,
            caches=caches,
            reachability=reachability,
            placer=placer,
        )
        entries = tuple(self.entry(name) for name in self.endpoints)
        view.apply_endpoints_update(
            update=EndpointsUpdate(
                revision=Revision(1), entries=entries, is_snapshot=True
            )
        )

    def entry(self, name: EndpointId) -> EndpointEntry:
        leaving = name in self.draining
        return make_entry(
            name,
            address=Address(host="10.0.0.1", port=ord(name[0])),
            failure_domain=THERE if name == C else HERE,
            state=EndpointState.DRAINING if leaving else EndpointState.READY,
            models=frozenset({ModelId("m")}),
        )

    def choose(
        self,
        request: ForwardRequest = PLAIN,
        *,
        repeatable: bool = True,
        excluded: frozenset[EndpointId] = frozenset(),
    ) -> Choice:
        choice: Choice = self.parts.placer.choose(
            service=SERVICE,
            request=request,
            repeatable=repeatable,
            excluded=excluded,
        )
        return choice

    def load(self, **loads: int) -> None:
        counts = {EndpointId(name): load for name, load in loads.items()}
        self.parts.shares.hear(
            router=RouterId("other"),
            failure_domain=HERE,
            share=RequestTotals(loads=counts),
        )


def test_plain_request_goes_where_the_least_is_in_flight() -> None:
    world = World()
    world.load(a=3, b=1, c=2)

    assert world.choose().entry.endpoint == B


def test_ties_go_to_the_own_failure_domain() -> None:
    world = World()

    assert {world.choose().entry.failure_domain for _ in range(20)} == {HERE}


def test_other_model_is_not_sent_there() -> None:
    world = World()
    other = ForwardRequest(
        request_id=RequestId("request"),
        method="POST",
        host="",
        path="/",
        target=b"/",
        headers=[],
        model=ModelId("other"),
    )

    with pytest.raises(NoEndpoint) as caught:
        world.choose(other)

    assert caught.value.retry_after


def test_prompt_goes_back_to_where_it_was_read() -> None:
    world = World()
    first = world.choose(LONG)
    others = {A, B, C} - {first.entry.endpoint}
    world.load(**{first.entry.endpoint: 3, **dict.fromkeys(others, 2)})

    again = world.choose(LONG)

    assert again.entry is first.entry
    assert again.reason is ChoiceReason.CACHED


def test_no_cache_is_worth_the_wait_for_a_slot() -> None:
    world = World()
    first = world.choose(LONG)
    others = {A, B, C} - {first.entry.endpoint}
    slots = first.entry.slots
    world.load(**{first.entry.endpoint: slots, **dict.fromkeys(others, slots - 2)})

    assert world.choose(LONG).entry.endpoint in others


def test_part_stays_when_an_endpoint_joins() -> None:
    world = World(endpoints=(A, B))
    requests = [make_request(("system", 500), (f"chat-{n}", 10_000)) for n in range(30)]
    before = [world.choose(request).entry.endpoint for request in requests]
    joined = EndpointsUpdate(revision=Revision(2), entries=(world.entry(C),))
    world.parts.view.take_endpoints(read=joined)

    assert [world.choose(request).entry.endpoint for request in requests] == before


def test_overloaded_endpoint_is_passed_over_and_its_cache_fetched() -> None:
    world = World()
    first = world.choose(LONG)
    world.load(**{first.entry.endpoint: 20})

    again = world.choose(LONG)

    assert again.entry is not first.entry
    assert again.fetch_from is first.entry


def test_leaving_endpoint_hands_out_its_cache() -> None:
    world = World()
    first = world.choose(LONG)
    world.draining = frozenset({first.entry.endpoint})
    leaving = replace(first.entry, state=EndpointState.DRAINING, revision=Revision(2))
    read = EndpointsUpdate(revision=Revision(2), entries=(leaving,))
    world.parts.view.take_endpoints(read=read)

    again = world.choose(LONG)

    assert again.entry.endpoint != first.entry.endpoint
    assert again.fetch_from is not None
    assert again.fetch_from.endpoint == first.entry.endpoint


def test_endpoint_whose_entry_has_just_gone_hands_out_its_cache() -> None:
    world = World()
    first = world.choose(LONG)
    gone = {first.entry.name: Revision(2)}
    read = EndpointsUpdate(revision=Revision(2), entries=(), removed=gone)
    world.parts.view.take_endpoints(read=read)

    assert world.choose(LONG).fetch_from is first.entry


def test_endpoint_that_broke_off_before_it_went_is_not_asked_for_its_cache() -> None:
    world = World()
    first = world.choose(LONG)
    world.parts.health.failed_hard(entry=first.entry, cause="broke off")
    gone = {first.entry.name: Revision(2)}
    read = EndpointsUpdate(revision=Revision(2), entries=(), removed=gone)
    world.parts.view.take_endpoints(read=read)

    assert world.choose(LONG).fetch_from is None


def test_fetch_goes_to_a_failure_domain_without_the_prompt() -> None:
    world = World(endpoints=(A, B, C, D))
    assert world.entry(A).failure_domain == world.entry(B).failure_domain
    world.parts.caches.note(endpoint=A, request=LONG)
    world.load(a=20, b=3, c=4, d=9)

    choice = world.choose(LONG)

    assert choice.entry.endpoint == C
    assert choice.fetch_from is not None


def test_no_endpoint_is_given_more_than_the_bound() -> None:
    world = World()
    placed: list[EndpointId] = []
    for _ in range(60):
        choice = world.choose(LONG)
        placed.append(choice.entry.endpoint)
        world.load(**{name: placed.count(name) for name in (A, B, C)})

    most = max(placed.count(name) for name in (A, B, C))
    assert most <= 2 * 20 + 3
    assert most <= 1.7 * 20 + LOAD_ALLOWANCE + 1


def test_failing_endpoint_gets_what_can_be_repeated_only() -> None:
    world = World(endpoints=(A, B))
    for _ in range(3):
        world.parts.health.failed_answer(entry=world.entry(A))
    world.load(a=1, b=3)

    assert world.choose(repeatable=True).entry.endpoint == A
    assert world.choose(repeatable=False).entry.endpoint == B


def test_ejected_endpoint_comes_back() -> None:
    world = World(endpoints=(A, B))
    world.parts.health.failed_hard(entry=world.entry(A), cause="broke off")
    chosen = {world.choose().entry.endpoint for _ in range(10)}
    world.now += MIN_EJECTION_SECONDS + 0.1
    world.load(a=0, b=5)

    assert chosen == {B}
    assert world.choose().entry.endpoint == A


def test_success_of_an_older_request_does_not_end_an_ejection() -> None:
    world = World(endpoints=(A, B))
    world.now = 5.0
    world.parts.health.failed_hard(entry=world.entry(A), cause="broke off")
    world.parts.health.succeeded(endpoint=A, begun_at=4.0)

    assert world.choose().entry.endpoint == B


def test_one_silence_is_no_reason_to_pass_an_endpoint_over() -> None:
    world = World(endpoints=(A, B))
    world.load(a=0, b=5)
    world.parts.health.was_silent(entry=world.entry(A))
    after_one = world.choose().entry.endpoint
    world.parts.health.was_silent(entry=world.entry(A))

    assert after_one == A
    assert world.choose().entry.endpoint == B


def test_endpoints_that_all_fail_alike_stay_in_use() -> None:
    world = World()
    for name in (A, B, C):
        for _ in range(MIN_RESULTS * 2):
            world.parts.health.failed_answer(entry=world.entry(name))

    assert world.choose().candidate_count == 3


def test_replaced_endpoint_is_never_chosen() -> None:
    world = World(endpoints=(A,))
    world.parts.health.gone(entry=world.entry(A))

    with pytest.raises(NoEndpoint):
        world.choose()


async def test_silent_endpoint_puts_its_failure_domain_in_doubt() -> None:
    world = World()
    world.parts.reachability.suspect(entry=world.entry(C), silent=True)
    assert world.choose().candidate_count == 2

    world.parts.reachability.suspect(entry=world.entry(A), silent=True)
    assert {world.choose().entry.endpoint for _ in range(5)} == {B}


async def test_endpoints_of_a_failure_domain_that_is_checked_are_passed_over() -> None:
    world = World()
    world.parts.reachability.check(failure_domain=HERE)

    assert {world.choose().entry.endpoint for _ in range(5)} == {C}


async def test_where_all_are_in_doubt_one_is_tried() -> None:
    world = World(endpoints=(A,))
    world.parts.reachability.suspect(entry=world.entry(A), silent=False)

    assert world.choose().entry.endpoint == A


def test_word_of_a_silent_router_is_forgotten() -> None:
    world = World()
    world.load(a=50)
    world.now = MAX_TOTALS_AGE_SECONDS + 0.1

    assert world.choose().load == 0
