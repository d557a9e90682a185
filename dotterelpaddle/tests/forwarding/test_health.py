"""Tests the ejection of endpoints, and that enough endpoints remain.

Guards against ejecting most endpoints of a service when each loses a fifth of its
answers to connection resets and serves all other requests.
"""

from __future__ import annotations

from dotterelpaddle.forwarding.health import (
    IN_TRANSIT_SECONDS,
    MIN_EJECTION_SECONDS,
    HealthTracker,
)
from dotterelpaddle.tests.forwarding.entries import make_entry

ENTRIES = [make_entry(f"engine-{number}") for number in range(5)]


class World:
    """One router and its clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.health = HealthTracker(clock=lambda: self.now)

    def usable(self) -> int:
        return len(self.health.usable(entries=ENTRIES))


def test_endpoint_is_ejected_for_a_while_after_a_broken_connection() -> None:
    world = World()
    world.health.record_hard_failure(entry=ENTRIES[0], cause="broke off")
    at_once = world.usable()
    world.now = MIN_EJECTION_SECONDS
    later = world.usable()

    assert (at_once, later) == (4, 5)


def test_endpoints_that_keep_serving_are_not_all_ejected_for_a_lost_answer() -> None:
    """Each loses one answer and soon delivers another that it had started before."""
    world = World()
    for entry in ENTRIES[:4]:
        world.health.record_hard_failure(entry=entry, cause="the connection broke")
    world.now = 0.2
    for entry in ENTRIES[:4]:
        world.health.record_success(endpoint=entry.endpoint, started_at=-0.1)

    assert world.usable() > len(ENTRIES) / 2


def test_answer_in_transit_when_its_endpoint_died_does_not_end_the_ejection() -> None:
    world = World()
    world.health.record_hard_failure(entry=ENTRIES[0], cause="the connection broke")
    world.now = IN_TRANSIT_SECONDS / 2
    world.health.record_success(endpoint=ENTRIES[0].endpoint, started_at=-0.1)

    assert world.usable() == 4


def test_late_answer_after_timeouts_does_not_end_the_ejection() -> None:
    world = World()
    world.health.record_timeout(entry=ENTRIES[0])
    world.health.record_timeout(entry=ENTRIES[0])
    world.now = 2 * IN_TRANSIT_SECONDS
    world.health.record_success(endpoint=ENTRIES[0].endpoint, started_at=-0.1)

    assert world.usable() == 4
