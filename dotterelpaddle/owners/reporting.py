"""Reports this router's requests in flight to shard owners."""

from __future__ import annotations

import secrets
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger
from dotterelpaddle.owners.counts import REPORT_INTERVAL_SECONDS
from dotterelpaddle.owners.messages import Grant, InFlightReport, Refusal, Waiting

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.ids import (
        EndpointId,
        FailureDomain,
        RouterId,
        ServiceName,
    )
    from dotterelpaddle.owners.messages import Answer
    from dotterelpaddle.owners.shards import ShardMap

log = get_logger(name=__name__)

SLOT_GRANT_TTL_SECONDS = 1.0
"""Seconds from a grant request on after which a slot is not used: its owner forgets a
router that stands still for `REPORT_TTL_SECONDS`, and grants its slots again."""


@dataclass(kw_only=True)
class PendingGrant:
    """A grant request and its answer.

    Attributes:
        number: Number of the grant request.
        owner: The router that received the request.
        service: The service that the caller requests, None if no slot is needed.
        answered: Event that the answer sets.
        replied: Event that the answer sets, or the notice that the request waits.
        grant: The answer, None until it arrives.
        refusal: The answer if the request gets no slot, else None.
        waited: Whether the owner queued the request.
        asked_at: When it was last sent, seconds on the monotonic clock; None before.
    """

    number: int
    owner: RouterId
    service: ServiceName | None = None
    answered: anyio.Event = field(default_factory=anyio.Event)
    replied: anyio.Event = field(default_factory=anyio.Event)
    grant: Grant | None = None
    refusal: Refusal | None = None
    waited: bool = False
    asked_at: float | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the request is granted or refused."""
        return self.answered.is_set()


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
        self._urgent = anyio.Event()
        self._contended: set[ServiceName] = set()
        loads.on_change(self._on_load_change)

    @property
    def granted(self) -> Mapping[EndpointId, int]:
        """Grants that are not in use yet, by endpoint."""
        return self._granted

    def is_pending(self, number: int) -> bool:
        """Return whether a grant request has no answer yet."""
        return number in self._pending

    def asked_at(self, *, number: int) -> float | None:
        """Return when a grant request was last sent, if it has no reply since.

        The time is in seconds on the monotonic clock.
        """
        pending = self._pending.get(number)
        if pending is None or pending.replied.is_set():
            return None
        return pending.asked_at

    async def wait_for_change(self) -> None:
        """Wait until a change must be reported to an owner."""
        await self._changed.wait()

    async def wait_for_urgency(self) -> None:
        """Wait until a change must be reported at once."""
        await self._urgent.wait()

    def mark_due(self, *, domain: FailureDomain) -> None:
        """Let the owner of a failure domain get a report at once."""
        self._changed_domains.add(domain)
        self.mark_urgent()

    def mark_urgent(self) -> None:
        """Wake the sender of reports at once."""
        self._changed.set()
        self._urgent.set()

    def take_due_domains(self) -> set[FailureDomain]:
        """Return the failure domains whose owners need a report now.

        These are the domains with an unreported change, and those with requests of
        this router in flight whose last report is too old. Each domain has its own
        interval, so changes in one domain do not delay reports for another.
        """
        oldest = self._clock() - REPORT_INTERVAL_SECONDS
        due, self._changed_domains = self._changed_domains, set()
        self._changed, self._urgent = anyio.Event(), anyio.Event()
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

    def build_report(self, *, domain: FailureDomain | None = None) -> InFlightReport:
        """Build a report for the owners that decide for a failure domain, if given.

        The report also covers the few requests in other domains, so that an owner
        which replaces another one knows them at once.
        """
        self._sequence += 1
        if domain is not None:
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

    def open_request(
        self, *, owner: RouterId, service: ServiceName | None = None
    ) -> PendingGrant:
        """Open a grant request to an owner.

        Args:
            owner: The owner.
            service: The service for a slot of which the request may wait, if any.
        """
        self._last_number += 1
        pending = PendingGrant(number=self._last_number, owner=owner, service=service)
        self._pending[pending.number] = pending
        return pending

    def receive(self, *, answer: Answer) -> bool:
        """Process an owner's answer.

        Returns:
            Whether the request that it concerns still waits for an answer.
        """
        match answer:
            case Grant():
                return self.resolve(grant=answer)
            case Waiting():
                return self.record_waiting(waiting=answer)
            case Refusal():
                self.refuse(refusal=answer)
                return True

    def resolve(self, *, grant: Grant) -> bool:
        """Complete a grant request.

        Returns:
            Whether the request still waited; an answer that is late is ignored.
        """
        pending = self._pending.get(grant.number)
        if pending is None or self._has_lapsed(grant, pending):
            return False
        del self._pending[grant.number]
        pending.grant = grant
        if grant.endpoint is not None:
            self._granted[grant.endpoint] += 1
        if pending.service is not None:
            if grant.others_wait:
                self._contended.add(pending.service)
            else:
                self._contended.discard(pending.service)
        pending.replied.set()
        pending.answered.set()
        return True

    def _has_lapsed(self, grant: Grant, pending: PendingGrant) -> bool:
        """Return whether a slot may have been granted to another router since."""
        if grant.endpoint is None or pending.service is None:
            return False
        if pending.asked_at is None:
            return False
        age = self._clock() - pending.asked_at
        if age <= SLOT_GRANT_TTL_SECONDS:
            return False
        log.warning("grant_lapsed", owner=pending.owner, seconds=round(age, 3))
        return True

    def refuse(self, *, refusal: Refusal) -> None:
        """Complete a grant request that gets no slot."""
        pending = self._pending.pop(refusal.number, None)
        if pending is not None:
            pending.refusal = refusal
            pending.replied.set()
            pending.answered.set()

    def record_waiting(self, *, waiting: Waiting) -> bool:
        """Record that an owner has queued a request.

        Returns:
            Whether the request still waits for an answer.
        """
        pending = self._pending.get(waiting.number)
        if pending is None:
            return False
        if pending.service is not None:
            self._contended.add(pending.service)
        pending.waited = True
        pending.replied.set()
        return True

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
        if self._shards.service(endpoint=endpoint) in self._contended:
            # A slot would be idle until the report is due, while requests wait for it.
            self._urgent.set()
