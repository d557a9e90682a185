"""One HTTP exchange with a registered endpoint, with evidence of its progress."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.endpoint.evidence import Evidence, Observer
from dotterelpaddle.endpoint.pool import Connection, ConnectionPool, PoolLimits
from dotterelpaddle.exceptions import (
    AnswerBroken,
    EndpointRefused,
    EndpointSilent,
    ForeignAnswer,
    MalformedRequest,
    Step,
)
from dotterelpaddle.forwarding.exceptions import EndpointReplaced, IdleConnectionLost

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.endpoint.patience import Patience
    from dotterelpaddle.forwarding.interface import (
        AnswerHead,
        ForwardRequest,
        RequestMetadata,
        WireCodec,
    )
    from dotterelpaddle.forwarding.liveness import EndpointLiveness
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.notices import EndpointNotices
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.network import LinkedBackend

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Bytes of an answer that is read whole; the largest known take a few KB."""

SLOW_RECHECK_SECONDS = 0.1
"""Seconds after which it is looked again whether a slow endpoint lives."""

POOL_LIMITS = PoolLimits(max_open=96, max_idle=16, max_idle_age=3.0)
"""Connections to one endpoint: a router's part of what endpoints accept.

Idle ones are kept for three seconds, because endpoints drop them at times, and
a request sent on one that is gone may not be sent again.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardCall:
    """What to send to an endpoint.

    Attributes:
        entry: The endpoint.
        request: The caller's request.
        body: Its whole body.
        delivery: What the endpoint is told besides.
        patience: Deadlines on progress.
        new_connection: Whether only a new connection may carry it, on which no late
            answer to an earlier request can arrive.
        observe: Is told of each piece of evidence.
    """

    entry: EndpointEntry
    request: ForwardRequest
    body: bytes
    delivery: RequestMetadata
    patience: Patience
    new_connection: bool
    observe: Observer


class ForwardAnswer:
    """An answer whose head is there and whose body is read as it comes.

    Args:
        head: Its head.
        response: The answer of httpcore.
        connection: The connection it comes on.
        call: The request that it answers.
        signs: Is told when parts of it come.
    """

    def __init__(
        self,
        *,
        head: AnswerHead,
        response: httpcore.Response,
        connection: Connection,
        call: ForwardCall,
        signs: EndpointLiveness,
    ) -> None:
        self._head = head
        self._response = response
        self._connection = connection
        self._gap = call.patience.gap
        self._endpoint = call.entry.endpoint
        self._signs = signs

    @property
    def head(self) -> AnswerHead:
        """Status and headers."""
        return self._head

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the body part by part.

        Raises:
            EndpointSilent: If no part came within the patience.
            AnswerBroken: If the body ended before its stated end, or was reset.
        """
        try:
            async for chunk in self._response.aiter_stream():
                # Until here the patience for the answer's begin was in force.
                self._connection.stream.read_timeout = self._gap
                self._signs.record_bytes(endpoint=self._endpoint)
                yield chunk
        except httpcore.ReadTimeout as error:
            raise EndpointSilent("the answer stopped", peer=self._endpoint) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise AnswerBroken(
                f"the answer was cut off: {error}", peer=self._endpoint
            ) from error

    async def read(self) -> bytes:
        """Read the whole body.

        Raises:
            EndpointSilent: If no part came within the patience.
            AnswerBroken: If the body is cut off or over the limit.
        """
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise AnswerBroken(
                    f"the answer is over {MAX_ANSWER_BYTES} bytes", peer=self._endpoint
                )
            parts.append(chunk)
        return b"".join(parts)


