"""Reports this router's requests in flight to shard owners."""

from __future__ import annotations

import secrets
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.owners.counts import REPORT_INTERVAL_SECONDS
from dotterelpaddle.owners.messages import Grant, InFlightReport

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
    from dotterelpaddle.owners.shards import ShardMap


@dataclass(kw_only=True)
class PendingGrant:
    """A grant request and its answer.

    Attributes:
        number: Number of the grant request.
        owner: The router that received the request.
        answered: Event that the answer sets.
        grant: The answer, None until it arrives.
    """

    number: int
    owner: RouterId
    answered: anyio.Event = field(default_factory=anyio.Event)
    grant: Grant | None = None


class InFlightReporter:
    """Tracks this router's requests in flight and its grants not yet in use.

    Args:
        router: This router.
        loads: Its requests in flight.
        shards: Maps endpoints to the failure domains whose owners count them.
        clock: Monotonic clock.
    """

    def __init__(
        self, *, router: RouterId, loads: LoadTracker, shards: ShardMap, clock: Clock
    ) -> None:
        self._clock = clock
        self._router = router
        self._loads = loads
        self._shards = shards
        self._incarnation = secrets.randbits(32)
        self._sequence = 0
        self._last_number = 0
        self._pending: dict[int, PendingGrant] = {}
        self._granted: Counter[EndpointId] = Counter()
        self._changed_domains: set[FailureDomain] = set()
        self._reported_at: dict[FailureDomain, float] = {}
        self._changed = anyio.Event()
        loads.on_change(self._on_load_change)

    async def wait_for_change(self) -> None:
        """Wait until a change must be reported to an owner."""
        await self._changed.wait()

    def take_due_domains(self) -> set[FailureDomain]:
        """Return the failure domains whose owners need a report now.

        These are the domains with an unreported change, and those with requests of
        this router in flight whose last report is too old. Each domain has its own
        interval, so changes in one domain do not delay reports for another.
        """
        oldest = self._clock() - REPORT_INTERVAL_SECONDS
        due, self._changed_domains = self._changed_domains, set()
        self._changed = anyio.Event()
        return due | {
            domain
            for domain in self._domains_in_flight()
            if self._reported_at.get(domain, float("-inf")) <= oldest
        }

    def _domains_in_flight(self) -> set[FailureDomain]:
        """Failure domains whose owners count some of the requests in flight."""
        domains = {
            self._shards.owning_domain(endpoint=each) for each in self._loads.own
        }
        return {domain for domain in domains if domain is not None}

    def build_report(self, *, domain: FailureDomain) -> InFlightReport:
        """Build a report for the owners that decide for a failure domain.

        The report also covers the few requests in other domains, so that an owner
        which replaces another one knows them at once.
        """
        self._sequence += 1
        self._reported_at[domain] = self._clock()
        loads = Counter(self._loads.own)
        loads.update(self._granted)
        return InFlightReport(
            router=self._router,
            incarnation=self._incarnation,
            sequence=self._sequence,
            loads=loads,
            pending=frozenset(self._pending),
        )

    def open_request(self, *, owner: RouterId) -> PendingGrant:
        """Open a grant request to an owner."""
        self._last_number += 1
        pending = PendingGrant(number=self._last_number, owner=owner)
        self._pending[pending.number] = pending
        return pending

    def resolve(self, *, grant: Grant) -> None:
        """Complete a grant request; an answer that comes too late is ignored."""
        pending = self._pending.pop(grant.number, None)
        if pending is None:
            return
        pending.grant = grant
        if grant.endpoint is not None:
            self._granted[grant.endpoint] += 1
        pending.answered.set()

    def abandon(self, *, pending: PendingGrant) -> None:
        """Drop a grant request, or a grant that the router does not use."""
        self._pending.pop(pending.number, None)
        grant = pending.grant
        if grant is not None and grant.endpoint is not None:
            self.abandon_grant(endpoint=grant.endpoint)

    def abandon_grant(self, *, endpoint: EndpointId) -> None:
        """Drop a grant for an endpoint that gets no request after all."""
        self._consume_grant(endpoint)
        self._mark_changed(endpoint)

    def _on_load_change(self, endpoint: EndpointId, count: int) -> None:
        """Schedule a report of a change, unless the endpoint's owner granted it."""
        granted = count > 0 and self._consume_grant(endpoint)
        if not granted:
            self._mark_changed(endpoint)

    def _consume_grant(self, endpoint: EndpointId) -> bool:
        if endpoint not in self._granted:
            return False
        self._granted[endpoint] -= 1
        if not self._granted[endpoint]:
            del self._granted[endpoint]
        return True

    def _mark_changed(self, endpoint: EndpointId) -> None:
        domain = self._shards.owning_domain(endpoint=endpoint)
        if domain is not None:
            self._changed_domains.add(domain)
            self._changed.set()
