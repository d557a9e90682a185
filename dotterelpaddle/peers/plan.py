"""Who is told what: each router each other one, or a few that aggregate for the rest.

With a few routers all report to all. With more, a router reports to the
aggregators of its failure domain, which tell it of all others; they tell those of other
failure domains of their own one. So a report costs each router the same in a fleet
of any size, and the aggregators as much as their failure domain is large.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.request_totals import ReplyRequest, TotalsScope

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.peers.directory import PeerDirectory

MAX_MESH_ROUTERS = 16
"""Routers that all report to all: 15 reports of 300 bytes, five times a second, are
23 KB/s; at 58 routers they would be 90 KB/s and a tenth of a small host's core."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Recipient:
    """Who gets a report, and what of.

    Attributes:
        address: Where it goes.
        scope: Whose requests it counts.
        router: The recipient, None if only its address is known.
        reply_request: What the recipient is asked in return.
    """

    address: Address
    scope: TotalsScope = TotalsScope.ROUTER
    router: RouterId | None = None
    reply_request: ReplyRequest = ReplyRequest.NOTHING


class ReportPlan:
    """Chooses the recipients of reports.

    Args:
        directory: The other routers.
        shares: What they told, and who wants to be told of all.
    """

    def __init__(self, *, directory: PeerDirectory, shares: TotalsTracker) -> None:
        self._directory = directory
        self._shares = shares

    @property
    def router_count(self) -> int:
        """Routers that this one knows of, itself included."""
        return max(self._directory.router_count, self._shares.router_count)

    @property
    def is_mesh(self) -> bool:
        """Whether all report to all."""
        told = (peer.report.routers for peer in self._directory.alive)
        return max(self.router_count, *told, 0) <= MAX_MESH_ROUTERS

    def recipients(self) -> list[Recipient]:
        """Tell who is due for a report now."""
        if self.is_mesh:
            self._shares.has_aggregators = False
            self._shares.is_aggregator = True
            self._directory.update_liveness()
            heard = [Recipient(address=each.address) for each in self._directory.alive]
            return heard + _probes(self._directory.unreached_targets())
        return self._aggregated_recipients()

    def _aggregated_recipients(self) -> list[Recipient]:
        directory = self._directory
        directory.update_liveness()
        own = directory.own
        aggregators = directory.aggregators(failure_domain=own.failure_domain)
        self._shares.has_aggregators = True
        self._shares.is_aggregator = own in aggregators or bool(
            self._shares.aggregation_requesters
        )
        asked = [
            Recipient(
                address=name.address,
                router=name.router,
                reply_request=ReplyRequest.AGGREGATE,
            )
            for name in aggregators
            if name != own
        ]
        recipients = asked + self._requesting_members(
            without={each.router for each in asked}
        )
        if self._shares.is_aggregator:
            recipients += self._other_domains()
        if own in aggregators:
            directory.elect_owner()
        directory.expect_reports(
            routers=frozenset(
                each.router
                for each in recipients
                if each.router is not None and each.scope is not TotalsScope.OTHERS
            )
        )
        return recipients + _probes(directory.unresponsive_targets())

    def _requesting_members(self, *, without: set[RouterId | None]) -> list[Recipient]:
        """Routers of the own failure domain that asked to be told of all others."""
        asking = self._shares.aggregation_requesters - without
        return [
            Recipient(
                address=peer.address,
                router=peer.report.router,
                scope=TotalsScope.OTHERS,
            )
            for peer in self._directory.alive
            if peer.report.router in asking
        ]

    def _other_domains(self) -> list[Recipient]:
        """The aggregators of the other failure domains."""
        directory = self._directory
        domains = directory.reachable_domains().keys() - {directory.own.failure_domain}
        return [
            Recipient(
                address=name.address, router=name.router, scope=TotalsScope.DOMAIN
            )
            for domain in sorted(domains)
            for name in directory.aggregators(failure_domain=domain)
        ]


def _probes(addresses: list[Address]) -> list[Recipient]:
    return [
        Recipient(address=address, reply_request=ReplyRequest.ANSWER)
        for address in addresses
    ]
