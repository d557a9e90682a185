"""What this router's counts as an owner cover while it grants slots.

An owner that takes a slot for used although it is free leaves it idle, and one that
takes it for free causes a rejection. So the counts that routers report to the owner
are completed only by reports between peers that tell more.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dotterelpaddle.owners.counts import REPORT_TTL_SECONDS
from dotterelpaddle.owners.failover import failover_order

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.ids import EndpointId, FailureDomain
    from dotterelpaddle.owners.counts import ShardCounts
    from dotterelpaddle.peers.directory import PeerDirectory

SETTLED_SECONDS = 2 * REPORT_TTL_SECONDS
"""Seconds after which all routers know an owner and have reported to it."""


class OwnerRole:
    """Tells for which failure domains the counts of this router are exact.

    Args:
        directory: Lists the owners.
        totals: Requests in flight that routers report to their peers.
        counts: Requests in flight that routers report to this owner.
    """

    def __init__(
        self, *, directory: PeerDirectory, totals: TotalsTracker, counts: ShardCounts
    ) -> None:
        self._directory = directory
        self._totals = totals
        self._counts = counts

    def has_exact_counts(self, *, domain: FailureDomain) -> bool:
        """Return whether the counts cover all requests in flight of a failure domain.

        In a mesh fleet `unreported_loads` completes them at once.
        """
        own = self._directory.own
        first = failover_order(domain=domain, owners=self._directory.owners())[:1]
        if not first or first[0].router != own.router:
            return False
        if self._directory.has_mesh_owners or self._counts.warmed_up:
            return True
        return self._directory.owner_age(domain=own.failure_domain) >= SETTLED_SECONDS

    def unreported_loads(self) -> Counter[EndpointId]:
        """Requests in flight of routers that have not reported to this owner.

        In a mesh fleet each router tells its peers of its own requests, also where it
        takes another router for the owner. Elsewhere the result is empty.
        """
        loads: Counter[EndpointId] = Counter()
        if not self._directory.has_mesh_owners:
            return loads
        reporting = self._counts.routers
        for router, requests in self._totals.loads_by_router().items():
            if router not in reporting:
                loads.update(requests)
        return loads
