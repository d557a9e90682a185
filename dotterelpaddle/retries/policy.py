"""Decides whether another attempt at a request may follow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import EndpointUnreachable
from dotterelpaddle.forwarding.exceptions import RetryObstacle, RetryWithheld

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.exceptions import EndpointError
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.retries.budget import RetryBudget

MIN_TIME_LEFT_SECONDS = 0.02
"""Minimum time left to send an attempt; no endpoint answers faster."""

MAX_UNREACHABLE_ATTEMPTS = 4
"""Maximum attempts at a request before a retry of a failed connect.

A failed connect costs endpoints nothing.
"""

MAX_REFUSED_ATTEMPTS = 2
"""Maximum refusals of a request before a retry; after more, the caller has to retry.

Each retry after a refusal is taken from the budget that all routers share.
"""


class RetryPolicy:
    """Decides whether another attempt may follow one that failed or fell silent.

    Args:
        budget: Limits the retries of all routers.
        clock: Monotonic clock.
    """

    def __init__(self, *, budget: RetryBudget, clock: Clock) -> None:
        self._budget = budget
        self._clock = clock

    def may_follow_next(self, *, exchange: ForwardExchange) -> bool:
        """Return whether a retry may follow the next attempt if that falls silent."""
        route, service = exchange.route, exchange.service
        assert route is not None
        assert service is not None
        return (
            route.retryable
            and exchange.attempts.sent + 1 < route.max_attempts
            and self._budget.has_room(service=service)
        )

    def check(
        self, *, exchange: ForwardExchange, failure: EndpointError | None
    ) -> None:
        """Check whether a retry may follow, without counting it.

        Args:
            exchange: The request.
            failure: Why the last attempt failed, None if it is silent.

        Raises:
            RetryWithheld: If none may follow.
        """
        obstacle = self._obstacle(exchange=exchange, failure=failure)
        if obstacle is not None:
            raise RetryWithheld(obstacle=obstacle)

    def claim(
        self, *, exchange: ForwardExchange, failure: EndpointError | None
    ) -> None:
        """Count a retry, unless it follows a failed connect, which costs nothing.

        Args:
            exchange: The request.
            failure: Why the last attempt failed, None if it is silent.

        Raises:
            RetryWithheld: If the budget is spent.
        """
        service = exchange.service
        assert service is not None
        if isinstance(failure, EndpointUnreachable):
            return
        if not self._budget.acquire(service=service):
            raise RetryWithheld(obstacle=RetryObstacle.BUDGET)

    def _obstacle(
        self, *, exchange: ForwardExchange, failure: EndpointError | None
    ) -> RetryObstacle | None:
        route, service, attempts = exchange.route, exchange.service, exchange.attempts
        assert route is not None
        assert service is not None
        if exchange.deadline - self._clock() < MIN_TIME_LEFT_SECONDS:
            return RetryObstacle.DEADLINE
        if not attempts.may_send(idempotent=route.retryable):
            return RetryObstacle.MAY_HAVE_RUN
        if exchange.reply.started and not route.resumable:
            return RetryObstacle.ANSWER_STARTED
        if isinstance(failure, EndpointUnreachable):
            exhausted = attempts.count > MAX_UNREACHABLE_ATTEMPTS
            return RetryObstacle.MAX_ATTEMPTS if exhausted else None
        # The operator bounds the endpoints that a request is sent to, run or not.
        if attempts.sent >= route.max_attempts:
            return RetryObstacle.MAX_ATTEMPTS
        if attempts.sent - attempts.maybe_run > MAX_REFUSED_ATTEMPTS:
            return RetryObstacle.MAX_ATTEMPTS
        if not self._budget.has_room(service=service):
            return RetryObstacle.BUDGET
        return None
