"""Sends attempts for one request until one succeeds or no retry is allowed.

The kind of the route decides whether the router may retry. It sends a request that
must not run twice to another endpoint only with proof that the request has not run:
the router sent no byte of it, or the endpoint stated that it did not run it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import (
    DeadlineExceeded,
    EndpointError,
    EndpointRefused,
    EndpointSilent,
    EndpointUnreachable,
    ForeignAnswer,
    NoEndpoint,
    RequestBlocked,
)
from dotterelpaddle.forwarding.attempt_log import log_choice, log_failed_attempt
from dotterelpaddle.forwarding.client import ForwardCall
from dotterelpaddle.forwarding.exceptions import (
    EndpointReplaced,
    FailedAnswer,
    IdleConnectionLost,
)
from dotterelpaddle.forwarding.interface import RequestMetadata
from dotterelpaddle.forwarding.progress import (
    AttemptProgress,
    RetryObstacle,
    TriedEndpoints,
)
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.forwarding.crash_guard import CrashGuard
    from dotterelpaddle.forwarding.exchange import AttemptResult, ForwardExchange
    from dotterelpaddle.forwarding.health import HealthTracker
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.relays import Relay
    from dotterelpaddle.forwarding.residency import ResidencyPolicy
    from dotterelpaddle.forwarding.retry_budget import RetryBudget
    from dotterelpaddle.forwarding.timeouts import TimeoutEstimator
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.owners.placer import OwnerPlacer

log = get_logger(name=__name__)

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


class AttemptRunner:
    """Selects endpoints for a request and sends attempts to them.

    Args:
        placer: Chooses endpoints.
        residency: Determines the endpoints that must not receive a request.
        loads: Requests in flight.
        health: Records the results of requests.
        reachability: Records endpoints that refuse connections or time out.
        caches: Locations of cached prompt parts.
        guard: Blocks requests that crash endpoints.
        retry_budget: Limits retries.
        timeouts: Estimates the timeouts of an attempt from earlier answers.
        metrics: Counts attempts.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        placer: OwnerPlacer,
        residency: ResidencyPolicy,
        loads: LoadTracker,
        health: HealthTracker,
        reachability: Reachability,
        caches: CacheMap,
        guard: CrashGuard,
        retry_budget: RetryBudget,
        timeouts: TimeoutEstimator,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        self._placer = placer
        self._residency = residency
        self._loads = loads
        self._health = health
        self._reachability = reachability
        self._caches = caches
        self._guard = guard
        self._retry_budget = retry_budget
        self._timeouts = timeouts
        self._metrics = metrics
        self._clock = clock

    async def run(self, *, exchange: ForwardExchange, relay: Relay) -> AttemptResult:
        """Send attempts until an endpoint answers.

        Args:
            exchange: The request.
            relay: Sends one attempt and passes on its answer.

        Raises:
            RequestError: If every attempt failed and no retry is allowed.
        """
        if exchange.request.prompt:
            await self._caches.wait_until_populated()
        tried = TriedEndpoints()
        failure: EndpointError | None = None
        while True:
            try:
                self._guard.check(exchange=exchange)
                choice = await self._choose(exchange=exchange, tried=tried)
                self._check_again(exchange=exchange, choice=choice)
            except (NoEndpoint, RequestBlocked) as error:
                if failure is None:
                    raise
                if failure.retry_after is None:
                    failure.retry_after = error.retry_after
                raise failure from None
            try:
                return await self._send_attempt(
                    exchange=exchange,
                    relay=relay,
                    choice=choice,
                    new_connection=isinstance(failure, IdleConnectionLost),
                    connect_timeout=tried.connect_timeout(
                        endpoint=choice.entry.endpoint
                    ),
                )
            except EndpointError as error:
                failure = error
            tried.add(endpoint=choice.entry.endpoint, failure=failure)
            if not self._claim_retry(exchange=exchange, failure=failure):
                raise failure

    def _check_again(self, *, exchange: ForwardExchange, choice: Choice) -> None:
        """Refuse a request that has been blocked while an endpoint was chosen.

        Raises:
            RequestBlocked: If the request may not go to an endpoint any more.
        """
        try:
            self._guard.check(exchange=exchange)
        except RequestBlocked:
            self._caches.retract_parts(
                endpoint=choice.entry.endpoint, parts=choice.new_parts
            )
            raise

    async def _choose(
        self, *, exchange: ForwardExchange, tried: TriedEndpoints
    ) -> Choice:
        try:
            return await self._place(exchange=exchange, excluded=tried.excluded)
        except NoEndpoint:
            if not tried.connect_timeouts:
                raise
        # No request reached the endpoints whose connect timed out. They may be slow
        # rather than unreachable, so the router tries each of them once more.
        return await self._place(exchange=exchange, excluded=tried.attempted)

    async def _place(
        self, *, exchange: ForwardExchange, excluded: frozenset[EndpointId]
    ) -> Choice:
        assert exchange.service is not None
        assert exchange.route is not None
        return await self._placer.choose(
            service=exchange.service,
            request=exchange.request,
            retryable=exchange.route.retryable,
            excluded=excluded | self._residency.forbidden_endpoints(exchange=exchange),
            version=exchange.stream_version,
        )

    async def _send_attempt(
        self,
        *,
        exchange: ForwardExchange,
        relay: Relay,
        choice: Choice,
        new_connection: bool,
        connect_timeout: float,
    ) -> AttemptResult:
        route = exchange.route
        assert route is not None
        entry = choice.entry
        log_choice(exchange=exchange, choice=choice)
        self._metrics.count_choice(choice=choice)
        attempt = exchange.attempts.begin(idempotent=route.retryable)
        exchange.last_endpoint = entry.endpoint
        progress = AttemptProgress(attempt=attempt, clock=self._clock)
        crash_watch = self._guard.watch(
            exchange=exchange, entry=entry, progress=progress
        )
        tracking = self._loads.track(
            endpoint=entry.endpoint, work_tokens=choice.work_tokens
        )
        try:
            with crash_watch, tracking as in_flight:
                progress.in_flight_request = in_flight
                result = await relay.send(
                    call=self._call(
                        exchange=exchange,
                        relay=relay,
                        choice=choice,
                        progress=progress,
                        new_connection=new_connection,
                        connect_timeout=connect_timeout,
                    )
                )
        except EndpointError as error:
            self._record_failure(
                exchange=exchange, choice=choice, progress=progress, error=error
            )
            raise
        finally:
            attempt.end()
        self._health.record_success(
            endpoint=entry.endpoint, started_at=progress.started_at
        )
        if progress.first_byte_seconds is not None:
            self._timeouts.record_answer_start(
                route=route, seconds=progress.first_byte_seconds
            )
            self._metrics.observe_first_byte(
                service=entry.service, seconds=progress.first_byte_seconds
            )
        return result

    def _call(
        self,
        *,
        exchange: ForwardExchange,
        relay: Relay,
        choice: Choice,
        progress: AttemptProgress,
        new_connection: bool,
        connect_timeout: float,
    ) -> ForwardCall:
        route = exchange.route
        assert route is not None
        time_left = exchange.deadline - self._clock()
        if time_left < MIN_TIME_LEFT_SECONDS:
            raise DeadlineExceeded("the deadline passed before the request was sent")
        priority = route.priority
        if exchange.account is not None and exchange.account.priority is not None:
            priority = exchange.account.priority
        source = choice.fetch_from
        return ForwardCall(
            entry=choice.entry,
            request=exchange.request,
            body=exchange.body,
            metadata=RequestMetadata(
                endpoint=choice.entry.name,
                time_left=time_left,
                account=exchange.account,
                priority=priority,
                last_event_id=relay.last_event_id,
                fetch_from=source.address if source is not None else None,
            ),
            timeouts=self._timeouts.attempt_timeouts(
                route=route,
                time_left=time_left,
                connect_timeout=connect_timeout,
                may_retry=self._may_retry_later(exchange=exchange),
                missing_tokens=choice.missing_tokens,
            ),
            new_connection=new_connection or not route.retryable,
            observe=progress.observe,
        )

    def _may_retry_later(self, *, exchange: ForwardExchange) -> bool:
        """Tell whether a retry may follow the next attempt if that one times out."""
        route, service = exchange.route, exchange.service
        assert route is not None
        assert service is not None
        return (
            route.retryable
            and exchange.attempts.maybe_run + 1 < route.max_attempts
            and self._retry_budget.has_room(service=service)
        )

    def _claim_retry(
        self, *, exchange: ForwardExchange, failure: EndpointError
    ) -> bool:
        """Tell whether a retry may follow; if so, take it from the retry budget."""
        obstacle = self._retry_obstacle(exchange=exchange, failure=failure)
        if obstacle is None:
            return True
        log.info(
            "retry_withheld",
            request_id=exchange.request.request_id,
            service=exchange.service,
            attempt=exchange.attempts.count,
            reason=obstacle.value,
        )
        return False

    def _retry_obstacle(
        self, *, exchange: ForwardExchange, failure: EndpointError
    ) -> RetryObstacle | None:
        """Return why no retry may follow; None if one may, which the budget counts.

        A retry after a failed connect takes nothing from the budget.
        """
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
        if attempts.maybe_run >= route.max_attempts:
            return RetryObstacle.MAX_ATTEMPTS
        if attempts.sent - attempts.maybe_run > MAX_REFUSED_ATTEMPTS:
            return RetryObstacle.MAX_ATTEMPTS
        if not self._retry_budget.acquire(service=service):
            return RetryObstacle.BUDGET
        return None

    def _record_failure(
        self,
        *,
        exchange: ForwardExchange,
        choice: Choice,
        progress: AttemptProgress,
        error: EndpointError,
    ) -> None:
        route = exchange.route
        assert route is not None
        entry = choice.entry
        if progress.attempt.proves_not_run:
            self._caches.retract_parts(endpoint=entry.endpoint, parts=choice.new_parts)
        match error:
            case EndpointReplaced():
                self._health.record_replaced(entry=entry)
            case EndpointRefused() | ForeignAnswer() | IdleConnectionLost():
                pass
            case EndpointUnreachable():
                self._reachability.suspect(entry=entry, timed_out=error.timed_out)
            case FailedAnswer():
                self._health.record_error_answer(entry=entry)
            case EndpointSilent():
                if progress.first_byte_seconds is None:
                    self._timeouts.record_timeout(route=route)
                self._health.record_timeout(entry=entry)
            case _:
                self._health.record_hard_failure(entry=entry, cause=error.message)
        self._metrics.count_failed_attempt(
            service=entry.service, error=type(error).__name__
        )
        log_failed_attempt(
            exchange=exchange,
            endpoint=entry.endpoint,
            progress=progress,
            error=error,
            seconds=self._clock() - progress.started_at,
        )
