"""Routers that retry as often as they may, while some start again or hear no others."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, TypeAlias

from dotterelpaddle.ids import RouterId
from dotterelpaddle.tests.forwarding.budget_fleet import (
    END,
    FAILURES_FROM,
    FLEET_SIZES,
    HERE,
    MIN_USED_SHARE,
    SERVICE,
    STEP_SECONDS,
    Fleet,
)
from dotterelpaddle.tests.owners.hosts import SEED_ADDRESSES, build_router

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def _restart_all(fleet: Fleet) -> None:
    for router in fleet.routers:
        router.start()


def _restart_in_turn(fleet: Fleet) -> None:
    fleet.routers[round(fleet.now) % len(fleet.routers)].start()


def _cut_in_halves(fleet: Fleet) -> None:
    for number, router in enumerate(fleet.routers):
        router.group = number % 2


def _connect(fleet: Fleet) -> None:
    for router in fleet.routers:
        router.group = 0


def _cut_each_off(fleet: Fleet) -> None:
    for number, router in enumerate(fleet.routers):
        router.group = number


def _freeze_half(fleet: Fleet) -> None:
    for router in fleet.routers[::2]:
        router.frozen = not router.frozen


def _restart_all_in_a_cut(fleet: Fleet) -> None:
    _cut_in_halves(fleet)
    _restart_all(fleet)


def _restart_half_in_a_cut(fleet: Fleet) -> None:
    _cut_in_halves(fleet)
    for router in fleet.routers[::2]:
        router.start()


def _lose_half(fleet: Fleet) -> None:
    for router in fleet.routers[::2]:
        router.frozen = True


def _lose_all_but_one(fleet: Fleet) -> None:
    for router in fleet.routers[1:]:
        router.frozen = True


def _return_all(fleet: Fleet) -> None:
    for router in fleet.routers:
        if router.frozen:
            router.frozen = False
            router.start()


def _double(fleet: Fleet) -> None:
    fleet.add(count=len(fleet.routers))


Events: TypeAlias = "Mapping[float, Callable[[Fleet], None]]"

RESTARTS: Mapping[str, Events] = {
    "all": {18.0: _restart_all},
    "all twice": {17.0: _restart_all, 20.5: _restart_all},
    "all three times": {17.0: _restart_all, 19.0: _restart_all, 22.0: _restart_all},
    "in turn": {17.0 + number: _restart_in_turn for number in range(20)},
    "all while cut off": {15.0: _cut_each_off, 19.0: _restart_all},
}

MISSING_REPORTS: Mapping[str, Events] = {
    "between two reports": {},
    "cut in halves": {16.0: _cut_in_halves},
    "each cut off": {16.0: _cut_each_off},
    "half frozen": {17.0: _freeze_half, 18.0: _freeze_half},
    "fleet doubles": {17.0: _double},
}


def _restart_all_in_a_cut_without_store(fleet: Fleet) -> None:
    _lose_store(fleet)
    _restart_all_in_a_cut(fleet)


def _lose_store(fleet: Fleet) -> None:
    for router in fleet.routers:
        router.reaches_store = False


def _double_in_a_cut(fleet: Fleet) -> None:
    _double(fleet)
    for router in fleet.routers[len(fleet.routers) // 2 :]:
        router.group = 1


def _double_in_a_cut_from_the_store(fleet: Fleet) -> None:
    _lose_store(fleet)
    _double_in_a_cut(fleet)


STARTS_IN_A_CUT: Mapping[str, Events] = {
    "all": {14.0: _restart_all_in_a_cut},
    "all, which then are connected": {14.0: _restart_all_in_a_cut, 33.0: _connect},
    "half": {14.0: _restart_half_in_a_cut},
    "all of a cut fleet, twice": {
        2.0: _cut_in_halves,
        14.0: _restart_all,
        20.0: _restart_all,
    },
}

CUTS_FROM_THE_STORE: Mapping[str, Events] = {
    "all start in a cut, the store is away": {
        14.0: _restart_all_in_a_cut_without_store,
    },
    "fleet doubles in a cut": {8.0: _double_in_a_cut},
    "fleet doubles in a cut, where it doesn't reach the store": {
        8.0: _double_in_a_cut_from_the_store,
    },
}

MOVES: Mapping[str, Events] = {
    "half are lost": {26.1: _lose_half},
    "all but one are lost": {26.1: _lose_all_but_one},
    "half are lost and return": {26.1: _lose_half, 29.0: _return_all},
    "all but one are lost and return": {26.1: _lose_all_but_one, 29.0: _return_all},
}
"""Callers of routers that are lost move to others, ten seconds of requests later."""


def _play(
    *,
    size: int,
    events: Events,
    failures_from: float = FAILURES_FROM,
    end: float = END,
) -> Fleet:
    """Play some events, and return the fleet with what it has sent."""
    fleet = Fleet(size=size, failures_from=failures_from)
    generator = random.Random(size)
    due = {round(at / STEP_SECONDS): event for at, event in events.items()}
    for number in range(round(end / STEP_SECONDS)):
        if number in due:
            due[number](fleet)
        fleet.step(number=number, generator=generator)
    assert fleet.retries
    return fleet


def _over_budget(
    cases: Mapping[str, Events],
    *,
    failures_from: float = FAILURES_FROM,
    end: float = END,
) -> list[tuple[str, int, float]]:
    found = []
    for name, events in cases.items():
        for size in FLEET_SIZES:
            fleet = _play(
                size=size, events=events, failures_from=failures_from, end=end
            )
            excess = fleet.worst_excess()
            if excess > 0:
                found.append((name, size, excess))
    return found


# Guards against retries of an earlier process that are spent again after a restart.
def test_retries_of_restarted_routers_stay_within_the_budget() -> None:
    assert not _over_budget(RESTARTS)


# Guards against routers that each spend what all have left until the next report.
def test_retries_without_fresh_reports_stay_within_the_budget() -> None:
    assert not _over_budget(MISSING_REPORTS)


# Guards against routers that start in a network partition, count only those on their
# own side of it, and together spend the allowance several times. The failures begin
# once each of them has saved its part.
def test_retries_of_routers_that_start_in_a_cut_stay_within_the_budget() -> None:
    assert not _over_budget(STARTS_IN_A_CUT, failures_from=30.0)


# Guards against routers that rely on a count which others, who have joined since, don't
# appear in, where nobody of the two sides hears the other one or the store.
def test_retries_of_routers_cut_from_the_store_stay_within_the_budget() -> None:
    assert not _over_budget(CUTS_FROM_THE_STORE, failures_from=42.0, end=60.0)


# Guards against a count of routers that costs callers the allowance where routers start
# again and all hear each other.
def test_routers_that_start_connected_use_the_budget() -> None:
    for size in FLEET_SIZES:
        fleet = _play(size=size, events={14.0: _restart_all}, failures_from=30.0)

        assert fleet.largest_share() > MIN_USED_SHARE


# Guards against a share of repeats that is spent twice, by the router that loses its
# callers and by those to which they move.
def test_retries_of_callers_that_move_stay_within_the_budget() -> None:
    assert not _over_budget(MOVES, failures_from=26.0)


# Guards against routers that recall no crash of before, and spend retries that an
# earlier process has spent, as they are told that the whole fleet starts for the first
# time though it starts again.
def test_first_start_gives_nothing_in_advance() -> None:
    components = build_router(
        router=RouterId("router-1"),
        failure_domain=HERE,
        address=SEED_ADDRESSES[0],
        link=10,
        clock=lambda: 0.0,
        first_start=True,
    )

    assert components.state.retry_budget.room(service=SERVICE) == 0.0
    assert not components.state.introduction.has_ended
