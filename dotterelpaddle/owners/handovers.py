"""Passes the counts of an owner on to the next one, and takes over those of others."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.owners.handover import Handover, RouterCounts, split_handover

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.owners.counts import ShardCounts
    from dotterelpaddle.owners.reporting import InFlightReporter
    from dotterelpaddle.owners.slot_lease import SlotLease

log = get_logger(name=__name__)


class Handovers:
    """Hands over when the lease of this router ends, and receives handovers.

    Args:
        router: This router.
        lease: Tells which owners have followed this router.
        counts: Requests that other routers have in flight.
        reporter: Builds the report of this router's own requests.
    """

    def __init__(
        self,
        *,
        router: RouterId,
        lease: SlotLease,
        counts: ShardCounts,
        reporter: InFlightReporter,
    ) -> None:
        self._router = router
        self._lease = lease
        self._counts = counts
        self._reporter = reporter
        self._numbers = itertools.count(1)
        self._parts: dict[FailureDomain, dict[int, Handover]] = {}

    def take_due(self) -> Iterator[tuple[Address, Handover]]:
        """Return what to send to owners that have followed this one, and to whom."""
        for domain, successor in self._lease.take_successors().items():
            counts = [
                RouterCounts(report=self._reporter.build_report()),
                *self._counts.snapshot(),
            ]
            log.info(
                "counts_handed_over",
                failure_domain=domain,
                successor=successor.router,
                routers=len(counts),
            )
            for part in split_handover(
                router=self._router,
                domain=domain,
                number=next(self._numbers),
                counts=counts,
            ):
                yield successor.address, part

    def receive(self, *, handover: Handover) -> None:
        """Take over the counts, and the lease once all parts have arrived."""
        self._counts.restore(
            counts=[
                each for each in handover.counts if each.report.router != self._router
            ]
        )
        if self._is_complete(handover):
            log.info(
                "counts_taken_over",
                failure_domain=handover.domain,
                router=handover.router,
            )
            self._lease.receive_handover(domain=handover.domain)

    def _is_complete(self, handover: Handover) -> bool:
        """Record a part, and return whether all parts have arrived."""
        parts = self._parts.setdefault(handover.domain, {})
        if any(
            (each.router, each.number) != (handover.router, handover.number)
            for each in parts.values()
        ):
            parts.clear()
        parts[handover.part] = handover
        if len(parts) < handover.parts:
            return False
        del self._parts[handover.domain]
        return True
