"""What this router tells owners of its requests in flight."""

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
    """A question that waits for its answer.

    Attributes:
        number: Names it.
        owner: The router that was asked.
        answered: Is set by the answer.
        grant: The answer.
    """

    number: int
    owner: RouterId
    answered: anyio.Event = field(default_factory=anyio.Event)
    grant: Grant | None = None


class InFlightReporter:
    """This router's requests in flight, and those that were granted just now.

    Args:
        router: This router.
        loads: Its requests in flight.
        shards: Tells which owner counts what.
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
        """Wait until an owner must be told of something."""
        await self._changed.wait()

    def take_due_domains(self) -> set[FailureDomain]:
        """Failure domains whose owners must be told now.

        Those that do not know of an end yet, and those that count requests of this
        router and have not heard from it for a while: what only goes on somewhere is
        told again too, whatever happens elsewhere.
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
        """Tell who decides for a failure domain all that is in flight.

        What is in flight elsewhere is told as well, a handful of requests: an owner
        that has to stand in for another one knows it at once.
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
        """Begin a question to an owner."""
        self._last_number += 1
        question = PendingGrant(number=self._last_number, owner=owner)
        self._pending[question.number] = question
        return question

    def resolve(self, *, grant: Grant) -> None:
        """Take in an answer; one that comes too late is passed over."""
        question = self._pending.pop(grant.number, None)
        if question is None:
            return
        question.grant = grant
        if grant.endpoint is not None:
            self._granted[grant.endpoint] += 1
        question.answered.set()

    def abandon(self, *, pending: PendingGrant) -> None:
        """Forget a question, or the answer to it that nobody uses."""
        self._pending.pop(pending.number, None)
        grant = pending.grant
        if grant is not None and grant.endpoint is not None:
            self._consume_grant(grant.endpoint)
            self._mark_changed(grant.endpoint)

    def _on_load_change(self, endpoint: EndpointId, count: int) -> None:
        """Let its owner be told, unless it granted the request."""
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
