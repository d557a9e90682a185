"""Summary of the peers' reports, which saves calls to the platform.

Each report tells as of when the platform confirmed its sender's data, and a digest of
that data. If this router has the same data, the report confirms it as a platform call
would; if the data differs, this router calls the platform at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.store_clock import latest_time
from dotterelpaddle.peers.plan import MAX_MESH_ROUTERS

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.forwarding.store_clock import StoreTime
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.peers.directory import Peer, PeerDirectory
    from dotterelpaddle.peers.report import PeerReport


class PeerSummary:
    """Implements `dotterelpaddle.forwarding.interface.PeerStatus`.

    Args:
        view: Configuration and endpoints in force.
        directory: The other routers.
        totals: Provides whether the fleet has aggregators.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        directory: PeerDirectory,
        totals: TotalsTracker,
    ) -> None:
        self._totals = totals
        self._view = view
        self._directory = directory

    @property
    def is_platform_reader(self) -> bool:
        """Whether this router reads the platform on behalf of its peers.

        The platform reader is the first router by rank that reaches the platform.
        Without one, every router would rely on its peers' reports until they are old,
        and all would receive changes late. A moment with two readers or none costs
        only additional calls to the platform.
        """
        rank = self._directory.rank
        own = rank(router=self._directory.own.router)
        return all(
            peer.report.platform_lost or rank(router=peer.report.router) > own
            for peer in self._directory.alive
        )

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet is too large for a mesh, so that it has aggregators."""
        counts = (peer.report.routers for peer in self._directory.alive)
        return self._totals.has_aggregators or max(counts, default=0) > MAX_MESH_ROUTERS

    @property
    def is_domain_owner(self) -> bool | None:
        """Whether this router owns the shards of its failure domain.

        None if the fleet has no owners, or this router doesn't know the owner yet. In
        a mesh fleet owners have no other task than to grant slots.
        """
        if self._directory.has_mesh_owners:
            return None
        own, owners = self._directory.own, self._directory.owners()
        owner = owners.get(own.failure_domain)
        return None if owner is None else owner.router == own.router

    @property
    def receives_configurations(self) -> bool:
        """Whether aggregators forward configurations to this router in time.

        Each aggregator itself waits for new configurations at the platform.
        """
        relying = self._totals.has_aggregators and not self._totals.is_aggregator
        return relying and bool(self._directory.alive)

    @property
    def receives_endpoints(self) -> bool:
        """Whether peers forward endpoints to this router in time."""
        return self._totals.has_aggregators and not self.is_platform_reader

    @property
    def configuration_as_of(self) -> StoreTime | None:
        """When the platform last confirmed this configuration to a peer, if known.

        A report without evacuations, of an earlier release, does not count: it can't
        confirm them.
        """
        return latest_time(
            peer.report.configuration_as_of
            for peer in self._directory.alive
            if peer.report.version == self._view.version
            and peer.report.evacuated is not None
        )

    @property
    def endpoints_as_of(self) -> StoreTime | None:
        """When the platform last confirmed these endpoints to a peer, if known."""
        return latest_time(
            peer.report.endpoints_as_of
            for peer in self._directory.alive
            if peer.report.endpoints_tag == self._view.endpoints_tag
        )

    @property
    def peer_ahead(self) -> Peer | None:
        """The peer with the latest endpoints, if they are newer than this router's.

        Equal endpoints of a later era of the platform's store count as newer: the
        revisions of their changes are later than any that this router knows.
        """
        ahead = [peer for peer in self._directory.alive if self._is_ahead(peer.report)]
        return max(ahead, key=lambda peer: peer.report.revision, default=None)

    @property
    def endpoints_outdated(self) -> bool:
        """Whether a peer has newer endpoints than this router."""
        return self.peer_ahead is not None

    def _is_ahead(self, report: PeerReport) -> bool:
        revision = self._view.endpoints_revision
        differs = report.endpoints_tag != self._view.endpoints_tag
        if revision is None:
            return differs
        later_era = report.revision.era > revision.era
        return later_era or (differs and report.revision > revision)
