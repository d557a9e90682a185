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
class _Told:
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
        self._routers: dict[RouterId, _Told] = {}
        self._domains: dict[FailureDomain, _Told] = {}
        self._others: _Told | None = None
        self._asked: dict[RouterId, float] = {}
        self._aggregates = True
        self._aggregated = False

    @property
    def is_aggregator(self) -> bool:
        """Whether this router adds up what others tell of themselves.

        Otherwise it relies on those that do.
        """
        return self._aggregates

    @is_aggregator.setter
    def is_aggregator(self, aggregates: bool) -> None:
        self._aggregates = aggregates

    @property
    def has_aggregators(self) -> bool:
        """Whether the fleet is so large that a few routers aggregate for the others."""
        return self._aggregated

    @has_aggregators.setter
    def has_aggregators(self, aggregated: bool) -> None:
        self._aggregated = aggregated

    @property
    def router_count(self) -> int:
        """Routers whose requests are counted, this one included."""
        return 1 + sum(share.routers for share in self.current())

    @property
    def aggregation_requesters(self) -> frozenset[RouterId]:
        """Routers that ask this one to aggregate for them."""
        oldest = self._clock() - MAX_TOTALS_AGE_SECONDS
        return frozenset(
            router for router, asked_at in self._asked.items() if asked_at >= oldest
        )

    def receive(
        self,
        *,
        router: RouterId,
        failure_domain: FailureDomain,
        share: RequestTotals,
        ask: ReplyRequest = ReplyRequest.NOTHING,
    ) -> None:
        """Take in what a router told.

        Args:
            router: Who told it.
            failure_domain: Where that is.
            share: What it told.
            ask: What it asks in return; sums of all others, say.
        """
        now = self._clock()
        told = _Told(totals=share, domain=failure_domain, received_at=now)
        match share.scope:
            case TotalsScope.ROUTER:
                self._routers[router] = told
            case TotalsScope.DOMAIN:
                self._domains[failure_domain] = told
            case TotalsScope.OTHERS:
                self._others = told
        match ask:
            case ReplyRequest.AGGREGATE:
                self._asked[router] = now
            case ReplyRequest.NOTHING:
                self._asked.pop(router, None)

    def current(
        self, *, max_age: float = MAX_TOTALS_AGE_SECONDS
    ) -> tuple[RequestTotals, ...]:
        """Shares that together count each other router once, as far as known."""
        others = self._others
        if others is not None and not self._aggregates and self._is_fresh(others):
            return (others.totals,)
        near = [told.totals for told in self._near(max_age=max_age).values()]
        return (*near, *self._far(max_age=max_age))

    def domain_totals(self, *, own: RequestTotals) -> RequestTotals:
        """Sum up the own failure domain for other ones."""
        return sum_totals(scope=TotalsScope.DOMAIN, shares=[own, *self._near_shares()])

    def totals_except(self, *, own: RequestTotals, router: RouterId) -> RequestTotals:
        """Sum up for a router of the own failure domain all that others told."""
        near = self._near(max_age=MAX_TOTALS_AGE_SECONDS)
        near.pop(router, None)
        shares = [own, *(told.totals for told in near.values())]
        shares += self._far(max_age=MAX_TOTALS_AGE_SECONDS)
        return sum_totals(scope=TotalsScope.OTHERS, shares=shares)

    def _near_shares(self) -> list[RequestTotals]:
        return [
            told.totals for told in self._near(max_age=MAX_TOTALS_AGE_SECONDS).values()
        ]

    def _near(self, *, max_age: float) -> dict[RouterId, _Told]:
        """What routers of the own failure domain told of themselves."""
        return {
            router: told
            for router, told in self._routers.items()
            if told.domain == self._failure_domain
            and self._is_fresh(told, max_age=max_age)
        }

    def _far(self, *, max_age: float) -> list[RequestTotals]:
        """What was told of other failure domains: sums, where there are any."""
        aggregated = {
            domain: told.totals
            for domain, told in self._domains.items()
            if domain != self._failure_domain and self._is_fresh(told)
        }
        single = [
            told.totals
            for told in self._routers.values()
            if told.domain != self._failure_domain
            and told.domain not in aggregated
            and self._is_fresh(told, max_age=max_age)
        ]
        return [*aggregated.values(), *single]

    def _is_fresh(
        self, told: _Told, *, max_age: float = MAX_TOTALS_AGE_SECONDS
    ) -> bool:
        return self._clock() - told.received_at <= max_age


def sum_totals(*, scope: TotalsScope, shares: Iterable[RequestTotals]) -> RequestTotals:
    """Add shares up."""
    routers = 0
    loads: Counter[EndpointId] = Counter()
    reading: Counter[EndpointId] = Counter()
    requests: Counter[ServiceName] = Counter()
    repeats: Counter[ServiceName] = Counter()
    for share in shares:
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
