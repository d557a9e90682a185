"""Decides whether a retry follows an attempt that failed or has fallen silent.

An endpoint that is silent may go on. So its attempt is given up only once it is known
that a retry follows; where none may, the attempt goes on until the deadline.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import EndpointUnreachable
from dotterelpaddle.pipeline import ChatWork

if TYPE_CHECKING:
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.dispatch.budget import RetryBudget
    from dotterelpaddle.dispatch.metrics import DispatchMetrics
    from dotterelpaddle.dispatch.options import DispatchOptions
    from dotterelpaddle.endpoint.caller import EndpointCaller
    from dotterelpaddle.exceptions import EndpointError
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.pipeline import Exchange
    from dotterelpaddle.records.model import Endpoint

MIN_TIME_LEFT = 0.001
"""Seconds below which nothing is sent any more."""


@dataclass(kw_only=True)
class Course:
    """Attempts at a request, one after the other; a hedge has its own course.

    Attributes:
        exchange: The request.
        visited: Endpoints that are not tried any more.
        placements_left: How often another endpoint may still be chosen.
        paid: Whether the budget has been charged for a retry that is not sent yet.
        alive: Whether the endpoint of the attempt that was given up last takes new
            connections, None if it was not asked.
    """

    exchange: Exchange
    visited: set[EndpointId]
    placements_left: int
    paid: bool = False
    alive: bool | None = None


class Retries:
    """Decides whether retries follow.

    Args:
        catalog: The records in force.
        caller: Opens connections, for probes.
        budget: What retries may cost.
        options: Bounds.
        metrics: Where retries are counted.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        caller: EndpointCaller,
        budget: RetryBudget,
        options: DispatchOptions,
        metrics: DispatchMetrics,
        clock: Clock,
    ) -> None:
        self._catalog = catalog
        self._caller = caller
        self._budget = budget
        self._options = options
        self._metrics = metrics
        self._clock = clock

    async def probe(self, *, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint takes a new connection."""
        return await self._caller.probe(
            endpoint=endpoint, timeout=self._options.probe_timeout
        )

    def claim(self, *, course: Course, failure: EndpointError) -> bool:
        """Tell whether a retry follows an attempt that has ended, and charge for it.

        One after a failed connection costs no endpoint anything, so it does not
        come out of the retry budget.
        """
        if not self._is_possible(exchange=course.exchange):
            return False
        if course.paid:
            course.paid = False
            return True
        if isinstance(failure, EndpointUnreachable):
            self._metrics.count_retry(allowed=True)
            return True
        return self._charge()

    async def follows_silence(
        self, *, course: Course, endpoint: Endpoint, same_endpoint: bool
    ) -> bool:
        """Tell whether a retry follows a silent attempt, and charge for it if so.

        Args:
            course: The attempts so far.
            endpoint: The silent endpoint.
            same_endpoint: Whether it may get the retry, if it lives.
        """
        if not self._is_possible(exchange=course.exchange):
            return False
        if not course.paid and self._budget.tokens < 1.0:
            self._metrics.count_retry(allowed=False)
            return False
        alive = same_endpoint and await self.probe(endpoint=endpoint)
        if not alive and not self._has_other_endpoint(course=course):
            return False
        if not self._is_possible(exchange=course.exchange):
            return False
        course.paid = course.paid or self._charge()
        course.alive = alive
        return course.paid

    def _is_possible(self, *, exchange: Exchange) -> bool:
        if not exchange.attempts.may_send(idempotent=exchange.idempotent):
            return False
        if exchange.reply.started and not _resumable(exchange=exchange):
            return False
        return exchange.deadline - self._clock() >= MIN_TIME_LEFT

    def _has_other_endpoint(self, *, course: Course) -> bool:
        pool = course.exchange.pool
        assert pool is not None
        return course.placements_left > 0 and any(
            endpoint.name not in course.visited
            for endpoint in self._catalog.endpoints(pool=pool.name)
        )

    def _charge(self) -> bool:
        allowed = self._budget.take()
        self._metrics.count_retry(allowed=allowed)
        return allowed


def _resumable(*, exchange: Exchange) -> bool:
    match exchange.work:
        case ChatWork(stream=True):
            return True
        case _:
            return False
