"""What the counts of an owner cover while it grants slots."""

from __future__ import annotations

from typing import Any

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.request_totals import RequestTotals, TotalsTracker
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
from dotterelpaddle.owners.counts import ShardCounts
from dotterelpaddle.owners.messages import InFlightReport
from dotterelpaddle.owners.owner_role import SETTLED_SECONDS, OwnerRole
from dotterelpaddle.peers.directory import PeerDirectory
from dotterelpaddle.peers.report import PeerInfo

HERE = FailureDomain("here")
ENDPOINT = EndpointId("plain")
OWN = PeerInfo(
    router=RouterId("own"),
    failure_domain=HERE,
    address=Address(host="10.0.0.1", port=1),
    link=1,
)


class Roles:
    """A role and what it depends on, with a clock that tests set."""

    def __init__(self, *, mesh: bool) -> None:
        self.now = 0.0

        def _clock() -> float:
            return self.now

        self.directory = PeerDirectory(
            own=OWN, seeds=(), clock=_clock, needs_mesh_owners=lambda: mesh
        )
        self.totals = TotalsTracker(failure_domain=HERE, clock=_clock)
        self.counts = ShardCounts(clock=_clock)
        self.role = OwnerRole(
            directory=self.directory, totals=self.totals, counts=self.counts
        )
        self.elect()

    def elect(self) -> None:
        if self.directory.grants_slots:
            self.directory.elect_mesh_owners()
        else:
            self.directory.elect_owner()


# Guards against slots that are granted twice while some routers report to another
# owner, and against requests that are counted twice.
@pytest.mark.parametrize(("mesh", "unreported"), [(True, {ENDPOINT: 2}), (False, {})])
def test_requests_of_routers_that_report_to_another_owner_count(
    mesh: bool, unreported: dict[Any, int]
) -> None:
    roles = Roles(mesh=mesh)
    for router in ("reporting", "other"):
        roles.totals.receive(
            router=RouterId(router),
            failure_domain=HERE,
            totals=RequestTotals(loads={ENDPOINT: 2}),
        )
    roles.counts.record_report(
        report=InFlightReport(
            router=RouterId("reporting"), incarnation=1, sequence=1, loads={ENDPOINT: 3}
        )
    )

    assert roles.role.unreported_loads() == unreported
    assert roles.role.has_exact_counts(domain=HERE) is mesh


# Guards against slots that stay idle after a pause without any requests, because the
# owner takes itself for a new one.
def test_counts_of_a_settled_owner_are_exact() -> None:
    roles = Roles(mesh=False)
    while roles.now < SETTLED_SECONDS:
        assert not roles.role.has_exact_counts(domain=HERE)
        roles.now += 0.2
        roles.elect()

    assert roles.role.has_exact_counts(domain=HERE)
