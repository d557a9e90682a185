"""HTTP client for registered endpoints that reports the progress of each request."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.endpoint.evidence import Evidence
from dotterelpaddle.endpoint.pool import Connection, ConnectionPool, PoolLimits
from dotterelpaddle.exceptions import (
    AnswerBroken,
    EndpointRefused,
    EndpointSilent,
    ForeignAnswer,
    MalformedRequest,
    Step,
)
from dotterelpaddle.forwarding.bounded_pool import BoundedPool
from dotterelpaddle.forwarding.call import ForwardAnswer
from dotterelpaddle.forwarding.exceptions import EndpointReplaced, IdleConnectionLost

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.call import ForwardCall
    from dotterelpaddle.forwarding.connection_limits import ConnectionLimits
    from dotterelpaddle.forwarding.interface import AnswerHead, WireCodec
    from dotterelpaddle.forwarding.liveness import EndpointLiveness
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.notices import EndpointNotices
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.network import LinkedBackend
    from dotterelpaddle.peers.tunnels import TunnelBackend

SLOW_RECHECK_SECONDS = 0.1
"""Interval of checks whether a slow endpoint is still alive."""

SILENCE_RECHECK_SECONDS = 0.5
"""Interval of reports on an endpoint that stays silent, after each of which another
attempt may be sent."""

POOL_LIMITS = PoolLimits(max_open=96, max_idle=16, max_idle_age=3.0)
"""Limits on connections to one endpoint: a router's share of what endpoints accept.

