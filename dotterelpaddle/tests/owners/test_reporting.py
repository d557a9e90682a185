"""When a router tells which owner of its requests in flight.

The pattern: a long stream at an endpoint of one failure domain, beside short requests
in another one that begin and end all the time.
"""

from __future__ import annotations

from dotterelpaddle.owners.counts import REPORT_INTERVAL_SECONDS, REPORT_TTL_SECONDS
from dotterelpaddle.tests.owners.harness import (
    HERE,
    THERE,
    OwnerHarness,
    RequestingRouter,
)

PAUSE = 0.1
"""Seconds between short requests."""


def _router() -> tuple[OwnerHarness, RequestingRouter]:
    world = OwnerHarness(endpoints=4, there=4)
    return world, RequestingRouter(name="router", harness=world)


def test_owner_of_a_long_stream_hears_of_it_whatever_goes_on_elsewhere() -> None:
    world, router = _router()
    router.begin(endpoint=world.others[0])
    last_told, longest = world.now, 0.0
    for _ in range(100):
        router.begin(endpoint=world.endpoints[0])
        router.end(1)
        world.now += PAUSE
        for domain in router.reporter.take_due_domains():
            router.reporter.build_report(domain=domain)
            if domain == THERE:
                longest = max(longest, world.now - last_told)
                last_told = world.now
    longest = max(longest, world.now - last_told)

    assert longest < REPORT_TTL_SECONDS / 2


def test_owner_that_granted_a_request_need_not_be_told_of_it_at_once() -> None:
    world, router = _router()
    asked, question = router.open_request()
    router.apply_grant(pending=asked, grant=world.owner.decide(request=question))

    assert router.reporter.take_due_domains() == set()


def test_end_of_a_request_is_told_at_once() -> None:
    world, router = _router()
    asked, question = router.open_request()
    router.apply_grant(pending=asked, grant=world.owner.decide(request=question))
    router.end(0)

    assert router.reporter.take_due_domains() == {HERE}
    assert router.reporter.take_due_domains() == set()


def test_nothing_in_flight_is_not_told_again() -> None:
    world, router = _router()
    router.build_report()
    world.now += 2 * REPORT_INTERVAL_SECONDS

    assert router.reporter.take_due_domains() == set()
