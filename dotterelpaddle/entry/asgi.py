"""The ASGI application for callers."""

from __future__ import annotations

import uuid
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.dispatch.outcome import OutcomeLog
from dotterelpaddle.entry.errors import error_body, error_event, error_headers
from dotterelpaddle.entry.reader import read_body, read_head
from dotterelpaddle.entry.reply import AsgiReply
from dotterelpaddle.exceptions import (
    DotterelpaddleError,
    NotAccepting,
    RequestError,
)
from dotterelpaddle.ids import RequestId
from dotterelpaddle.logs import get_logger
from dotterelpaddle.pipeline import ChatWork, Exchange, Next
from dotterelpaddle.tracebacks import release_frames

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.entry.metrics import EntryMetrics
    from dotterelpaddle.entry.reader import Receive
    from dotterelpaddle.entry.reply import Send
    from dotterelpaddle.entry.upkeep import Upkeep
    from dotterelpaddle.ids import RouterId

log = get_logger(name=__name__)


class HealthPath:
    """Paths that the balancer asks."""

    ALIVE = "/healthz"
    READY = "/readyz"


NO_DEADLINE = 3600.0
"""Seconds until the deadline of a request whose route is not known yet."""

RETRY_ELSEWHERE = 1.0
"""Seconds after which a refused caller may try again, at another router."""


