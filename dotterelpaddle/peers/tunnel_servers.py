"""Tracks the tunnel servers of other routers that reach endpoints.

In a large fleet a router hears the aggregators of its failure domain alone, which may
reach no endpoint either. So routers that reach none say so, and the aggregators name
them other tunnel servers: a few at a time, drawn at random for each report, so that the
load of a failure domain that is cut off spreads over the whole fleet.

That servers are sought is passed on along one path only: from a router to the
aggregators of its failure domain, and from them to those of the other domains. Were it
passed on by every router that hears of it, two of them would keep each other at it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.request_totals import TotalsScope

if TYPE_CHECKING:
    import random

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.peers.directory import Peer, PeerDirectory
    from dotterelpaddle.peers.plan import Recipient
    from dotterelpaddle.peers.report import PeerReport

MAX_NAMED_SERVERS = 4
"""Tunnel servers named in one report."""

NAMED_TTL_SECONDS = 1.2
"""Seconds for which a tunnel server that a report named is known: six reports."""


class TunnelServers:
    """Tunnel servers of other routers, as their reports and the aggregators tell.

    Args:
        directory: The other routers.
        clock: Monotonic clock.
        generator: Draws the servers to name.
    """

    def __init__(
        self, *, directory: PeerDirectory, clock: Clock, generator: random.Random
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._generator = generator
        self._named_at: dict[Address, float] = {}

    def sought_for(self, *, recipient: Recipient) -> bool:
        """Whether a report says that another router of the own domain seeks servers.

        Only the aggregators of the other failure domains are told: they name theirs.
        """
        if recipient.scope is not TotalsScope.DOMAIN:
            return False
        directory = self._directory
        own_domain = directory.own.failure_domain
        aggregators = directory.aggregators(failure_domain=own_domain)
        peers = [
            peer for peer in self._reporting() if peer.info.failure_domain == own_domain
        ]
        # An aggregator of an earlier release tells other domains itself. It also tells
        # the members of its own, whose flags may then repeat its own one for good.
        repeated = any(_may_repeat(peer) and peer.info in aggregators for peer in peers)
        return any(
            peer.report.service_lost or (_may_repeat(peer) and not repeated)
            for peer in peers
        )

    def known(self) -> list[Address]:
        """Return the tunnel servers of routers that reach endpoints."""
        oldest = self._clock() - NAMED_TTL_SECONDS
        named = [each for each, at in self._named_at.items() if at >= oldest]
        reporting = {
            peer.report.tunnels: _reaches_endpoints(peer) for peer in self._reporting()
        }
        # What a router reports of itself goes before what others say of it.
        return [
            *(each for each, usable in reporting.items() if usable and each),
            *(each for each in named if each not in reporting),
        ]

    def receive(self, *, report: PeerReport) -> None:
        """Record the tunnel servers that a report names."""
        now = self._clock()
        oldest = now - NAMED_TTL_SECONDS
        self._named_at = {
            address: at for address, at in self._named_at.items() if at >= oldest
        }
        self._named_at.update(dict.fromkeys(report.tunnel_servers, now))

    def to_name(self, *, recipient: Recipient) -> tuple[Address, ...]:
        """Return tunnel servers for a report, none unless its recipient seeks some."""
        match recipient.scope:
            case TotalsScope.DOMAIN:
                seekers = self._seekers(in_own_domain=False)
                servers = self._own_domain()
            case TotalsScope.OTHERS:
                seekers = [
                    peer
                    for peer in self._seekers(in_own_domain=True)
                    if peer.report.router == recipient.router
                ]
                own = {peer.report.tunnels for peer in seekers}
                servers = [server for server in self.known() if server not in own]
            case TotalsScope.ROUTER:
                return ()
        if not seekers:
            return ()
        count = min(MAX_NAMED_SERVERS, len(servers))
        return tuple(self._generator.sample(servers, count))

    def _seekers(self, *, in_own_domain: bool) -> list[Peer]:
        own_domain = self._directory.own.failure_domain
        return [
            peer
            for peer in self._reporting()
            if peer.report.seeks_tunnels
            and (peer.info.failure_domain == own_domain) is in_own_domain
        ]

    def _own_domain(self) -> list[Address]:
        own_domain = self._directory.own.failure_domain
        return [
            peer.report.tunnels
            for peer in self._reporting()
            if peer.info.failure_domain == own_domain
            and peer.report.tunnels is not None
            and _reaches_endpoints(peer)
        ]

    def _reporting(self) -> tuple[Peer, ...]:
        return self._directory.recently_active()


def _may_repeat(peer: Peer) -> bool:
    """Return whether a router seeks that may only repeat what others say."""
    return peer.report.service_lost is None and peer.report.seeks_tunnels


def _reaches_endpoints(peer: Peer) -> bool:
    return not peer.report.leaving and not peer.report.endpoints_lost
