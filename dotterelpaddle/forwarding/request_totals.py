"""Combines the request totals that other routers report, each router counted once.

In a small fleet every router reports its own totals to all others. In a large fleet a
router reports to a few aggregators of its failure domain. An aggregator sends the
members of its domain the totals of all other routers, and sends other failure domains
the totals of its own.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId, ServiceName

MAX_TOTALS_AGE_SECONDS = 1.5
"""Seconds after which reported counts of requests in flight expire.

Routers report several times a second. A router that is silent for longer has stopped or
is cut off, and its requests end soon.
"""


class TotalsScope(Enum):
    """Routers whose requests the totals count."""

    ROUTER = "router"
    DOMAIN = "domain"
    OTHERS = "others"


class ReplyRequest(Enum):
    """Reply that the sender of a report requests."""

    NOTHING = "nothing"
    ANSWER = "answer"
    AGGREGATE = "aggregate"


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryCounts:
    """Requests and retries for a service in the last window.

    Attributes:
        requests: Requests received for the service.
        retries: Attempts beyond the first one of each request.
    """

    requests: int
    retries: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestTotals:
    """Totals of the requests of one or more routers.

    Attributes:
        scope: Routers that the totals cover: the sender, its failure domain, or all
            but the recipient.
        routers: Number of these routers.
        loads: Their requests in flight, by endpoint.
        queued_tokens: Prompt tokens of these requests that endpoints have yet to read,
            by endpoint.
        retries: Their requests and retries in the last window, by service.
    """

    scope: TotalsScope = TotalsScope.ROUTER
    routers: int = 1
    loads: Mapping[EndpointId, int] = field(default_factory=dict)
    queued_tokens: Mapping[EndpointId, int] = field(default_factory=dict)
    retries: Mapping[ServiceName, RetryCounts] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class _ReceivedTotals:
    totals: RequestTotals
    domain: FailureDomain
    received_at: float


class TotalsTracker:
    """Keeps the latest totals and selects those that count each router once.

    Args:
        failure_domain: Failure domain of this router.
        clock: Monotonic clock.
    """

    def __init__(self, *, failure_domain: FailureDomain, clock: Clock) -> None:
        self._failure_domain = failure_domain
        self._clock = clock
        self._by_router: dict[RouterId, _ReceivedTotals] = {}
        self._by_domain: dict[FailureDomain, _ReceivedTotals] = {}
        self._others: _ReceivedTotals | None = None
        self._requested_at: dict[RouterId, float] = {}
        self._is_aggregator = True
        self._has_aggregators = False

    @property
    def is_aggregator(self) -> bool:
        """Whether this router adds up the totals that single routers report.

        Otherwise it relies on the sums of an aggregator.
        """
        return self._is_aggregator

    @is_aggregator.setter
    def is_aggregator(self, is_aggregator: bool) -> None:
        self._is_aggregator = is_aggregator

    @property
    def has_aggregators(self) -> bool:
        """Whether the fleet is large enough to use aggregators."""
        return self._has_aggregators

    @has_aggregators.setter
    def has_aggregators(self, has_aggregators: bool) -> None:
        self._has_aggregators = has_aggregators

    @property
    def router_count(self) -> int:
        """Number of routers whose requests are counted, including this one."""
        return 1 + sum(each.routers for each in self.current())

    @property
    def aggregation_requesters(self) -> frozenset[RouterId]:
        """Routers that request sums of totals from this router."""
        oldest = self._clock() - MAX_TOTALS_AGE_SECONDS
        return frozenset(
            router
            for router, requested_at in self._requested_at.items()
            if requested_at >= oldest
        )

    def receive(
        self,
        *,
        router: RouterId,
        failure_domain: FailureDomain,
        totals: RequestTotals,
        reply_request: ReplyRequest = ReplyRequest.NOTHING,
    ) -> None:
        """Record the totals that a router reported.

        Args:
            router: Sender of the report.
            failure_domain: Failure domain of the sender.
            totals: The reported totals.
            reply_request: Reply that the sender requests, such as the sums of all
                other routers.
        """
        now = self._clock()
        received = _ReceivedTotals(
            totals=totals, domain=failure_domain, received_at=now
        )
        match totals.scope:
            case TotalsScope.ROUTER:
                self._by_router[router] = received
            case TotalsScope.DOMAIN:
                self._by_domain[failure_domain] = received
            case TotalsScope.OTHERS:
                self._others = received
        match reply_request:
            case ReplyRequest.AGGREGATE:
                self._requested_at[router] = now
            case ReplyRequest.NOTHING:
                self._requested_at.pop(router, None)

    def current(self) -> tuple[RequestTotals, ...]:
        """Return totals that together count each other known router once."""
        others = self._others
        if others is not None and not self._is_aggregator and self._is_fresh(others):
            return (others.totals,)
        return (*self._same_domain_totals(), *self._other_domains())

    def loads_by_router(self) -> dict[RouterId, Mapping[EndpointId, int]]:
        """Return the requests in flight of routers that report to this one."""
        return {
            router: received.totals.loads
            for router, received in self._by_router.items()
            if self._is_fresh(received)
        }

    def domain_totals(self, *, own: RequestTotals) -> RequestTotals:
        """Return the sum for this failure domain, to send to other domains."""
        return sum_totals(
            scope=TotalsScope.DOMAIN, totals=[own, *self._same_domain_totals()]
        )

    def totals_except(self, *, own: RequestTotals, router: RouterId) -> RequestTotals:
        """Return the sum of all routers except `router`, to send to that router."""
        same_domain = self._same_domain()
        same_domain.pop(router, None)
        all_totals = [own, *(received.totals for received in same_domain.values())]
        all_totals += self._other_domains()
        return sum_totals(scope=TotalsScope.OTHERS, totals=all_totals)

    def _same_domain_totals(self) -> list[RequestTotals]:
        return [received.totals for received in self._same_domain().values()]

    def _same_domain(self) -> dict[RouterId, _ReceivedTotals]:
        """Return the fresh totals of routers in this failure domain."""
        return {
            router: received
            for router, received in self._by_router.items()
            if received.domain == self._failure_domain and self._is_fresh(received)
        }

    def _other_domains(self) -> list[RequestTotals]:
        """Return the totals of other failure domains, preferring sums of a domain."""
        by_domain = {
            domain: received.totals
            for domain, received in self._by_domain.items()
            if domain != self._failure_domain and self._is_fresh(received)
        }
        by_router = [
            received.totals
            for received in self._by_router.values()
            if received.domain != self._failure_domain
            and received.domain not in by_domain
            and self._is_fresh(received)
        ]
        return [*by_domain.values(), *by_router]

    def _is_fresh(self, received: _ReceivedTotals) -> bool:
        return self._clock() - received.received_at <= MAX_TOTALS_AGE_SECONDS


def sum_totals(*, scope: TotalsScope, totals: Iterable[RequestTotals]) -> RequestTotals:
    """Add up totals."""
    routers = 0
    loads: Counter[EndpointId] = Counter()
    queued_tokens: Counter[EndpointId] = Counter()
    requests: Counter[ServiceName] = Counter()
    retries: Counter[ServiceName] = Counter()
    for each in totals:
        routers += each.routers
        loads.update(each.loads)
        queued_tokens.update(each.queued_tokens)
        for service, counts in each.retries.items():
            requests[service] += counts.requests
            retries[service] += counts.retries
    return RequestTotals(
        scope=scope,
        routers=routers,
        loads=loads,
        queued_tokens=queued_tokens,
        retries={
            service: RetryCounts(requests=count, retries=retries[service])
            for service, count in requests.items()
        },
    )
