"""ASGI application that forwards callers' requests to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.dispatch.outcome import OutcomeLog
from dotterelpaddle.exceptions import DotterelpaddleError, RequestError
from dotterelpaddle.forwarding.caller_protocol import has_next_request, received_at
from dotterelpaddle.forwarding.exchange import ForwardExchange
from dotterelpaddle.forwarding.relays import NOT_EXECUTED_STATUSES
from dotterelpaddle.forwarding.reply import MAX_WRITE_BYTES, ForwardReply
from dotterelpaddle.forwarding.request_body import BodyReader
from dotterelpaddle.http_server import ReplyCut
from dotterelpaddle.logs import get_logger
from dotterelpaddle.retries.retry_after import retry_after_seconds
from dotterelpaddle.tracebacks import release_frames

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.filters import NextFilter
    from dotterelpaddle.forwarding.interface import Headers, WireCodec
    from dotterelpaddle.forwarding.isolation import IsolationDetector
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.reply import Send
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.memory.held_bytes import HeldBytes

    Receive = Callable[[], Awaitable[dict[str, Any]]]

log = get_logger(name=__name__)

UNROUTED_DEADLINE_SECONDS = 3600.0
"""Deadline of a request before its route, and so its timeout, is known."""

BAD_GATEWAY_STATUS = 502
UNAVAILABLE_STATUS = 503
GATEWAY_ERROR_STATUSES = frozenset({502, 504})
"""Statuses that leave open whether an endpoint ran the request."""


class ForwardApp:
    """ASGI application that serves callers.

    Args:
        pipeline: Filters that each request passes.
        codec: Decodes callers' requests.
        view: Provides the active configuration.
        isolation: Detects that other routers can serve callers better.
        metrics: Counts requests.
        held: What is held for callers in sum.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        pipeline: NextFilter,
        codec: WireCodec,
        view: FleetView,
        isolation: IsolationDetector,
        metrics: ForwardMetrics,
        held: HeldBytes,
        clock: Clock,
    ) -> None:
        self._pipeline = pipeline
        self._codec = codec
        self._view = view
        self._isolation = isolation
        self._metrics = metrics
        self._bodies = BodyReader(view=view, held=held)
        self._is_memory_bounded = held.bound is not None
        self._clock = clock
        self._in_flight = 0
        self._draining = False

    @property
    def in_flight(self) -> int:
        """Number of requests received and not yet finished."""
        return self._in_flight

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this router."""
        return self._view.complete and not self._draining_or_isolated

    @property
    def _draining_or_isolated(self) -> bool:
        return self._draining or self._isolation.isolated

    @property
    def _unready_seconds(self) -> float | None:
        """Seconds since the load balancer could first see this router as not ready.

        None while the router has configuration and endpoints and is not isolated.
        """
        if not self._view.complete:
            return self._view.age
        return self._isolation.isolated_for

    def start_draining(self) -> None:
        """Report not ready and close each connection after its answer.

        The router continues to serve the requests that it receives.
        """
        self._draining = True

    async def __call__(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI entry point)."""
        arrived_at = received_at(scope=scope, now=self._clock())
        reply = ForwardReply(
            send=send,
            should_close=lambda: (
                self._draining_or_isolated and not has_next_request(scope=scope)
            ),
            clock=self._clock,
            max_write=MAX_WRITE_BYTES if self._is_memory_bounded else None,
        )
        try:
            request = self._codec.decode_request(scope=scope)
        except RequestError as error:
            log.warning("request_unreadable", cause=error.message)
            await reply.send_buffered(
                status=error.status, headers=[], body=_body(error=error)
            )
            return
        exchange = ForwardExchange(
            request=request,
            reply=reply,
            received_at=arrived_at,
            deadline=arrived_at + UNROUTED_DEADLINE_SECONDS,
            attempts=OutcomeLog(),
        )
        self._in_flight += 1
        try:
            await self._run(exchange=exchange, scope=scope, receive=receive)
        finally:
            self._in_flight -= 1
            self._log_end(exchange=exchange)
            # Its error may hold an endpoint's answer.
            exchange.error = None

    async def _run(
        self, *, exchange: ForwardExchange, scope: Mapping[str, Any], receive: Receive
    ) -> None:
        try:
            with self._bodies.admit(exchange=exchange, scope=scope):
                exchange.body = await self._bodies.read(
                    exchange=exchange, receive=receive
                )
                await self._run_pipeline(exchange=exchange, receive=receive)
        except RequestError as error:
            await self._send_error(exchange=exchange, error=error)
        except DotterelpaddleError as error:
            failure = RequestError(error.message, step=error.step, peer=error.peer)
            await self._send_error(exchange=exchange, error=failure)

    async def _run_pipeline(
        self, *, exchange: ForwardExchange, receive: Receive
    ) -> None:
        """Run the filters, and cancel them if the caller disconnects.

        Cancellation closes the connection to the endpoint, which then stops work.
        """
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:

            async def _cancel_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                if not exchange.reply.finished:
                    exchange.caller_disconnected = True
                    tasks.cancel_scope.cancel()

            tasks.start_soon(_cancel_on_disconnect)
            try:
                await self._pipeline(exchange)
            except Exception as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _send_error(
        self, *, exchange: ForwardExchange, error: RequestError
    ) -> None:
        """Send an error to the caller.

        Raises:
            ReplyCut: If an answer has started. The server then closes the
                connection, which shows the caller that the answer is incomplete.
        """
        release_frames(error=error)
        exchange.error = error
        reply = exchange.reply
        if reply.started:
            raise ReplyCut(error.message)
        status = _status(exchange=exchange, error=error)
        await reply.send_buffered(
            status=status,
            headers=self._headers(exchange=exchange, status=status, error=error),
            body=_body(error=error),
        )

    def _headers(
        self, *, exchange: ForwardExchange, status: int, error: RequestError
    ) -> Headers:
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if status in NOT_EXECUTED_STATUSES:
            wait = retry_after_seconds(
                wait=error.retry_after,
                time_left=self._time_left(exchange=exchange),
                unready_seconds=self._unready_seconds,
            )
            headers.append((b"retry-after", f"{wait:.3g}".encode()))
        return headers

    def _time_left(self, *, exchange: ForwardExchange) -> float:
        """Return the seconds that the caller still waits, with or without a route."""
        elapsed = self._clock() - exchange.received_at
        caller_limit = exchange.request.time_left
        route_limit = exchange.deadline - exchange.received_at
        return (
            route_limit if caller_limit is None else min(route_limit, caller_limit)
        ) - elapsed

    def _log_end(self, *, exchange: ForwardExchange) -> None:
        error, route, reply = exchange.error, exchange.route, exchange.reply
        seconds = self._clock() - exchange.received_at
        self._metrics.count_request(exchange=exchange, seconds=seconds)
        status = reply.status
        refused = status in NOT_EXECUTED_STATUSES
        answer_start_seconds = seconds
        if reply.started_at is not None:
            answer_start_seconds = reply.started_at - exchange.received_at
        log.info(
            "request_ended",
            keep=refused and route is not None and not route.retryable,
            request_id=exchange.request.request_id,
            fingerprint=exchange.fingerprint or "",
            route=route.name if route else "",
            kind=route.kind.value if route else "",
            objective=route.latency_objective if route else 0.0,
            begun=round(answer_start_seconds, 4),
            pause_objective=route.gap_objective if route else 0.0,
            longest_pause=round(reply.longest_pause, 4),
            service=exchange.service or "",
            version=exchange.configuration_version,
            status=status,
            finished=reply.finished,
            caller_gone=exchange.caller_disconnected,
            attempts=exchange.attempts.count,
            endpoint=exchange.last_endpoint,
            outcome=exchange.attempts.outcome.value,
            seconds=round(seconds, 4),
            error=type(error).__name__ if error else "",
            cause=error.message if error else "",
        )


def _status(*, exchange: ForwardExchange, error: RequestError) -> int:
    """Return a status that does not misstate whether the request has run.

    Callers may retry any request, also one that must not run twice, once its status
    states that it has not run.
    """
    proven_not_run = exchange.attempts.proves_not_run
    if error.status in NOT_EXECUTED_STATUSES and not proven_not_run:
        return BAD_GATEWAY_STATUS
    if error.status in GATEWAY_ERROR_STATUSES and proven_not_run:
        return UNAVAILABLE_STATUS
    return error.status


def _body(*, error: RequestError) -> bytes:
    return f"{error.message}\n".encode()
