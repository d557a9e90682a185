"""Sends attempts for one request until one succeeds or no retry is allowed.

The kind of the route decides whether the router may retry. It sends a request that
must not run twice to another endpoint only with proof that the request has not run:
the router sent no byte of it, or the endpoint stated that it did not run it.

An endpoint that is silent may go on. The router then sends another attempt early, and
ends the silent one only when another endpoint delivers, or with the request.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import (
    EndpointError,
    NoEndpoint,
    RequestBlocked,
    RequestError,
)
from dotterelpaddle.forwarding.admission_terms import admission_of
from dotterelpaddle.forwarding.attempt_log import log_withheld
from dotterelpaddle.forwarding.attempt_race import (
    AttemptAbandoned,
    AttemptFailed,
    AttemptSilent,
    AttemptSucceeded,
    open_race,
)
from dotterelpaddle.forwarding.attempt_sender import AttemptSender
from dotterelpaddle.forwarding.exceptions import (
    IdleConnectionLost,
    RetryWithheld,
)
from dotterelpaddle.forwarding.progress import TriedEndpoints
from dotterelpaddle.retries.policy import RetryPolicy
from dotterelpaddle.streams.exceptions import EndpointsUnconfirmed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.crashes.guard import CrashGuard
    from dotterelpaddle.forwarding.abandoned import AbandonedRequests
    from dotterelpaddle.forwarding.attempt_race import AttemptRace, OpenAttempt
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.forwarding.exchange import AttemptResult, ForwardExchange
    from dotterelpaddle.forwarding.health import HealthTracker
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.model import ForwardRoute
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.relays import Relay
    from dotterelpaddle.forwarding.residency import ResidencyPolicy
    from dotterelpaddle.forwarding.timeouts import TimeoutEstimator
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.owners.placer import OwnerPlacer
    from dotterelpaddle.retries.budget import RetryBudget
    from dotterelpaddle.streams.confirmation import EndpointsConfirmation
    from dotterelpaddle.streams.lifetimes import EndpointLifetimes

    RetryCause = AttemptFailed | AttemptSilent

UNCONFIRMED_RETRY_AFTER_SECONDS = 0.3
"""Retry-after for a stream while the store is away; another router may reach it."""

MAX_LIFETIME_CHECKS = 3
"""Endpoints that are asked for their lifetime before a stream is refused."""


class AttemptRunner:
    """Selects endpoints for a request and sends attempts to them.

    Args:
        placer: Chooses endpoints.
        view: The endpoints in force.
        residency: Determines the endpoints that must not receive a request.
        loads: Requests in flight.
        abandoned: Holds the counts of requests that endpoints may still run.
        health: Records the results of requests.
        reachability: Records endpoints that refuse connections or time out.
        caches: Locations of cached prompt parts.
        guard: Blocks requests that crash endpoints.
        confirmation: Confirms the endpoints that may go on with a stream.
        lifetimes: Asks engines for their lifetimes while the store is away.
        retry_budget: Limits retries.
        timeouts: Estimates the timeouts of an attempt from earlier answers.
        metrics: Counts attempts.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        placer: OwnerPlacer,
        view: FleetView,
        residency: ResidencyPolicy,
        loads: LoadTracker,
        abandoned: AbandonedRequests,
        health: HealthTracker,
        reachability: Reachability,
        caches: CacheMap,
        guard: CrashGuard,
        confirmation: EndpointsConfirmation,
        lifetimes: EndpointLifetimes,
        retry_budget: RetryBudget,
        timeouts: TimeoutEstimator,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        self._placer = placer
        self._view = view
        self._residency = residency
        self._caches = caches
        self._guard = guard
        self._confirmation = confirmation
        self._lifetimes = lifetimes
        self._clock = clock
        self._retries = RetryPolicy(budget=retry_budget, clock=clock)
        self._sender = AttemptSender(
            loads=loads,
            abandoned=abandoned,
            health=health,
            reachability=reachability,
            caches=caches,
            guard=guard,
            retries=self._retries,
            timeouts=timeouts,
            metrics=metrics,
            clock=clock,
        )

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
        async with open_race() as race:
            return await self._run(exchange=exchange, relay=relay, race=race)

    async def _run(
        self, *, exchange: ForwardExchange, relay: Relay, race: AttemptRace
    ) -> AttemptResult:
        attempt = partial(
            self._attempt,
            exchange=exchange,
            relay=relay,
            race=race,
            tried=TriedEndpoints(),
        )
        failure: EndpointError | None = None
        race.start(send=partial(attempt, cause=None))
        while True:
            event = await race.next_event()
            match event:
                case AttemptSucceeded(result=result):
                    return result
                case AttemptAbandoned():
                    continue
                case AttemptFailed(error=EndpointError() as error):
                    failure = error
                case AttemptFailed(error=RequestError() as refusal):
                    if race.has_open_attempts:
                        continue
                    raise _final_error(failure=failure, refusal=refusal)
                case AttemptFailed(error=fault):
                    raise fault
            if race.needs_attempt:
                race.start(send=partial(attempt, cause=event))

    async def _attempt(
        self,
        open_attempt: OpenAttempt,
        *,
        exchange: ForwardExchange,
        relay: Relay,
        race: AttemptRace,
        tried: TriedEndpoints,
        cause: RetryCause | None,
    ) -> AttemptResult | None:
        """Choose an endpoint and send an attempt to it.

        Args:
            open_attempt: The attempt in the race.
            exchange: The request.
            relay: Sends the attempt and passes on its answer.
            race: All attempts at the request.
            tried: Endpoints that have failed.
            cause: Why an attempt follows another one, None for the first.

        Returns:
            The answer; None if an attempt that was silent goes on meanwhile.

        Raises:
            RequestError: If no attempt may follow, or the attempt failed.
        """
        try:
            choice = await self._choose_next(
                exchange=exchange, race=race, tried=tried, cause=cause
            )
            if cause is not None and not open_attempt.is_needed:
                self._retract(choice=choice)
                return None
            self._claim(exchange=exchange, choice=choice, cause=cause)
        except (
            EndpointsUnconfirmed,
            NoEndpoint,
            RequestBlocked,
            RetryWithheld,
        ) as error:
            if cause is not None:
                log_withheld(exchange=exchange, cause=cause, error=error)
            raise
        endpoint = choice.entry.endpoint
        open_attempt.endpoint = endpoint
        try:
            return await self._sender.send(
                exchange=exchange,
                relay=relay,
                choice=choice,
                open_attempt=open_attempt,
                new_connection=isinstance(_failure_of(cause), IdleConnectionLost),
                connect_timeout=tried.connect_timeout(endpoint=endpoint),
            )
        except EndpointError as error:
            tried.add(endpoint=endpoint, failure=error)
            raise

    async def _choose_next(
        self,
        *,
        exchange: ForwardExchange,
        race: AttemptRace,
        tried: TriedEndpoints,
        cause: RetryCause | None,
    ) -> Choice:
        if cause is not None:
            self._retries.check(exchange=exchange, failure=_failure_of(cause))
        self._guard.check(exchange=exchange)
        choose = partial(self._choose, exchange=exchange, tried=tried)
        if exchange.stream_version is None:
            return await choose(in_use=race.endpoints)
        # An endpoint that has started again keeps its name and its address, and checks
        # neither which lifetime nor which version of it a request is meant for. The
        # first attempt may rely on what was read to find the stream's origin.
        since = exchange.received_at if cause is None else self._clock()
        if await self._confirmation.confirm(since=since):
            return await choose(in_use=race.endpoints)
        return await self._choose_unchanged(choose=choose, in_use=race.endpoints)

    async def _choose_unchanged(
        self,
        *,
        choose: Callable[..., Awaitable[Choice]],
        in_use: frozenset[EndpointId],
    ) -> Choice:
        """Choose an endpoint that proves itself that it has not started again.

        Args:
            choose: Chooses an endpoint, given those that are in use.
            in_use: Endpoints with an open attempt at the request.

        Raises:
            EndpointsUnconfirmed: If no endpoint proves it, while the platform's store
                does not answer.
        """
        unproven: frozenset[EndpointId] = frozenset()
        for _ in range(MAX_LIFETIME_CHECKS):
            try:
                choice = await choose(in_use=in_use | unproven)
            except NoEndpoint:
                if not unproven:
                    raise
                break
            if await self._lifetimes.is_unchanged(entry=choice.entry):
                return choice
            self._retract(choice=choice)
            unproven |= {choice.entry.endpoint}
        raise EndpointsUnconfirmed(
            "neither the platform's store nor the endpoints themselves tell which of "
            "them may go on with this stream; try again",
            retry_after=UNCONFIRMED_RETRY_AFTER_SECONDS,
        )

    def _claim(
        self, *, exchange: ForwardExchange, choice: Choice, cause: RetryCause | None
    ) -> None:
        """Check once more that the attempt may be sent; if so, count a retry.

        Raises:
            RequestBlocked: If the request was blocked while an endpoint was chosen.
            RetryWithheld: If the retry budget has been spent meanwhile.
        """
        try:
            self._guard.check(exchange=exchange)
            if cause is not None:
                self._retries.claim(exchange=exchange, failure=_failure_of(cause))
        except RequestError:
            self._retract(choice=choice)
            raise

    def _retract(self, *, choice: Choice) -> None:
        """Forget what was recorded of an endpoint that gets no attempt."""
        self._placer.retract(choice=choice)
        self._caches.retract_parts(
            endpoint=choice.entry.endpoint, parts=choice.new_parts
        )

    async def _choose(
        self,
        *,
        exchange: ForwardExchange,
        tried: TriedEndpoints,
        in_use: frozenset[EndpointId],
    ) -> Choice:
        try:
            return await self._place(
                exchange=exchange, excluded=tried.excluded | in_use
            )
        except NoEndpoint:
            if not tried.connect_failures:
                raise
        # No request reached the endpoints whose connect failed. They may be slow, or
        # in reach of other routers, so the router tries each of them once more.
        return await self._place(exchange=exchange, excluded=tried.attempted | in_use)

    async def _place(
        self, *, exchange: ForwardExchange, excluded: frozenset[EndpointId]
    ) -> Choice:
        assert exchange.service is not None
        assert exchange.route is not None
        return await self._placer.choose(
            service=exchange.service,
            request=exchange.request,
            retryable=exchange.route.retryable,
            excluded=excluded
            | self._residency.forbidden_endpoints(exchange=exchange)
            | self._unclear_versions(route=exchange.route),
            version=exchange.stream_version,
            admission=admission_of(exchange=exchange, now=self._clock()),
        )

    def _unclear_versions(self, *, route: ForwardRoute) -> frozenset[EndpointId]:
        """Endpoints that may neither begin nor continue a stream of a route."""
        return self._view.unclear_versions if route.resumable else frozenset()


def _failure_of(cause: RetryCause | None) -> EndpointError | None:
    """Return the failure after which an attempt follows, None after a silence."""
    match cause:
        case AttemptFailed(error=EndpointError() as error):
            return error
    return None


def _final_error(
    *, failure: EndpointError | None, refusal: RequestError
) -> RequestError:
    """Return what the caller is told: the last failure, or that nothing was sent."""
    if failure is None:
        return refusal
    if failure.retry_after is None:
        failure.retry_after = refusal.retry_after
    return failure
