"""Filters of the forwarding pipeline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import (
    DeadlineExceeded,
    NotAccepting,
    NotAuthenticated,
    RouteNotFound,
    Step,
)
from dotterelpaddle.forwarding.exceptions import FailedAnswer
from dotterelpaddle.forwarding.exchange import BufferedAnswer, StreamedAnswer
from dotterelpaddle.forwarding.fingerprints import fingerprint_of
from dotterelpaddle.forwarding.model import RequestKind
from dotterelpaddle.forwarding.relays import (
    MIN_SERVER_ERROR_STATUS,
    NOT_EXECUTED_STATUSES,
    BufferingRelay,
    EventRelay,
)
from dotterelpaddle.tracebacks import release_frames

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.attempts import AttemptRunner
    from dotterelpaddle.forwarding.client import ForwardClient
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.model import ForwardRoute
    from dotterelpaddle.forwarding.relays import Relay
    from dotterelpaddle.forwarding.startup import Startup
    from dotterelpaddle.forwarding.stream_pace import StreamPacer
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import ServiceName
    from dotterelpaddle.retries.budget import RetryBudget
    from dotterelpaddle.streams.origins import StreamOrigins

    NextFilter = Callable[[ForwardExchange], Awaitable[None]]

UNCONFIGURED_RETRY_SECONDS = 0.3
"""Retry-after of a router without configuration.

The load balancer sends the retry to another router, which has a configuration. This
router tries to read one ten times a second.
"""


class RouteFilter:
    """Finds the route of a request and the client account that sent it.

    It looks up both in one version of the configuration.

    Args:
        view: Provides the active configuration.
        introduction: Ends once another router has told what it knows.
        recall: Ends once the router knows what the store keeps of crashes.
        generator: Random generator that splits requests among the services of a route.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        introduction: Startup,
        recall: Startup,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._introduction = introduction
        self._recall = recall
        self._generator = generator

    async def __call__(
        self, exchange: ForwardExchange, next_filter: NextFilter
    ) -> None:
        """Set route, service, account and fingerprint, and run the next filter.

        Raises:
            NotAccepting: If the router has no configuration.
            RouteNotFound: If no route matches.
            NotAuthenticated: If the key is missing or unknown.
        """
        await self._view.wait_until_complete()
        await self._introduction.wait()
        await self._recall.wait()
        configuration = self._view.configuration
        if configuration is None:
            raise NotAccepting(
                "this router has no configuration yet; try another one",
                retry_after=UNCONFIGURED_RETRY_SECONDS,
            )
        exchange.configuration_version = configuration.version
        request = exchange.request
        route = self._view.route(host=request.host, path=request.path)
        if route is None:
            raise RouteNotFound(
                f"no route of host '{request.host}' matches the path '{request.path}'"
            )
        exchange.route = route
        if not route.public and configuration.accounts_by_key is not None:
            exchange.account = configuration.accounts_by_key.get(request.key)
            if exchange.account is None:
                raise NotAuthenticated("the key is missing or unknown")
        exchange.fingerprint = fingerprint_of(
            request=request, account=exchange.account, body=exchange.body
        )
        exchange.service = self._service(route=route)
        exchange.holding.assign(service=exchange.service)
        await next_filter(exchange)

    def _service(self, *, route: ForwardRoute) -> ServiceName:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [each.weight for each in route.services]
        return self._generator.choices(route.services, weights)[0].service


class DeadlineFilter:
    """Cancels a request at its route's timeout or its caller's deadline.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock

    async def __call__(
        self, exchange: ForwardExchange, next_filter: NextFilter
    ) -> None:
        """Set the deadline and run the next filter until then.

        Raises:
            DeadlineExceeded: If the deadline passes.
        """
        route = exchange.route
        assert route is not None
        timeout = route.timeout
        if exchange.request.time_left is not None:
            timeout = min(timeout, exchange.request.time_left)
        exchange.deadline = exchange.received_at + timeout
        with anyio.move_on_after(exchange.deadline - self._clock()) as scope:
            await next_filter(exchange)
        if scope.cancelled_caught:
            raise DeadlineExceeded(f"no answer within {timeout:g} s", step=Step.ENTRY)


class ForwardFilter:
    """Sends the request to an endpoint and answers the caller; the last filter.

    Args:
        attempts: Selects endpoints and sends attempts.
        client: Sends requests to endpoints.
        retry_budget: Counts requests; the retry budget is a share of them.
        stream_origins: Records where streams began.
        stream_pacer: Bounds what the process reads of streams.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        attempts: AttemptRunner,
        client: ForwardClient,
        retry_budget: RetryBudget,
        stream_origins: StreamOrigins,
        stream_pacer: StreamPacer,
        clock: Clock,
    ) -> None:
        self._attempts = attempts
        self._client = client
        self._retry_budget = retry_budget
        self._stream_origins = stream_origins
        self._stream_pacer = stream_pacer
        self._clock = clock

    async def __call__(
        self, exchange: ForwardExchange, next_filter: NextFilter
    ) -> None:
        """Send the request to an endpoint and its answer to the caller.

        Raises:
            RequestError: If no endpoint returned an answer to forward.
        """
        assert exchange.service is not None
        self._retry_budget.count_request(service=exchange.service)
        try:
            result = await self._attempts.run(
                exchange=exchange, relay=self._relay(exchange=exchange)
            )
        except FailedAnswer as error:
            release_frames(error=error)
            if (
                exchange.reply.started
                or error.answer.head.status in NOT_EXECUTED_STATUSES
            ):
                raise
            result = error.answer
        match result:
            case BufferedAnswer(head=head, body=body):
                if head.status < MIN_SERVER_ERROR_STATUS:
                    exchange.attempts.deliver()
                await exchange.reply.send_buffered(
                    status=head.status, headers=head.headers, body=body
                )
            case StreamedAnswer():
                exchange.attempts.deliver()
                await exchange.reply.finish()

    def _relay(self, *, exchange: ForwardExchange) -> Relay:
        assert exchange.route is not None
        match exchange.route.kind:
            case RequestKind.STREAM:
                return EventRelay(
                    exchange=exchange,
                    client=self._client,
                    origins=self._stream_origins,
                    pacer=self._stream_pacer,
                    clock=self._clock,
                )
            case RequestKind.IDEMPOTENT | RequestKind.NON_IDEMPOTENT:
                return BufferingRelay(exchange=exchange, client=self._client)
