"""Sends attempts at one request until one succeeds or none may follow.

What may be repeated follows from the kind of the route. A request that must
not run twice goes on to another endpoint only on proof that it has not run:
nothing of it was sent, or the endpoint promised not to run it.
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
from dotterelpaddle.forwarding.client import ForwardCall
from dotterelpaddle.forwarding.exceptions import (
    EndpointReplaced,
    FailedAnswer,
    IdleConnectionLost,
)
from dotterelpaddle.forwarding.interface import RequestMetadata
from dotterelpaddle.forwarding.progress import AttemptProgress, TriedEndpoints
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
"""Seconds below which nothing is sent any more; no endpoint answers faster."""

MAX_UNREACHABLE_ATTEMPTS = 4
"""Endpoints that are tried in vain for a connection, which costs them nothing."""

MAX_REFUSED_ATTEMPTS = 2
"""Endpoints that may refuse a request before its caller is told to come back;
each refusal costs all routers a repeat."""


class AttemptRunner:
    """Places and sends attempts.

    Args:
        placer: Chooses endpoints.
        residency: Tells which endpoints a request must not reach.
        loads: Requests in flight.
        health: Results of requests.
        reachability: Where no connection can be made.
        caches: Where parts of prompts are.
        guard: Keeps requests that crash endpoints from the next ones.
        repeats: What repeats may cost.
        waits: What was learnt of answers' progress.
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
        repeats: RetryBudget,
        waits: TimeoutEstimator,
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
        self._repeats = repeats
        self._waits = waits
        self._metrics = metrics
        self._clock = clock

    async def run(self, *, exchange: ForwardExchange, relay: Relay) -> AttemptResult:
        """Send attempts until one brings an answer.

        Raises:
            RequestError: If none did and none may follow.
        """
        if exchange.request.prompt:
            await self._caches.wait_until_populated()
        tried = TriedEndpoints()
        failure: EndpointError | None = None
        while True:
            try:
                self._guard.check(exchange=exchange)
                choice = await self._choose(exchange=exchange, tried=tried)
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
                    fresh=isinstance(failure, IdleConnectionLost),
                    connect_time=tried.connect_timeout(endpoint=choice.entry.endpoint),
                )
            except EndpointError as error:
                failure = error
            tried.add(endpoint=choice.entry.endpoint, failure=failure)
            if not self._claim_retry(exchange=exchange, failure=failure):
                raise failure

    async def _choose(
        self, *, exchange: ForwardExchange, tried: TriedEndpoints
    ) -> Choice:
        try:
            return await self._place(exchange=exchange, excluded=tried.excluded)
        except NoEndpoint:
            if not tried.connect_timeouts:
                raise
        # Nothing was sent to those: they may be slow rather than cut off.
        return await self._place(exchange=exchange, excluded=tried.attempted)

    async def _place(
        self, *, exchange: ForwardExchange, excluded: frozenset[EndpointId]
    ) -> Choice:
        assert exchange.service is not None
        assert exchange.route is not None
        return await self._placer.choose(
            service=exchange.service,
            request=exchange.request,
            repeatable=exchange.route.retryable,
            excluded=excluded | self._residency.forbidden_endpoints(exchange=exchange),
        )

    async def _send_attempt(
        self,
        *,
        exchange: ForwardExchange,
        relay: Relay,
        choice: Choice,
        fresh: bool,
        connect_time: float,
    ) -> AttemptResult:
        route = exchange.route
        assert route is not None
        entry = choice.entry
        self._log_choice(exchange=exchange, choice=choice)
        self._metrics.count_choice(choice=choice)
        attempt = exchange.attempts.begin(idempotent=route.retryable)
        exchange.last_endpoint = entry.endpoint
        progress = AttemptProgress(attempt=attempt, clock=self._clock)
        watched = self._guard.watch(
            exchange=exchange, relay=relay, entry=entry, progress=progress
        )
        hold = self._loads.track(
            endpoint=entry.endpoint, work_tokens=choice.work_tokens
        )
        try:
            with watched, hold as held:
                progress.held = held
                result = await relay.send(
                    call=self._call(
                        exchange=exchange,
                        relay=relay,
                        choice=choice,
                        progress=progress,
                        fresh=fresh,
                        connect_time=connect_time,
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
            self._waits.record_answer_start(
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
        fresh: bool,
        connect_time: float,
    ) -> ForwardCall:
        route = exchange.route
        assert route is not None
        time_left = exchange.deadline - self._clock()
        if time_left < MIN_TIME_LEFT_SECONDS:
            raise DeadlineExceeded("the deadline passed before it was sent")
        rank = route.priority
        if exchange.account is not None and exchange.account.priority is not None:
            rank = exchange.account.priority
        source = choice.fetch_from
        return ForwardCall(
            entry=choice.entry,
            request=exchange.request,
            body=exchange.body,
            delivery=RequestMetadata(
                endpoint=choice.entry.name,
                time_left=time_left,
                account=exchange.account,
                priority=rank,
                last_event_id=relay.last_event_id,
                fetch_from=source.address if source is not None else None,
            ),
            patience=self._waits.attempt_timeouts(
                route=route,
                time_left=time_left,
                connect_timeout=connect_time,
                may_retry=self._may_retry_later(exchange=exchange),
                missing_tokens=choice.missing_tokens,
            ),
            new_connection=fresh or not route.retryable,
            observe=progress.observe,
        )

    def _may_retry_later(self, *, exchange: ForwardExchange) -> bool:
        """Tell whether the next attempt may be given up for one more."""
        route, service = exchange.route, exchange.service
        assert route is not None
        assert service is not None
        return (
            route.retryable
            and exchange.attempts.maybe_run + 1 < route.max_attempts
            and self._repeats.has_room(service=service)
        )

    def _claim_retry(
        self, *, exchange: ForwardExchange, failure: EndpointError
    ) -> bool:
        """Tell whether another attempt may follow, and count it if so."""
        route, service, attempts = exchange.route, exchange.service, exchange.attempts
        assert route is not None
        assert service is not None
        if exchange.deadline - self._clock() < MIN_TIME_LEFT_SECONDS:
            return False
        if not attempts.may_send(idempotent=route.retryable):
            return False
        if exchange.reply.started and not route.resumable:
            return False
        if isinstance(failure, EndpointUnreachable):
            return attempts.count <= MAX_UNREACHABLE_ATTEMPTS
        if attempts.maybe_run >= route.max_attempts:
            return False
        if attempts.sent - attempts.maybe_run > MAX_REFUSED_ATTEMPTS:
            return False
        return self._repeats.acquire(service=service)

    def _log_choice(self, *, exchange: ForwardExchange, choice: Choice) -> None:
        source = choice.fetch_from
        log.info(
            "placed",
            request_id=exchange.request.request_id,
            attempt=exchange.attempts.count + 1,
            service=exchange.service,
            version=exchange.configuration_version,
            endpoint=choice.entry.endpoint,
            revision=choice.entry.revision,
            reason=choice.reason.value,
            decided_by=choice.decided_by or "",
            alone_because=choice.local_reason.value
            if choice.local_reason is not None
            else "",
            load=choice.load,
            mean_load=round(choice.mean_load, 2),
            candidates=choice.candidate_count,
            part=choice.part_tag,
            missing_tokens=choice.missing_tokens,
            fetch_from=source.endpoint if source is not None else "",
        )

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
                    self._waits.record_timeout(route=route)
                self._health.record_timeout(entry=entry)
            case _:
                self._health.record_hard_failure(entry=entry, cause=error.message)
        self._metrics.count_failed_attempt(
            service=entry.service, error=type(error).__name__
        )
        log.warning(
            "attempt_failed",
            request_id=exchange.request.request_id,
            fingerprint=exchange.fingerprint or "",
            endpoint=entry.endpoint,
            attempt=exchange.attempts.count,
            state=progress.attempt.state.value,
            error=type(error).__name__,
            cause=error.message,
            seconds=round(self._clock() - progress.started_at, 4),
            streaming=exchange.reply.started,
        )
