"""Many routers get a burst of requests for one prompt in the same moment.

The pattern: 80 requests within a few milliseconds, at as many routers, for a subject
whose prompt of 9,000 tokens no engine has. Reports between routers are 0.2 to 0.6 s
old, so each router for itself sees empty engines; six engines of twelve slots hold 72.
"""

from __future__ import annotations

from collections import Counter

from dotterelpaddle.forwarding.herding import load_bound
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.request_totals import RequestTotals
from dotterelpaddle.ids import EndpointId, FailureDomain, Revision, RouterId
from dotterelpaddle.owners.counts import REPORT_INTERVAL_SECONDS, REPORT_TTL_SECONDS
from dotterelpaddle.tests.forwarding.entries import make_entry, make_request
from dotterelpaddle.tests.owners.harness import (
    SLOTS,
    THERE,
    OwnerHarness,
    RequestingRouter,
    total,
)

ROUTERS = 80
BOUND_MULTIPLE, BOUND_ALLOWANCE = 2, 3
"""What users allow an endpoint: twice the mean of its service and three requests."""


def _routers(world: OwnerHarness, count: int = ROUTERS) -> list[RequestingRouter]:
    return [RequestingRouter(name=f"router-{n}", harness=world) for n in range(count)]


def _settle(world: OwnerHarness, routers: list[RequestingRouter]) -> None:
    """Let the owner hear from all for as long as it takes to believe its counts."""
    until = world.now + REPORT_TTL_SECONDS
    while world.now < until:
        for router in routers:
            world.owner.record_report(report=router.build_report())
        world.now += REPORT_INTERVAL_SECONDS


def _ask(
    world: OwnerHarness, router: RequestingRouter, *, must: bool = True
) -> str | None:
    asked, question = router.open_request(ignore_bound=must)
    return router.apply_grant(pending=asked, grant=world.owner.decide(request=question))


def test_burst_at_many_routers_overloads_no_endpoint() -> None:
    world = OwnerHarness()
    routers = _routers(world)
    _settle(world, routers)
    for router in routers:
        endpoint = _ask(world, router)
        loads = total(routers)
        mean = sum(loads.values()) / len(world.endpoints)
        assert endpoint is not None
        assert loads[EndpointId(endpoint)] <= BOUND_MULTIPLE * mean + BOUND_ALLOWANCE


def test_first_readers_of_a_prompt_at_many_routers_share_one_read() -> None:
    world = OwnerHarness()
    routers = _routers(world, 8)
    _settle(world, routers)
    questions = [router.open_request() for router in routers]
    grants = [world.owner.decide(request=question) for _, question in questions]

    read = [grant for grant in grants if grant.missing and grant.fetch_from is None]
    assert len(read) == 1
    assert all(grant.endpoint is not None for grant in grants)


def test_shard_that_is_full_sends_on_unless_it_must_not() -> None:
    world = OwnerHarness()
    routers = _routers(world)
    _settle(world, routers)
    for router in routers[: SLOTS * len(world.endpoints)]:
        assert _ask(world, router) is not None
    # The mean is that of the whole service: with all at their slots and the mean
    # there too, the bound leaves two more to each endpoint.
    last = routers[-1]
    for endpoint in world.endpoints:
        for _ in range(5):
            last.begin(endpoint=endpoint)
    for _ in range(5):
        last.begin(endpoint=world.endpoints[0])
    world.owner.record_report(report=last.build_report())

    asked, question = last.open_request(ignore_bound=True)
    granted = world.owner.decide(request=question)
    assert granted.endpoint not in (None, world.endpoints[0])


def test_endpoint_that_the_asking_router_can_not_use_is_not_chosen() -> None:
    world = OwnerHarness(endpoints=2)
    (router,) = _routers(world, 1)
    _, question = router.open_request(excluded=frozenset({world.endpoints[0]}))
    grant = world.owner.decide(request=question)
    assert grant.endpoint == world.endpoints[1]