class EntryApp:
    """Serves callers; an ASGI application.

    `run` must run as a task beside the server, and go on until the last request
    has ended, because it writes the claims of requests in flight.

    Args:
        pipeline: The filters.
        upkeep: What runs beside the requests.
        limit_bytes: Longest body of a request.
        limit_in_flight: Requests held at a time.
        metrics: Where requests are counted.
        clock: Source of time.
        router: Name of this router.
        configured: Tells whether records are in force here.
    """

    def __init__(
        self,
        *,
        pipeline: Next,
        upkeep: Upkeep,
        limit_bytes: int,
        limit_in_flight: int,
        metrics: EntryMetrics,
        clock: Clock,
        router: RouterId,
        configured: Callable[[], bool],
    ) -> None:
        self._pipeline = pipeline
        self._upkeep = upkeep
        self._limit_bytes = limit_bytes
        self._limit_in_flight = limit_in_flight
        self._metrics = metrics
        self._clock = clock
        self._router = router
        self._configured = configured
        self._in_flight = 0
        self._leaving = False
        self._accepting = True

    @property
    def in_flight(self) -> int:
        """Requests that have come in and not ended."""
        return self._in_flight

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return self._configured() and not self._leaving

    def announce_leaving(self) -> None:
        """Report not ready, but still take requests, so the balancer can follow."""
        self._leaving = True

    def stop_accepting(self) -> None:
        """Refuse new requests; those in flight go on to their end."""
        self._leaving = True
        self._accepting = False

    async def run(self) -> None:
        """Write claims and keep connections in order until cancelled."""
        await self._upkeep.run()

    async def __call__(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one request as ASGI asks."""
        if scope["type"] != "http":
            return
        match scope["path"]:
            case HealthPath.ALIVE:
                await _probe_reply(send=send, good=True)
            case HealthPath.READY:
                await _probe_reply(send=send, good=self.ready)
            case _:
                await self._serve(scope=scope, receive=receive, send=send)

    async def _serve(
        self, *, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        received_at = self._clock()
        request_id = RequestId(uuid.uuid4().hex)
        reply = AsgiReply(send=send, request_id=request_id, closing=self._leaving)
        exchange = Exchange(
            request_id=request_id,
            request=read_head(scope=scope),
            reply=reply,
            received_at=received_at,
            deadline=received_at + NO_DEADLINE,
            attempts=OutcomeLog(),
        )
        self._in_flight += 1
        try:
            await self._run(exchange=exchange, reply=reply, receive=receive)
        finally:
            self._in_flight -= 1
            self._finish(exchange=exchange, reply=reply)
            exchange.request = replace(exchange.request, body=b"")

    async def _run(
        self, *, exchange: Exchange, reply: AsgiReply, receive: Receive
    ) -> None:
        try:
            self._check_room()
            exchange.request = await read_body(
                request=exchange.request, receive=receive, limit=self._limit_bytes
            )
            await self._run_pipeline(exchange=exchange, reply=reply, receive=receive)
        except RequestError as error:
            release_frames(error=error)
            await self._tell(exchange=exchange, error=error)
        except DotterelpaddleError as error:
            failure = RequestError(error.message, step=error.step, peer=error.peer)
            await self._tell(exchange=exchange, error=failure)
        except Exception as error:
            log.error(
                "request_crashed",
                request_id=exchange.request_id,
                cause=repr(error),
            )
            failure = RequestError("the router failed on this request")
            await self._tell(exchange=exchange, error=failure)

    async def _run_pipeline(
        self, *, exchange: Exchange, reply: AsgiReply, receive: Receive
    ) -> None:
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch, exchange, reply, receive, tasks.cancel_scope)
            try:
                await self._pipeline(exchange)
            except Exception as error:
                failure = error
            if not reply.finished:
                tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _watch(
        self,
        exchange: Exchange,
        reply: AsgiReply,
        receive: Receive,
        scope: anyio.CancelScope,
    ) -> None:
        """Cancel the request when its caller goes, unless it must not be cut.

        The server reports the end of a whole reply in the same way. A
        non-idempotent request goes on: its run can't be taken back, and its
        record answers the caller's retry.
        """
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                break
        if exchange.idempotent and not reply.finished:
            scope.cancel()

    def _check_room(self) -> None:
        if not self._accepting:
            raise NotAccepting(
                "this router is shutting down; try another one",
                peer=self._router,
                retry_after=RETRY_ELSEWHERE,
            )
        if not self._configured():
            raise NotAccepting(
                "this router has no configuration yet; try another one",
                peer=self._router,
                retry_after=RETRY_ELSEWHERE,
            )
        if self._in_flight > self._limit_in_flight:
            raise NotAccepting(
                f"this router holds its limit of {self._limit_in_flight} requests",
                peer=self._router,
                retry_after=RETRY_ELSEWHERE,
            )

    async def _tell(self, *, exchange: Exchange, error: RequestError) -> None:
        """Tell the caller an error.

        Raises:
            RequestError: If a body has begun that can't hold an error; the
                server then cuts the connection, which the caller notices.
        """
        exchange.error = error
        outcome = exchange.outcome or exchange.attempts.outcome
        reply = exchange.reply
        if not reply.started:
            await reply.send_buffered(
                status=error.status,
                headers=error_headers(error=error, outcome=outcome),
                body=error_body(
                    error=error, outcome=outcome, request_id=exchange.request_id
                ),
            )
            return
        match exchange.work:
            case ChatWork(stream=True):
                event = error_event(
                    error=error, outcome=outcome, request_id=exchange.request_id
                )
                await reply.write(chunk=event)
                await reply.finish()
            case _:
                raise error

    def _finish(self, *, exchange: Exchange, reply: AsgiReply) -> None:
        outcome = exchange.outcome or exchange.attempts.outcome
        seconds = self._clock() - exchange.received_at
        self._metrics.count(exchange=exchange, outcome=outcome, seconds=seconds)
        error = exchange.error
        log.info(
            "request_ended",
            request_id=exchange.request_id,
            account=exchange.account.name if exchange.account else "",
            service=exchange.work.service if exchange.work else "",
            outcome=outcome.value,
            status=reply.status,
            attempts=exchange.attempts.count,
            seconds=round(seconds, 6),
            error=type(error).__name__ if error else "",
            step=error.step.value if error else "",
            peer=error.peer if error else "",
        )


async def _probe_reply(*, send: Send, good: bool) -> None:
    headers = [(b"content-type", b"text/plain")]
    status = 200 if good else 503
    await send({"type": "http.response.start", "status": status, "headers": headers})
    body = b"ok\n" if good else b"not ready\n"
    await send({"type": "http.response.body", "body": body})
