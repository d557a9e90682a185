"""Sends one attempt to an endpoint and records what it shows of the endpoint."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import (
    DeadlineExceeded,
    EndpointError,
    EndpointRefused,
    EndpointSilent,
    EndpointUnreachable,
    ForeignAnswer,
)
from dotterelpaddle.forwarding.attempt_log import (
    log_choice,
    log_failed_attempt,
    log_silent_attempt,
)
from dotterelpaddle.forwarding.call import ForwardCall
from dotterelpaddle.forwarding.exceptions import (
    ConnectionLimitReached,
    EndpointReplaced,
    FailedAnswer,
    IdleConnectionLost,
    UnreadAnswerBroken,
)
from dotterelpaddle.forwarding.interface import RequestMetadata
from dotterelpaddle.forwarding.progress import AttemptProgress
from dotterelpaddle.retries.policy import MIN_TIME_LEFT_SECONDS

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.crashes.guard import CrashGuard
    from dotterelpaddle.forwarding.abandoned import AbandonedRequests
    from dotterelpaddle.forwarding.attempt_race import OpenAttempt
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.forwarding.exchange import AttemptResult, ForwardExchange
    from dotterelpaddle.forwarding.health import HealthTracker
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.relays import Relay
    from dotterelpaddle.forwarding.timeouts import TimeoutEstimator
    from dotterelpaddle.retries.policy import RetryPolicy


class AttemptSender:
    """Sends attempts.

    Args:
        loads: Requests in flight.
        abandoned: Holds the counts of requests that endpoints may still run.
        health: Records the results of requests.
        reachability: Records endpoints that refuse connections or time out.
        caches: Locations of cached prompt parts.
        guard: Blocks requests that crash endpoints.
        retries: Decides whether a retry may follow.
        timeouts: Estimates the timeouts of an attempt from earlier answers.
        metrics: Counts attempts.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        loads: LoadTracker,
        abandoned: AbandonedRequests,
        health: HealthTracker,
        reachability: Reachability,
        caches: CacheMap,
        guard: CrashGuard,
        retries: RetryPolicy,
        timeouts: TimeoutEstimator,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        self._loads = loads
        self._abandoned = abandoned
        self._health = health
        self._reachability = reachability
        self._caches = caches
        self._guard = guard
        self._retries = retries
        self._timeouts = timeouts
        self._metrics = metrics
        self._clock = clock

    async def send(
        self,
        *,
        exchange: ForwardExchange,
        relay: Relay,
        choice: Choice,
        open_attempt: OpenAttempt,
        new_connection: bool,
        connect_timeout: float,
    ) -> AttemptResult:
        """Send one attempt and return its complete answer.

        Args:
            exchange: The request.
            relay: Passes on the answer.
            choice: The endpoint.
            open_attempt: The attempt in the race of all attempts at the request.
            new_connection: Whether to use a new connection only.
            connect_timeout: Seconds within which a connection must be established.

        Raises:
            EndpointError: If the endpoint returned no complete answer.
            DeadlineExceeded: If too little time is left to send it.
        """
        route = exchange.route
        assert route is not None
        entry = choice.entry
        log_choice(exchange=exchange, choice=choice)
        self._metrics.count_choice(choice=choice)
        attempt = exchange.attempts.begin(idempotent=route.retryable)
        exchange.last_endpoint = entry.endpoint
        progress = AttemptProgress(attempt=attempt, clock=self._clock)
        open_attempt.on_silence = partial(
            self._record_silence, exchange=exchange, choice=choice, progress=progress
        )
        crash_watch = self._guard.watch(
            exchange=exchange,
            entry=entry,
            progress=progress,
            is_resumed=bool(relay.last_event_id),
        )
        tracking = self._loads.track(
            endpoint=entry.endpoint, work_tokens=choice.work_tokens
        )
        try:
            with crash_watch, tracking as in_flight:
                progress.in_flight_request = in_flight
                call = self._call(
                    exchange=exchange,
                    relay=relay,
                    choice=choice,
                    progress=progress,
                    open_attempt=open_attempt,
                    new_connection=new_connection,
                    connect_timeout=connect_timeout,
                )
                with self._abandoned.watch(entry=entry, in_flight=in_flight):
                    result = await relay.send(call=call)
        except EndpointError as error:
            self._record_failure(
                exchange=exchange, choice=choice, progress=progress, error=error
            )
            raise
        finally:
            attempt.end()
        exchange.last_endpoint = entry.endpoint
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
        open_attempt: OpenAttempt,
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
            deadline=exchange.deadline,
            metadata=RequestMetadata(
                endpoint=choice.entry.name,
                account=exchange.account,
                priority=priority,
                last_event_id=relay.last_event_id,
                fetch_from=source.address if source is not None else None,
            ),
            timeouts=self._timeouts.attempt_timeouts(
                route=route,
                time_left=time_left,
                connect_timeout=connect_timeout,
                may_retry=self._retries.may_follow_next(exchange=exchange),
                missing_tokens=choice.missing_tokens,
            ),
            new_connection=new_connection or not route.retryable,
            observe=progress.observe,
            attempt=open_attempt,
            holding=exchange.holding,
        )

    def _record_silence(
        self, *, exchange: ForwardExchange, choice: Choice, progress: AttemptProgress
    ) -> None:
        """Record that an endpoint has sent nothing for longer than usual."""
        route = exchange.route
        assert route is not None
        if progress.first_byte_seconds is None:
            self._timeouts.record_timeout(route=route)
        self._health.record_timeout(entry=choice.entry)
        self._guard.report_silence(entry=choice.entry)
        self._metrics.count_silent_attempt(service=choice.entry.service)
        log_silent_attempt(
            exchange=exchange,
            endpoint=choice.entry.endpoint,
            progress=progress,
            seconds=self._clock() - progress.started_at,
        )

    def _record_failure(
        self,
        *,
        exchange: ForwardExchange,
        choice: Choice,
        progress: AttemptProgress,
        error: EndpointError,
    ) -> None:
        entry = choice.entry
        if progress.attempt.proves_not_run:
            self._caches.retract_parts(endpoint=entry.endpoint, parts=choice.new_parts)
        match error:
            case EndpointReplaced():
                self._health.record_replaced(entry=entry)
            case EndpointRefused() | ForeignAnswer() | IdleConnectionLost():
                pass
            case ConnectionLimitReached() | UnreadAnswerBroken():
                pass
            case EndpointUnreachable() if error.is_local:
                pass
            case EndpointUnreachable():
                self._reachability.suspect(entry=entry, timed_out=error.timed_out)
                self._guard.report_silence(entry=entry)
            case FailedAnswer():
                self._health.record_error_answer(entry=entry)
            case EndpointSilent():
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