class ForwardClient:
    """Sends requests to endpoints and keeps their connections.

    Args:
        protocols: Translates to the endpoints' wire.
        backend: Opens connections.
        clock: Monotonic clock.
        signs: Signs of life of endpoints.
        notices: Heeds what endpoints say of themselves.
        limits: Bounds of each endpoint's connections.
    """

    def __init__(
        self,
        *,
        protocols: WireCodec,
        backend: LinkedBackend,
        clock: Clock,
        signs: EndpointLiveness,
        notices: EndpointNotices,
        limits: PoolLimits = POOL_LIMITS,
    ) -> None:
        self._protocols = protocols
        self._backend = backend
        self._clock = clock
        self._signs = signs
        self._notices = notices
        self._limits = limits
        self._pools: dict[tuple[EndpointId, Address], ConnectionPool] = {}

    @asynccontextmanager
    async def send(self, *, call: ForwardCall) -> AsyncIterator[ForwardAnswer]:
        """Send a request and yield its answer.

        Leaving the context before the answer's end closes the connection, by
        which endpoints notice that nobody waits any more.

        Raises:
            EndpointUnreachable: If no connection could be had; nothing was sent.
            EndpointRefused: If the endpoint promised not to run it.
            EndpointReplaced: If another endpoint has the address.
            EndpointSilent: If no answer began within the patience.
            AnswerBroken: If the connection broke.
            ForeignAnswer: If the answer belongs to another request.
        """
        pool = self._pool(entry=call.entry)
        connection = await pool.acquire(
            fresh=call.new_connection, timeout=call.patience.connect
        )
        call.observe(Evidence.CONNECTED)
        response: httpcore.Response | None = None
        try:
            sent_at = self._clock()
            connection.stream.read_timeout = call.patience.first_byte
            connection.stream.read_extension = partial(self._extra_wait, call, sent_at)
            response = await self._send_request(call=call, connection=connection)
            connection.stream.read_extension = None
            self._signs.record_answer_start(
                endpoint=call.entry.endpoint, sent_at=sent_at
            )
            head = self._protocols.decode_answer(
                status=response.status, headers=response.headers
            )
            _check_answers(head=head, call=call, reused=connection.reused)
            self._notices.process(
                endpoint=call.entry.endpoint,
                head=head,
                request_id=call.request.request_id,
            )
            _check_executed(head=head, call=call)
            yield ForwardAnswer(
                head=head,
                response=response,
                connection=connection,
                call=call,
                signs=self._signs,
            )
        finally:
            with anyio.CancelScope(shield=True):
                if response is not None:
                    await response.aclose()
                await _release(pool=pool, connection=connection)

    def _extra_wait(self, call: ForwardCall, sent_at: float) -> float:
        """Seconds that a request whose time is up waits on, 0 to give it up."""
        if not self._signs.is_slow(endpoint=call.entry.endpoint, sent_at=sent_at):
            return 0.0
        left = call.patience.slow_first_byte - (self._clock() - sent_at)
        return min(left, SLOW_RECHECK_SECONDS)

    async def discard_expired(self) -> None:
        """Close idle connections that are too old, everywhere."""
        for key, pool in tuple(self._pools.items()):
            await pool.discard_expired()
            if not pool.idle and not pool.busy:
                del self._pools[key]

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in tuple(self._pools.values()):
            await pool.aclose()
        self._pools.clear()

    def _pool(self, *, entry: EndpointEntry) -> ConnectionPool:
        # Connections to an earlier start, or to another endpoint that had the
        # address, neither serve this one nor count against its limit.
        key = entry.endpoint, entry.address
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ConnectionPool(
                address=entry.address,
                backend=self._backend,
                limits=self._limits,
                clock=self._clock,
            )
        return pool

    async def _send_request(
        self, *, call: ForwardCall, connection: Connection
    ) -> httpcore.Response:
        endpoint = call.entry.endpoint
        before, received = (
            connection.stream.bytes_written,
            connection.stream.bytes_received,
        )
        try:
            return await connection.http.handle_async_request(self._request(call=call))
        except httpcore.LocalProtocolError as error:
            # Nothing of it was sent: the request itself breaks the protocol.
            raise MalformedRequest(
                f"the request can't be passed on: {error}"
            ) from error
        except httpcore.ReadTimeout as error:
            raise EndpointSilent("no answer began", peer=endpoint) from error
        except httpcore.TimeoutException as error:
            raise EndpointSilent(
                "the request could not be sent", step=Step.SEND, peer=endpoint
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            lost = connection.reused and connection.stream.bytes_received == received
            kind = IdleConnectionLost if lost else AnswerBroken
            raise kind(
                f"the connection broke before an answer: {error}", peer=endpoint
            ) from error
        finally:
            if connection.stream.bytes_written > before:
                call.observe(Evidence.SENT)

    def _request(self, *, call: ForwardCall) -> httpcore.Request:
        headers = self._protocols.encode_headers(
            request=call.request, metadata=call.delivery
        )
        if call.body or call.request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", str(len(call.body)).encode()))
        address = call.entry.address
        url = httpcore.URL(
            scheme=b"http",
            host=address.host.encode(),
            port=address.port,
            target=call.request.target,
        )
        return httpcore.Request(
            method=call.request.method, url=url, headers=headers, content=call.body
        )


def _check_answers(*, head: AnswerHead, call: ForwardCall, reused: bool) -> None:
    """Check that the endpoint that was meant answers the request that it got.

    Raises:
        IdleConnectionLost: If it is a late answer on a kept connection.
        ForeignAnswer: If it answers another request.
        EndpointReplaced: If another endpoint has the address.
    """
    endpoint = call.entry.endpoint
    refused = head.not_executed or head.wrong_endpoint
    if head.request_id != call.request.request_id and (head.request_id or not refused):
        # On a kept connection it is a late answer to an earlier request.
        raise (IdleConnectionLost if reused else ForeignAnswer)(
            f"asked for request '{call.request.request_id}', "
            f"got an answer to '{head.request_id}'",
            peer=endpoint,
        )
    if head.wrong_endpoint:
        call.observe(Evidence.REFUSED)
        raise EndpointReplaced("another endpoint has its address", peer=endpoint)


def _check_executed(*, head: AnswerHead, call: ForwardCall) -> None:
    """Note that the answer has begun.

    Raises:
        EndpointRefused: If the endpoint promised not to run the request.
    """
    if head.not_executed:
        call.observe(Evidence.REFUSED)
        raise EndpointRefused(
            f"refused with status {head.status}", peer=call.entry.endpoint
        )
    call.observe(Evidence.ANSWER_BEGUN)


async def _release(*, pool: ConnectionPool, connection: Connection) -> None:
    """Give a connection back; close it if bytes wait on either side.

    Bytes to read after a whole answer belong to no request; bytes to write are
    the rest of a body whose answer came early.
    """
    if (
        connection.stream.get_extra_info("is_readable")
        or connection.stream.has_unsent_bytes
    ):
        await connection.aclose()
    await pool.release(connection=connection)
