"""Chooses the recipients of reports: all routers in a mesh, or else aggregators.

In a small fleet every router reports to every other one. In a larger fleet a router
reports to the aggregators of its failure domain, and they send it totals of all other
routers. Aggregators also send the totals of their domain to the aggregators of the
other domains. Reports thus cost a router the same in a fleet of any size; an
aggregator's cost grows with the size of its failure domain.
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
"""Largest fleet in which every router reports to every other one. 15 reports of 300
bytes, five times a second, are 23 KB/s; with 58 routers a mesh would take 90 KB/s and a
tenth of a small host's core."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Recipient:
    """A recipient of a report, and the kind of report that it gets.

    Attributes:
        address: Address for reports.
        scope: Routers whose requests the report counts.
        router: The recipient, None if only its address is known.
        reply_request: Reply that the sender requests from the recipient.
    """

    address: Address
    scope: TotalsScope = TotalsScope.ROUTER
    router: RouterId | None = None
    reply_request: ReplyRequest = ReplyRequest.NOTHING


class ReportPlan:
    """Chooses the recipients of reports.

    Args:
        directory: The other routers.
        totals: Totals that other routers sent, and requests to aggregate.
    """

    def __init__(self, *, directory: PeerDirectory, totals: TotalsTracker) -> None:
        self._directory = directory
        self._totals = totals

    @property
    def router_count(self) -> int:
        """Number of routers that this one knows, itself included."""
        return max(self._directory.router_count, self._totals.router_count)

    @property
    def is_mesh(self) -> bool:
        """Whether each router reports to all others, as in a small fleet."""
        counts = (peer.report.routers for peer in self._directory.alive)
        return max(self.router_count, *counts, 0) <= MAX_MESH_ROUTERS

    def recipients(self) -> list[Recipient]:
        """Return the recipients that are due for a report now."""
        if self.is_mesh:
            self._totals.has_aggregators = False
            self._totals.is_aggregator = True
            self._directory.update_liveness()
            self._directory.elect_mesh_owners()
            alive = [Recipient(address=peer.address) for peer in self._directory.alive]
            return alive + _probes(self._directory.unreached_targets())
        return self._aggregated_recipients()

    def _aggregated_recipients(self) -> list[Recipient]:
        directory = self._directory
        directory.update_liveness()
        directory.leave_mesh()
        own = directory.own
        aggregators = directory.aggregators(failure_domain=own.failure_domain)
        self._totals.has_aggregators = True
        self._totals.is_aggregator = own in aggregators or bool(
            self._totals.aggregation_requesters
        )
        to_aggregators = [
            Recipient(
                address=info.address,
                router=info.router,
                reply_request=ReplyRequest.AGGREGATE,
            )
            for info in aggregators
            if info != own
        ]
        recipients = to_aggregators + self._requesting_members(
            without={recipient.router for recipient in to_aggregators}
        )
        if self._totals.is_aggregator:
            recipients += self._other_domains()
        if own in aggregators:
            directory.elect_owner()
        directory.expect_reports(
            routers=frozenset(
                recipient.router
                for recipient in recipients
                if recipient.router is not None
                and recipient.scope is not TotalsScope.OTHERS
            )
        )
        return recipients + _probes(directory.unresponsive_targets())

    def _requesting_members(self, *, without: set[RouterId | None]) -> list[Recipient]:
        """Routers of the own failure domain that requested totals of all others."""
        requesters = self._totals.aggregation_requesters - without
        return [
            Recipient(
                address=peer.address,
                router=peer.report.router,
                scope=TotalsScope.OTHERS,
            )
            for peer in self._directory.alive
            if peer.report.router in requesters
        ]

    def _other_domains(self) -> list[Recipient]:
        """Aggregators of the other failure domains."""
        directory = self._directory
        domains = directory.reachable_domains().keys() - {directory.own.failure_domain}
        return [
            Recipient(
                address=info.address, router=info.router, scope=TotalsScope.DOMAIN
            )
            for domain in sorted(domains)
            for info in directory.aggregators(failure_domain=domain)
        ]


def _probes(addresses: list[Address]) -> list[Recipient]:
    """Return recipients of which the sender requests an answer."""
    return [
        Recipient(address=address, reply_request=ReplyRequest.ANSWER)
        for address in addresses
    ]
