"""What other routers told of their requests, without counting any of them twice.

In a small fleet each router tells each other one of itself. In a large one a router
tells a few of its failure domain, which aggregate for the others: for its members all
that is in flight elsewhere, for other failure domains all that is in flight in its
own one.
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
"""Seconds that counts of requests in flight are believed without news.

Routers tell them a few times a second; a router silent for longer has ended or
is cut off, and its requests end soon.
"""


class TotalsScope(Enum):
    """Whose requests a share counts."""

    ROUTER = "router"
    DOMAIN = "domain"
    OTHERS = "others"


class ReplyRequest(Enum):
    """What a report asks of its recipient."""

    NOTHING = "nothing"
    ANSWER = "answer"
    AGGREGATE = "aggregate"


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryCounts:
    """What was sent to a service in the last window.

    Attributes:
        requests: Requests that came in for it.
        retries: Sends beyond the first of each.
    """

    requests: int
    retries: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestTotals:
    """Requests of some routers.

    Attributes:
        scope: Whose: the sender's, those of its failure domain, or all but the
            recipient's.
        routers: How many routers that are.
        loads: Their requests in flight, by endpoint.
        queued_tokens: Tokens that these wait to have read, by endpoint.
        retries: What they sent of late, by service.
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
    """The latest shares, and which of them count each other router once.

    Args:
        failure_domain: Where this router is.
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
        """Whether this router adds up what others tell of themselves.

        Otherwise it relies on those that do.
        """
        return self._is_aggregator

    @is_aggregator.setter
    def is_aggregator(self, aggregates: bool) -> None:
        self._is_aggregator = aggregates

    @property
    def has_aggregators(self) -> bool:
        """Whether the fleet is so large that a few routers aggregate for the others."""
        return self._has_aggregators

    @has_aggregators.setter
    def has_aggregators(self, aggregated: bool) -> None:
        self._has_aggregators = aggregated

    @property
    def router_count(self) -> int:
        """Routers whose requests are counted, this one included."""
        return 1 + sum(share.routers for share in self.current())

    @property
    def aggregation_requesters(self) -> frozenset[RouterId]:
        """Routers that ask this one to aggregate for them."""
        oldest = self._clock() - MAX_TOTALS_AGE_SECONDS
        return frozenset(
            router
            for router, asked_at in self._requested_at.items()
            if asked_at >= oldest
        )

    def receive(
        self,
        *,
        router: RouterId,
        failure_domain: FailureDomain,
        totals: RequestTotals,
        reply_request: ReplyRequest = ReplyRequest.NOTHING,
    ) -> None:
        """Take in what a router told.

        Args:
            router: Who told it.
            failure_domain: Where that is.
            totals: What it told.
            reply_request: What it asks in return; sums of all others, say.
        """
        now = self._clock()
        told = _ReceivedTotals(totals=totals, domain=failure_domain, received_at=now)
        match totals.scope:
            case TotalsScope.ROUTER:
                self._by_router[router] = told
            case TotalsScope.DOMAIN:
                self._by_domain[failure_domain] = told
            case TotalsScope.OTHERS:
                self._others = told
        match reply_request:
            case ReplyRequest.AGGREGATE:
                self._requested_at[router] = now
            case ReplyRequest.NOTHING:
                self._requested_at.pop(router, None)

    def current(
        self, *, max_age: float = MAX_TOTALS_AGE_SECONDS
    ) -> tuple[RequestTotals, ...]:
        """Shares that together count each other router once, as far as known."""
        others = self._others
        if others is not None and not self._is_aggregator and self._is_fresh(others):
            return (others.totals,)
        near = [told.totals for told in self._same_domain(max_age=max_age).values()]
        return (*near, *self._other_domains(max_age=max_age))

    def domain_totals(self, *, own: RequestTotals) -> RequestTotals:
        """Sum up the own failure domain for other ones."""
        return sum_totals(
            scope=TotalsScope.DOMAIN, totals=[own, *self._same_domain_totals()]
        )

    def totals_except(self, *, own: RequestTotals, router: RouterId) -> RequestTotals:
        """Sum up for a router of the own failure domain all that others told."""
        near = self._same_domain(max_age=MAX_TOTALS_AGE_SECONDS)
        near.pop(router, None)
        shares = [own, *(told.totals for told in near.values())]
        shares += self._other_domains(max_age=MAX_TOTALS_AGE_SECONDS)
        return sum_totals(scope=TotalsScope.OTHERS, totals=shares)

    def _same_domain_totals(self) -> list[RequestTotals]:
        return [
            told.totals
            for told in self._same_domain(max_age=MAX_TOTALS_AGE_SECONDS).values()
        ]

    def _same_domain(self, *, max_age: float) -> dict[RouterId, _ReceivedTotals]:
        """What routers of the own failure domain told of themselves."""
        return {
            router: told
            for router, told in self._by_router.items()
            if told.domain == self._failure_domain
            and self._is_fresh(told, max_age=max_age)
        }

    def _other_domains(self, *, max_age: float) -> list[RequestTotals]:
        """What was told of other failure domains: sums, where there are any."""
        aggregated = {
            domain: told.totals
            for domain, told in self._by_domain.items()
            if domain != self._failure_domain and self._is_fresh(told)
        }
        single = [
            told.totals
            for told in self._by_router.values()
            if told.domain != self._failure_domain
            and told.domain not in aggregated
            and self._is_fresh(told, max_age=max_age)
        ]
        return [*aggregated.values(), *single]

    def _is_fresh(
        self, received: _ReceivedTotals, *, max_age: float = MAX_TOTALS_AGE_SECONDS
    ) -> bool:
        return self._clock() - received.received_at <= max_age


def sum_totals(*, scope: TotalsScope, totals: Iterable[RequestTotals]) -> RequestTotals:
    """Add shares up."""
    routers = 0
    loads: Counter[EndpointId] = Counter()
    reading: Counter[EndpointId] = Counter()
    requests: Counter[ServiceName] = Counter()
    repeats: Counter[ServiceName] = Counter()
    for share in totals:
        routers += share.routers
        loads.update(share.loads)
        reading.update(share.queued_tokens)
        for service, counts in share.retries.items():
            requests[service] += counts.requests
            repeats[service] += counts.retries
    return RequestTotals(
        scope=scope,
        routers=routers,
        loads=loads,
        queued_tokens=reading,
        retries={
            service: RetryCounts(requests=count, retries=repeats[service])
            for service, count in requests.items()
        },
    )
