"""What other routers vouch for, which spares calls to the platform.

Each report says how long ago its sender heard from the platform itself, and what
it knows since. Where that is what this router knows too, it is as good as a call
of its own; where it is not, a call of its own is due at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.peers.plan import MAX_MESH_ROUTERS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.peers.directory import Peer, PeerDirectory


class PeerSummary:
    """Implements `dotterelpaddle.forwarding.interface.Vouching`.

    Args:
        view: What this router acts on.
        directory: The other routers.
        shares: Tells whether this router relies on aggregators.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        directory: PeerDirectory,
        shares: TotalsTracker,
        clock: Clock,
    ) -> None:
        self._shares = shares
        self._view = view
        self._directory = directory
        self._clock = clock

    @property
    def is_platform_reader(self) -> bool:
        """Whether this router reads from the platform for those that it hears.

        It is the first one by rank that reaches the platform: routers rely on what the
        others vouch for until it is old, and would all hear news late. Where two take
        that part for a moment, or none, only calls are lost.
        """
        rank = self._directory.rank
        own = rank(router=self._directory.own.router)
        return all(
            peer.report.platform_lost or rank(router=peer.report.router) > own
            for peer in self._directory.alive
        )

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet is so large that a few routers work for the others."""
        told = (peer.report.routers for peer in self._directory.alive)
        return self._shares.has_aggregators or max(told, default=0) > MAX_MESH_ROUTERS

    @property
    def is_domain_owner(self) -> bool | None:
        """Whether this router decides for its failure domain.

        None where nobody decides for others, or that is not known yet.
        """
        own, owners = self._directory.own, self._directory.owners()
        owner = owners.get(own.failure_domain)
        return None if owner is None else owner.router == own.router

    @property
    def receives_configurations(self) -> bool:
        """Whether others pass configurations on to this router in good time.

        Aggregators wait for them at the platform, each for itself.
        """
        relying = self._shares.has_aggregators and not self._shares.is_aggregator
        return relying and bool(self._directory.alive)

    @property
    def receives_endpoints(self) -> bool:
        """Whether others pass endpoints on to this router in good time."""
        return self._shares.has_aggregators and not self.is_platform_reader

    @property
    def configuration_age(self) -> float:
        """Seconds since one that has the same version heard from the platform.

        A router that tells nothing of evacuations does not vouch for them either.
        """
        return self._lowest_age(
            (peer, peer.report.configuration_age)
            for peer in self._directory.alive
            if peer.report.version == self._view.version
            and peer.report.evacuated is not None
        )

    @property
    def endpoints_age(self) -> float:
        """Seconds since one that knows the same endpoints heard from the platform."""
        return self._lowest_age(
            (peer, peer.report.endpoints_age)
            for peer in self._directory.alive
            if peer.report.endpoints_tag == self._view.endpoints_tag
        )

    @property
    def peer_ahead(self) -> Peer | None:
        """The router with the latest endpoints, if they differ from what is known."""
        revision = self._view.endpoints_revision
        ahead = [
            peer
            for peer in self._directory.alive
            if peer.report.endpoints_tag != self._view.endpoints_tag
            and (revision is None or peer.report.revision > revision)
        ]
        return max(ahead, key=lambda peer: peer.report.revision, default=None)

    @property
    def endpoints_outdated(self) -> bool:
        """Whether another router knows other endpoints, and later ones."""
        return self.peer_ahead is not None

    def _lowest_age(self, reported: Iterable[tuple[Peer, float]]) -> float:
        """Return the least of ages that were told some time ago."""
        now = self._clock()
        ages = (age + now - peer.received_at for peer, age in reported)
        return min(ages, default=float("inf"))