def test_new_owner_goes_by_the_greater_count_until_all_have_told() -> None:
    """What reports tell counts while routers have not told the new owner yet."""
    world = OwnerHarness()
    routers = _routers(world, 12)
    _settle(world, routers)
    for router in routers:
        _ask(world, router)
    world.restart_owner()
    for router in routers[:6]:
        world.owner.record_report(report=router.build_report())
    assert not world.counts.warmed_up
    _settle(world, routers)
    assert world.counts.warmed_up
    assert Counter(world.counts.loads) == total(routers)


def test_owner_that_stands_in_counts_what_routers_have_elsewhere() -> None:
    """Routers tell it of the other failure domain too, which it never counted."""
    world = OwnerHarness(endpoints=4, there=4)
    routers = _routers(world, 12)
    for router in routers:
        router.begin(endpoint=world.others[0])
    _settle(world, routers)
    asked, question = routers[0].open_request(shard=THERE)
    endpoint = routers[0].apply_grant(
        pending=asked, grant=world.owner.decide(request=question)
    )

    assert endpoint in world.others[1:]


def test_owner_that_stands_in_goes_by_the_greater_count() -> None:
    """Some routers may still ask the owner itself, and be told of by reports alone."""
    world = OwnerHarness(endpoints=4, there=4)
    routers = _routers(world, 3)
    _settle(world, routers)
    told = RequestTotals(loads=dict.fromkeys(world.others[:3], SLOTS))
    world.shares.receive(router=RouterId("far"), failure_domain=THERE, totals=told)
    _, question = routers[0].open_request(shard=THERE)

    assert world.owner.decide(request=question).endpoint == world.others[3]


def test_requests_of_a_router_that_ended_are_forgotten() -> None:
    world = OwnerHarness()
    (router,) = _routers(world, 1)
    _ask(world, router)
    world.now += REPORT_TTL_SECONDS + 0.1
    assert not world.counts.loads


def test_bound_of_the_owner_is_under_what_users_allow() -> None:
    entry = make_entry("engine", slots=SLOTS)
    for mean in (0.0, 1.0, 4.0, 9.0, 30.0):
        allowed = BOUND_MULTIPLE * mean + BOUND_ALLOWANCE
        assert load_bound(entry=entry, mean=mean) <= allowed


def test_plain_requests_are_counted_exactly_too() -> None:
    world = OwnerHarness(endpoints=3)
    routers = _routers(world, 30)
    _settle(world, routers)
    for router in routers:
        asked, question = router.open_request(request=make_request(), ignore_bound=True)
        router.apply_grant(pending=asked, grant=world.owner.decide(request=question))
    assert set(total(routers).values()) == {10}


def test_full_shard_tells_where_the_prompt_can_be_fetched_from() -> None:
    """The second owner lets it be fetched instead of read again."""
    first, second = OwnerHarness(endpoints=4), OwnerHarness(endpoints=4)
    (router,) = _routers(first, 1)
    _settle(first, [router])
    holder = _ask(first, router)
    for endpoint in first.endpoints:
        for _ in range(3 * SLOTS):
            router.begin(endpoint=endpoint)
    for _ in range(4 * SLOTS):
        router.begin(endpoint=first.endpoints[3])
    first.view.apply_endpoints_update(
        update=EndpointsUpdate(
            revision=Revision(2),
            entries=(
                *first.view.entries,
                *(
                    make_entry(
                        f"idle-{n}", slots=SLOTS, failure_domain=FailureDomain("there")
                    )
                    for n in range(40)
                ),
            ),
            is_snapshot=True,
        )
    )
    _, question = router.open_request(ignore_bound=False)
    refusal = first.owner.decide(request=question)
    _, question = router.open_request(ignore_bound=True, cached_at=refusal.fetch_from)
    grant = second.owner.decide(request=question)

    assert refusal.endpoint is None
    assert refusal.fetch_from == holder
    assert holder in (grant.fetch_from, grant.endpoint)
