"""Which router the aggregators of a failure domain name as owner of its shards."""

from __future__ import annotations

from typing import Any, cast

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.peers.directory import Peer
from dotterelpaddle.peers.owner_election import (
    ELECTION_DELAY_SECONDS,
    MIN_REPORTS,
    RECENT_NAMING_SECONDS,
    SLOT_OWNER_EXPIRY_SECONDS,
    OwnerElection,
)
from dotterelpaddle.peers.report import PeerInfo

HERE = FailureDomain("here")


def _info(name: str, *, link: int) -> PeerInfo:
    return PeerInfo(
        router=RouterId(name),
        failure_domain=HERE,
        address=Address(host=name, port=1),
        link=link,
    )


FIRST, SECOND = _info("first", link=9), _info("second", link=8)
FAST, SLOW = _info("fast", link=5), _info("slow", link=4)


class _Report:
    """What an election reads of a report."""

    def __init__(self, *, sequence: int) -> None:
        self.sequence = sequence
        self.leaving = False
        self.silent_owners: tuple[RouterId, ...] = ()


class Aggregator:
    """An aggregator that elects owners, with a clock that tests set."""

    def __init__(self, own: PeerInfo) -> None:
        self.now = 100.0
        self.election = OwnerElection(
            own=own, in_mesh=lambda: False, clock=lambda: self.now
        )

    def elect(
        self,
        *members: PeerInfo,
        needs_lease: bool = True,
        age: float = 60.0,
        started: PeerInfo | None = None,
    ) -> None:
        """Elect an owner among these routers.

        Args:
            members: The routers.
            needs_lease: Whether owners grant slots.
            age: Age of the electing process in seconds.
            started: The one of them that has just started.
        """
        reports = {
            info: cast("Any", _Report(sequence=1 if info == started else MIN_REPORTS))
            for info in members
        }
        self.election.elect(
            peers=[
                Peer(info=info, report=report, received_at=self.now)
                for info, report in reports.items()
            ],
            aggregators=(FIRST, SECOND),
            needs_lease=needs_lease,
            running_since=self.now - age,
        )

    @property
    def owner(self) -> PeerInfo | None:
        return self.election.named().get(HERE)


# Guards against two aggregators that hear different routers and name owners in turn.
def test_second_aggregator_follows_the_first_one() -> None:
    second = Aggregator(SECOND)
    second.elect(FAST, SLOW)
    assert second.owner is None

    second.now += RECENT_NAMING_SECONDS + 0.1
    second.election.record(info=SLOW)
    second.elect(FAST, SLOW)
    assert second.owner == SLOW

    second.now += RECENT_NAMING_SECONDS + 0.1
    second.elect(FAST)
    assert second.owner == FAST


# Guards against a change of owners, which callers wait for, for a better rank only.
@pytest.mark.parametrize(("needs_lease", "owner"), [(True, SLOW), (False, FAST)])
def test_owner_that_needs_a_lease_stays_while_it_can(
    needs_lease: bool, owner: PeerInfo
) -> None:
    first = Aggregator(FIRST)
    first.elect(SLOW, needs_lease=needs_lease)
    first.elect(FAST, SLOW, needs_lease=needs_lease)
    assert first.owner == owner

    first.elect(FAST, needs_lease=needs_lease)
    assert first.owner == FAST


# Guards against routers that name an owner, or themselves, right after they have
# started or stood still, as they hear nobody yet.
def test_aggregator_without_experience_names_whom_it_hears_of() -> None:
    first = Aggregator(FIRST)
    first.elect(FAST, age=ELECTION_DELAY_SECONDS / 2)
    assert first.owner is None

    first.election.record(info=SLOW)
    first.now += SLOT_OWNER_EXPIRY_SECONDS / 2
    first.elect(age=ELECTION_DELAY_SECONDS / 2)
    assert first.owner == SLOW
    assert first.election.naming_age(domain=HERE) == 0.0

    first.elect(FAST, age=ELECTION_DELAY_SECONDS + 0.1)
    assert first.owner == FAST


# Guards against a router that has just started in a large fleet, takes it for a small
# one and itself for an owner, and goes on naming itself.
def test_owners_of_a_small_fleet_are_forgotten_in_a_large_one() -> None:
    first = Aggregator(FIRST)
    first.election.elect_in_mesh(peers=(), leaving=False)
    assert first.owner == FIRST

    first.election.leave_mesh(forgets_owners=True)
    first.elect(FAST, age=ELECTION_DELAY_SECONDS / 2)
    assert first.owner is None


# Guards against an owner that has just started and may grant no slots for some time.
def test_router_that_has_just_started_is_elected_last() -> None:
    first = Aggregator(FIRST)
    first.elect(FAST, SLOW, started=FAST)
    assert first.owner == SLOW

    first.elect(FAST, started=FAST)
    assert first.owner == FAST
