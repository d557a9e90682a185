"""Sends attempts at one request until one succeeds or none may follow."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.dispatch.attempt_log import (
    log_decision,
    log_failure,
    log_silence,
)
from dotterelpaddle.dispatch.budget import RetryBudget, backoff
from dotterelpaddle.dispatch.patience import PatienceBook, wait_kind
from dotterelpaddle.dispatch.placing import placement_request
from dotterelpaddle.dispatch.retries import MIN_TIME_LEFT, Course, Retries
from dotterelpaddle.dispatch.target import Progress, Target
from dotterelpaddle.exceptions import (
    AnswerBroken,
    DeadlineExceeded,
    EndpointError,
    EndpointLeaving,
    EndpointRefused,
    EndpointSilent,
    EndpointUnreachable,
    ForeignAnswer,
    NoEndpoint,
)
from dotterelpaddle.logs import get_logger
from dotterelpaddle.pipeline import ChatWork
from dotterelpaddle.placement.interface import AttemptResult, Grant

if TYPE_CHECKING:
    import random

    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.dispatch.canceller import Canceller
    from dotterelpaddle.dispatch.metrics import DispatchMetrics
    from dotterelpaddle.dispatch.options import DispatchOptions
    from dotterelpaddle.dispatch.relay import Relay
    from dotterelpaddle.dispatch.target import Result
    from dotterelpaddle.endpoint.caller import EndpointCaller
    from dotterelpaddle.endpoint.patience import KeepWaiting
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.pipeline import Exchange
    from dotterelpaddle.placement.interface import Placer
    from dotterelpaddle.records.model import Endpoint

log = get_logger(name=__name__)


class Attempts:
    """Places and sends attempts.

    Args:
        placer: Chooses endpoints.
        catalog: The records in force.
        caller: Opens connections, for probes.
        budget: What retries may cost.
        patience: What was learnt of each pool's progress.
        canceller: Cancels attempts that were given up.
        options: Bounds.
        metrics: Where attempts are counted.
        clock: Source of time.
        generator: Source of jitter.
    """

    def __init__(
        self,
        *,
        placer: Placer,
        catalog: Catalog,
        caller: EndpointCaller,
        budget: RetryBudget,
        patience: PatienceBook,
        canceller: Canceller,
        options: DispatchOptions,
        metrics: DispatchMetrics,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._placer = placer
        self._catalog = catalog
        self._patience = patience
        self._canceller = canceller
        self._options = options
        self._metrics = metrics
        self._clock = clock
        self._generator = generator
        self._retries = Retries(
            catalog=catalog,
            caller=caller,
            budget=budget,
            options=options,
            metrics=metrics,
            clock=clock,
        )

    async def run(
        self,
        *,
        exchange: Exchange,
        relay: Relay,
        visited: set[EndpointId],
    ) -> Result:
        """Send attempts until one brings an answer.

        Args:
            exchange: The request.
            relay: Sends an attempt.
            visited: Endpoints that are not tried any more; grows.

        Raises:
            RequestError: If none did and none may follow.
        """
        failure: EndpointError | None = None
        course = Course(
            exchange=exchange,
            visited=visited,
            placements_left=self._options.max_attempts,
        )
        for retry in range(self._options.max_attempts):
            if retry:
                await self._back_off(retry=retry)
            request = placement_request(
                exchange=exchange, catalog=self._catalog, excluded=frozenset(visited)
            )
            try:
                async with self._placer.grant(request=request) as grant:
                    endpoint = grant.decision.endpoint
                    visited.add(endpoint.name)
                    course.placements_left -= 1
                    log_decision(exchange=exchange, decision=grant.decision)
                    return await self._at_endpoint(
                        course=course, relay=relay, grant=grant
                    )
            except EndpointError as error:
                failure = error
            except NoEndpoint:
                if failure is None:
                    raise
                break
            if not self._retries.claim(course=course, failure=failure):
                break
        assert failure is not None
        raise failure

    async def _at_endpoint(
        self, *, course: Course, relay: Relay, grant: Grant
    ) -> Result:
        """Send an attempt, and a second one to the same endpoint if it lives.

        A connection that broke or went silent says little of its endpoint; a
        new connection does. The endpoint that was chosen has the chat's cache,
        so it comes before others.
        """
        exchange = course.exchange
        endpoint = grant.decision.endpoint
        try:
            return await self._once(
                course=course, relay=relay, grant=grant, fresh=False
            )
        except (EndpointSilent, AnswerBroken) as error:
            alive = await self._is_alive(course=course, endpoint=endpoint, error=error)
            grant.report(
                result=(AttemptResult.TIMED_OUT if alive else AttemptResult.UNREACHABLE)
            )
            if not alive or not self._retries.claim(course=course, failure=error):
                self._abandon(exchange=exchange, endpoint=endpoint)
                raise
        await self._clear(exchange=exchange, endpoint=endpoint)
        return await self._once(
            course=course, relay=relay, grant=grant, fresh=True, last=True
        )

    async def _once(
        self,
        *,
        course: Course,
        relay: Relay,
        grant: Grant,
        fresh: bool,
        last: bool = False,
    ) -> Result:
        """Send one attempt and report how it went.

        Args:
            course: The attempts so far.
            relay: Sends the attempt.
            grant: Where to send it.
            fresh: Whether only a new connection may carry it.
            last: Whether the endpoint gets no other attempt, whatever happens.
        """
        exchange = course.exchange
        self._check_wanted(exchange=exchange)
        endpoint = grant.decision.endpoint
        attempt = exchange.attempts.begin(idempotent=exchange.idempotent)
        progress = Progress(attempt=attempt, clock=self._clock)
        target = self._target(
            exchange=exchange,
            endpoint=endpoint,
            progress=progress,
            fresh=fresh,
            keep_waiting=partial(
                self._keep_waiting,
                course=course,
                endpoint=endpoint,
                progress=progress,
                last=last,
            ),
        )
        try:
            result = await relay.send(target=target)
        except EndpointError as error:
            self._note_failure(exchange=exchange, progress=progress, error=error)
            unsure = isinstance(error, EndpointSilent | AnswerBroken)
            if last or not unsure:
                grant.report(result=_result_of(error=error))
                self._abandon(exchange=exchange, endpoint=endpoint)
            raise
        except BaseException:
            # The caller has gone or its deadline has passed.
            self._abandon(exchange=exchange, endpoint=endpoint)
            raise
        finally:
            attempt.end()
        self._learn(exchange=exchange, progress=progress)
        grant.report(
            result=AttemptResult.OK,
            latency=progress.first_byte_time or 0.0,
            cached_tokens=result.cached_tokens,
        )
        return result

    def _abandon(self, *, exchange: Exchange, endpoint: Endpoint) -> None:
        """Cancel by name what may go on at an engine."""
        if isinstance(exchange.work, ChatWork) and not exchange.attempts.proves_not_run:
            self._canceller.cancel_later(
                endpoint=endpoint, request_id=exchange.request_id
            )

    async def _clear(self, *, exchange: Exchange, endpoint: Endpoint) -> None:
        """End what an engine may still do before it gets the request again."""
        if isinstance(exchange.work, ChatWork):
            await self._canceller.cancel(
                endpoint=endpoint, request_id=exchange.request_id
            )

    def _check_wanted(self, *, exchange: Exchange) -> None:
        """Refuse to send what nobody waits for any more.

        A hedge that was cancelled may come this far before it notices, and a
        process that was paused may find the deadline long past.
        """
        if exchange.attempts.delivered:
            raise EndpointError("another attempt brought the answer")
        if exchange.deadline - self._clock() < MIN_TIME_LEFT:
            raise DeadlineExceeded("the deadline passed before it was sent")

    def _target(
        self,
        *,
        exchange: Exchange,
        endpoint: Endpoint,
        progress: Progress,
        fresh: bool,
        keep_waiting: KeepWaiting,
    ) -> Target:
        time_left = exchange.deadline - self._clock()
        patience = self._patience.patience(
            kind=wait_kind(exchange=exchange),
            idempotent=exchange.idempotent,
            time_left=time_left,
        )
        return Target(
            endpoint=endpoint,
            patience=patience,
            time_left=time_left,
            fresh=fresh or not exchange.idempotent,
            progress=progress,
            keep_waiting=keep_waiting,
        )

    async def _keep_waiting(
        self, *, course: Course, endpoint: Endpoint, progress: Progress, last: bool
    ) -> bool:
        """Tell whether a silent attempt goes on because no retry may follow."""
        retried = await self._retries.follows_silence(
            course=course, endpoint=endpoint, same_endpoint=not last
        )
        log_silence(
            exchange=course.exchange,
            endpoint=endpoint,
            begun=progress.first_byte_time is not None,
            retried=retried,
        )
        return not retried

    async def _back_off(self, *, retry: int) -> None:
        seconds = backoff(
            retry=retry,
            base=self._options.backoff_base,
            cap=self._options.backoff_cap,
            generator=self._generator,
        )
        await anyio.sleep(seconds)

    async def _is_alive(
        self, *, course: Course, endpoint: Endpoint, error: EndpointError
    ) -> bool:
        alive, course.alive = course.alive, None
        if alive is None or not isinstance(error, EndpointSilent):
            alive = await self._retries.probe(endpoint=endpoint)
        log.warning(
            "connection_lost",
            endpoint=endpoint.name,
            cause=type(error).__name__,
            endpoint_alive=alive,
        )
        return alive

    def _learn(self, *, exchange: Exchange, progress: Progress) -> None:
        kind = wait_kind(exchange=exchange)
        if progress.connect_time is not None:
            self._patience.connected(kind=kind, seconds=progress.connect_time)
        if progress.first_byte_time is not None:
            self._patience.begun(kind=kind, seconds=progress.first_byte_time)
        if progress.longest_gap is not None:
            self._patience.continued(kind=kind, seconds=progress.longest_gap)

    def _note_failure(
        self, *, exchange: Exchange, progress: Progress, error: EndpointError
    ) -> None:
        if isinstance(error, EndpointSilent):
            self._patience.gave_up(
                kind=wait_kind(exchange=exchange),
                begun=progress.first_byte_time is not None,
            )
        self._metrics.count_failure(error=error)
        log_failure(exchange=exchange, state=progress.attempt.state, error=error)


def _result_of(*, error: EndpointError) -> AttemptResult:
    match error:
        case EndpointLeaving():
            return AttemptResult.LEAVING
        case EndpointRefused():
            return AttemptResult.REFUSED
        case EndpointSilent():
            return AttemptResult.TIMED_OUT
        case EndpointUnreachable():
            return AttemptResult.UNREACHABLE
        case AnswerBroken() | ForeignAnswer():
            return AttemptResult.FAILED
        case _:
            return AttemptResult.FAILED
