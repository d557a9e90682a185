from __future__ import annotations

from dotterelpaddle.registry.fleet_size import (
    MEMORY_SECONDS,
    SETTLING_SECONDS,
    FleetSize,
)


class Router:
    """A router that knows some others."""

    def __init__(self, *, has_seeds: bool = True) -> None:
        self.now = 0.0
        self.known = 1
        self.fleet = FleetSize(
            heard=lambda: self.known, has_seeds=has_seeds, clock=lambda: self.now
        )

    def count_after(self, *, seconds: float, known: int) -> int | None:
        self.now += seconds
        self.known = known
        return self.fleet.count


def test_size_is_unknown_right_after_the_start() -> None:
    assert Router().count_after(seconds=SETTLING_SECONDS / 2, known=6) is None


def test_size_is_unknown_to_a_router_that_never_heard_another() -> None:
    assert Router().count_after(seconds=MEMORY_SECONDS / 2, known=1) is None


def test_router_without_seeds_is_a_fleet_of_one() -> None:
    assert Router(has_seeds=False).count_after(seconds=SETTLING_SECONDS, known=1) == 1


def test_routers_behind_a_partition_still_count() -> None:
    router = Router()
    before = router.count_after(seconds=SETTLING_SECONDS, known=12)
    partitioned = router.count_after(seconds=MEMORY_SECONDS / 2, known=3)
    later = router.count_after(seconds=MEMORY_SECONDS, known=3)

    assert before == partitioned == 12
    assert later == 3


def test_joining_routers_count_at_once() -> None:
    router = Router()
    router.count_after(seconds=SETTLING_SECONDS, known=6)

    assert router.count_after(seconds=0.1, known=12) == 12