The pool closes idle connections after three seconds, because endpoints close them
at times, and a request lost on a closed connection may not be safe to retry.
"""


class ForwardClient:
    """Sends requests to endpoints over pooled connections.

    Args:
        codec: Encodes requests and decodes answers.
        backend: Opens connections.
        reachability: Endpoints to which this router can't connect itself.
        tunnels: Opens connections to these endpoints through other routers.
        clock: Monotonic clock.
        liveness: Records activity of endpoints.
        notices: Processes what answers report about their endpoint.
        limits: Limits on the connections to each endpoint.
        connection_limits: This router's part of the connections that endpoints accept,
            None for no bound besides `limits`.
    """

    def __init__(
        self,
        *,
        codec: WireCodec,
        backend: LinkedBackend,
        reachability: Reachability,
        tunnels: TunnelBackend,
        clock: Clock,
        liveness: EndpointLiveness,
        notices: EndpointNotices,
        limits: PoolLimits = POOL_LIMITS,
        connection_limits: ConnectionLimits | None = None,
    ) -> None:
        self._codec = codec
        self._backend = backend
        self._reachability = reachability
        self._tunnels = tunnels
        self._clock = clock
        self._liveness = liveness
        self._notices = notices
        self._limits = limits
        self._connection_limits = connection_limits
        self._pools: dict[tuple[EndpointId, Address, bool], ConnectionPool] = {}

    @asynccontextmanager
    async def send(self, *, call: ForwardCall) -> AsyncIterator[ForwardAnswer]:
        """Send a request and yield its answer.

        Leaving the context before the end of the answer closes the connection, which
        shows the endpoint that the caller no longer waits.

        Raises:
            EndpointUnreachable: If the connect failed; nothing was sent.
            ConnectionLimitReached: If all connections are in use; nothing was sent.
            EndpointRefused: If the endpoint stated that it did not run the request.
            EndpointReplaced: If another endpoint has the address.
            EndpointSilent: If no answer started until the request's deadline.
            AnswerBroken: If the connection broke.
            ForeignAnswer: If the answer belongs to another request.
        """
        tunnelled = self._needs_tunnel(entry=call.entry)
        pool = self._pool(entry=call.entry, tunnelled=tunnelled)
        connection = await pool.acquire(
            fresh=call.new_connection, timeout=call.timeouts.connect
        )
        call.observe(Evidence.CONNECTED)
        if not connection.reused and not tunnelled:
            self._reachability.record_connected()
        response: httpcore.Response | None = None
        try:
            sent_at = self._clock()
            connection.stream.read_timeout = call.timeouts.first_byte
            connection.stream.read_extension = partial(self._extra_wait, call, sent_at)
            response = await self._send_request(call=call, connection=connection)
            call.attempt.report_data()
            connection.stream.read_extension = partial(
                _wait_in_silence, call, self._clock
            )
            self._liveness.record_answer_start(
                endpoint=call.entry.endpoint, sent_at=sent_at
            )
            head = self._codec.decode_answer(
                status=response.status, headers=response.headers
            )
            _check_answers(head=head, call=call, reused=connection.reused)
            self._notices.process(
                entry=call.entry,
                head=head,
                request_id=call.request.request_id,
            )
            _check_executed(head=head, call=call)
            yield ForwardAnswer(
                head=head,
                response=response,
                connection=connection,
                call=call,
                liveness=self._liveness,
            )
        finally:
            connection.stream.read_extension = None
            with anyio.CancelScope(shield=True):
                if response is not None:
                    await response.aclose()
                await _release(pool=pool, connection=connection)

    def _extra_wait(self, call: ForwardCall, sent_at: float) -> float:
        """Return the seconds to extend a timed-out wait for the start of an answer."""
        # The answer is awaited once the request has been written.
        call.observe(Evidence.SENT)
        if self._liveness.is_slow(endpoint=call.entry.endpoint, sent_at=sent_at):
            seconds_left = call.timeouts.slow_first_byte - (self._clock() - sent_at)
            if seconds_left > 0.0:
                return min(seconds_left, SLOW_RECHECK_SECONDS)
        return _wait_in_silence(call, self._clock)

    def has_idle(self, *, entry: EndpointEntry) -> bool:
        """Return whether an idle connection to an endpoint is open."""
        pool = self._pools.get((entry.endpoint, entry.address, False))
        return pool is not None and pool.idle > 0

    async def discard_expired(self) -> None:
        """Close idle connections beyond their maximum age, in all pools."""
        for key, pool in tuple(self._pools.items()):
            await pool.discard_expired()
            if not pool.idle and not pool.busy:
                del self._pools[key]

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in tuple(self._pools.values()):
            await pool.aclose()
        self._pools.clear()

    def _pool(self, *, entry: EndpointEntry, tunnelled: bool) -> ConnectionPool:
        # Connections to an earlier incarnation, or to another endpoint that had the
        # address, can't be used for this one and don't count against its limit.
        key = entry.endpoint, entry.address, tunnelled
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = self._new_pool(entry=entry, tunnelled=tunnelled)
        return pool

    def _new_pool(self, *, entry: EndpointEntry, tunnelled: bool) -> ConnectionPool:
        backend = self._tunnels if tunnelled else self._backend
        if self._connection_limits is None:
            return ConnectionPool(
                address=entry.address,
                backend=backend,
                limits=self._limits,
                clock=self._clock,
            )
        return BoundedPool(
            address=entry.address,
            backend=backend,
            limits=self._limits,
            bounds=partial(self._connection_limits.bounds, entry=entry),
            clock=self._clock,
        )

    def _needs_tunnel(self, *, entry: EndpointEntry) -> bool:
        """Return whether only other routers can connect to an endpoint."""
        suspect = self._reachability.is_suspect(endpoint=entry.endpoint)
        return suspect and bool(self._tunnels.reachable(entries=(entry,)))

    async def _send_request(
        self, *, call: ForwardCall, connection: Connection
    ) -> httpcore.Response:
        endpoint = call.entry.endpoint
        bytes_written, bytes_received = (
            connection.stream.bytes_written,
            connection.stream.bytes_received,
        )
        try:
            return await connection.http.handle_async_request(self._request(call=call))
        except httpcore.LocalProtocolError as error:
            # httpcore sent nothing: the request itself violates the protocol.
            raise MalformedRequest(
                f"the request can't be forwarded: {error}"
            ) from error
        except httpcore.ReadTimeout as error:
            raise EndpointSilent("no answer started in time", peer=endpoint) from error
        except httpcore.TimeoutException as error:
            raise EndpointSilent(
                "the request could not be sent in time", step=Step.SEND, peer=endpoint
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            idle_connection_lost = (
                connection.reused and connection.stream.bytes_received == bytes_received
            )
            error_class = IdleConnectionLost if idle_connection_lost else AnswerBroken
            raise error_class(
                f"the connection broke before an answer: {error}", peer=endpoint
            ) from error
        finally:
            if connection.stream.bytes_written > bytes_written:
                call.observe(Evidence.SENT)

    def _request(self, *, call: ForwardCall) -> httpcore.Request:
        # To connect takes time, in which the deadline comes nearer.
        headers = self._codec.encode_headers(
            request=call.request,
            metadata=call.metadata,
            time_left=max(0.0, call.deadline - self._clock()),
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


def _wait_in_silence(call: ForwardCall, clock: Clock) -> float:
    """Report a silent endpoint; return the seconds to wait on, 0 at the deadline."""
    seconds_left = call.deadline - clock()
    if seconds_left <= 0.0:
        return 0.0
    call.attempt.report_silence()
    return min(seconds_left, SILENCE_RECHECK_SECONDS)


def _check_answers(*, head: AnswerHead, call: ForwardCall, reused: bool) -> None:
    """Check that the answer is the intended endpoint's, to this request.

    Raises:
        IdleConnectionLost: If it is a late answer on a reused connection.
        ForeignAnswer: If it answers another request, on a new connection.
        EndpointReplaced: If another endpoint has the address.
    """
    endpoint = call.entry.endpoint
    refused = head.not_executed or head.wrong_endpoint
    if head.request_id != call.request.request_id and (head.request_id or not refused):
        # On a reused connection, this is a late answer to an earlier request.
        raise (IdleConnectionLost if reused else ForeignAnswer)(
            f"sent request '{call.request.request_id}', "
            f"received an answer to '{head.request_id}'",
            peer=endpoint,
        )
    if head.wrong_endpoint:
        call.observe(Evidence.REFUSED)
        raise EndpointReplaced("another endpoint has the address", peer=endpoint)


def _check_executed(*, head: AnswerHead, call: ForwardCall) -> None:
    """Record that the answer has started, unless the endpoint refused the request.

    Raises:
        EndpointRefused: If the endpoint stated that it did not run the request.
    """
    if head.not_executed:
        call.observe(Evidence.REFUSED)
        raise EndpointRefused(
            f"the endpoint refused the request with status {head.status}",
            peer=call.entry.endpoint,
        )
    call.observe(Evidence.ANSWER_BEGUN)


async def _release(*, pool: ConnectionPool, connection: Connection) -> None:
    """Return a connection to the pool; close it if either side has bytes left.

    Bytes to read after a complete answer belong to no request. Bytes to write are the
    rest of a request body whose answer arrived early.
    """
    if (
        connection.stream.get_extra_info("is_readable")
        or connection.stream.has_unsent_bytes
    ):
        await connection.aclose()
    await pool.release(connection=connection)
