"""One HTTP exchange with an endpoint, with evidence of how far it came."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.endpoint.answer import LEAVING_REASONS, Answer
from dotterelpaddle.endpoint.evidence import Evidence, Observer, ignore
from dotterelpaddle.endpoint.patience import CONTROL_PATIENCE, KeepWaiting, Patience
from dotterelpaddle.endpoint.pool import Connection, ConnectionPool, PoolLimits
from dotterelpaddle.exceptions import (
    AnswerBroken,
    EndpointLeaving,
    EndpointRefused,
    EndpointSilent,
    EndpointUnreachable,
    ForeignAnswer,
    MalformedRequest,
    Step,
)
from dotterelpaddle.network import LinkedBackend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import RequestId
    from dotterelpaddle.links import Links
    from dotterelpaddle.records.model import Endpoint

REQUEST_ID_HEADER = "x-request-id"
NOT_RUN_HEADER = "x-not-run"


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """What to send to an endpoint.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: Headers with lower-case names.
        body: Whole body.
        request_id: Name that the answer must echo, None for control calls.
        patience: Deadlines on progress.
        fresh: Whether only a new connection may carry it.
        keep_waiting: Asked when a deadline on progress passes; without it, the
            call ends then.
    """

    method: str = "GET"
    path: str
    headers: Mapping[str, str] | None = None
    body: bytes = b""
    request_id: RequestId | None = None
    patience: Patience = CONTROL_PATIENCE
    fresh: bool = False
    keep_waiting: KeepWaiting | None = None


class EndpointCaller:
    """Sends calls to endpoints and keeps their connections.

    Args:
        links: The process's links.
        clock: Source of time.
        limits: Bounds of each endpoint's connections.
    """

    def __init__(
        self, *, links: Links, clock: Clock, limits: PoolLimits | None = None
    ) -> None:
        self._backend = LinkedBackend(links=links)
        self._clock = clock
        self._limits = limits or PoolLimits()
        self._pools: dict[Address, ConnectionPool] = {}

    @asynccontextmanager
    async def call(
        self, *, endpoint: Endpoint, call: Call, observe: Observer = ignore
    ) -> AsyncIterator[Answer]:
        """Send a call and yield its answer.

        Leaving the context before the answer's end closes the connection, by
        which engines notice that nobody waits any more.

        Raises:
            EndpointUnreachable: If no connection could be had; nothing was sent.
            EndpointRefused: If the endpoint refused before running anything.
            EndpointSilent: If no answer began within the patience, and it was not
                to be waited for any longer.
            AnswerBroken: If the connection broke.
            ForeignAnswer: If the answer belongs to another request.
        """
        pool = self._pool(address=endpoint.address)
        connection = await self._acquire(pool=pool, endpoint=endpoint, call=call)
        observe(Evidence.CONNECTED)
        response: httpcore.Response | None = None
        try:
            connection.stream.read_timeout = call.patience.first_byte
            connection.http.keep_waiting = call.keep_waiting
            response = await _exchange(
                endpoint=endpoint, connection=connection, call=call, observe=observe
            )
            connection.stream.read_timeout = call.patience.gap
            answer = Answer(
                response=response,
                connection=connection,
                peer=endpoint.name,
                observe=observe,
            )
            await _check(answer=answer, call=call, observe=observe)
            yield answer
        finally:
            connection.http.keep_waiting = None
            with anyio.CancelScope(shield=True):
                if response is not None:
                    await response.aclose()
                await pool.release(connection=connection)

    async def probe(self, *, endpoint: Endpoint, timeout: float) -> bool:
        """Tell whether a new connection to an endpoint can be had.

        Idle connections are closed if so: the caller suspects that one went
        silent, and those opened earlier may have gone the same way.

        Args:
            endpoint: The endpoint.
            timeout: Seconds in which the connection must stand.
        """
        pool = self._pool(address=endpoint.address)
        if not await pool.probe(timeout=timeout):
            return False
        await pool.discard_idle()
        return True

    async def discard_expired(self) -> None:
        """Close idle connections that are too old, everywhere."""
        for pool in tuple(self._pools.values()):
            await pool.discard_expired()

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in tuple(self._pools.values()):
            await pool.aclose()
        self._pools.clear()

    def _pool(self, *, address: Address) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                address=address,
                backend=self._backend,
                limits=self._limits,
                clock=self._clock,
            )
            self._pools[address] = pool
        return pool

    async def _acquire(
        self, *, pool: ConnectionPool, endpoint: Endpoint, call: Call
    ) -> Connection:
        try:
            return await pool.acquire(fresh=call.fresh, timeout=call.patience.connect)
        except EndpointUnreachable as error:
            raise EndpointUnreachable(error.message, peer=endpoint.name) from error


async def _exchange(
    *, endpoint: Endpoint, connection: Connection, call: Call, observe: Observer
) -> httpcore.Response:
    before = connection.stream.bytes_written
    try:
        return await connection.http.handle_async_request(
            _request(endpoint=endpoint, call=call)
        )
    except httpcore.LocalProtocolError as error:
        # Nothing of it was sent: the request itself breaks the protocol.
        raise MalformedRequest(f"the request can't be passed on: {error}") from error
    except httpcore.ReadTimeout as error:
        raise EndpointSilent("no answer began", peer=endpoint.name) from error
    except httpcore.TimeoutException as error:
        raise EndpointSilent(
            "the request could not be sent", step=Step.SEND, peer=endpoint.name
        ) from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise AnswerBroken(
            f"the connection broke before an answer: {error}", peer=endpoint.name
        ) from error
    finally:
        if connection.stream.bytes_written > before:
            observe(Evidence.SENT)


def _request(*, endpoint: Endpoint, call: Call) -> httpcore.Request:
    headers: list[tuple[bytes, bytes]] = [(b"host", str(endpoint.address).encode())]
    for name, value in (call.headers or {}).items():
        headers.append((name.encode("latin-1"), value.encode("latin-1")))
    if call.request_id is not None:
        headers.append((REQUEST_ID_HEADER.encode(), call.request_id.encode()))
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", str(len(call.body)).encode()))
    url = httpcore.URL(
        scheme=b"http",
        host=endpoint.address.host.encode(),
        port=endpoint.address.port,
        target=call.path.encode("latin-1"),
    )
    return httpcore.Request(
        method=call.method, url=url, headers=headers, content=call.body
    )


async def _check(*, answer: Answer, call: Call, observe: Observer) -> None:
    if call.request_id is None:
        return
    echoed = answer.headers.get(REQUEST_ID_HEADER, "")
    if echoed != call.request_id:
        raise ForeignAnswer(
            f"asked for request '{call.request_id}', got an answer to '{echoed}'",
            peer=answer.peer,
        )
    if answer.headers.get(NOT_RUN_HEADER, "") == "true":
        observe(Evidence.REFUSED)
        refusal = await answer.refusal()
        leaving = refusal.reason in LEAVING_REASONS
        error = EndpointLeaving if leaving else EndpointRefused
        raise error(
            refusal.message,
            peer=answer.peer,
            retry_after=_retry_after(answer=answer),
        )
    observe(Evidence.ANSWER_BEGUN)


def _retry_after(*, answer: Answer) -> float | None:
    try:
        return float(answer.headers["retry-after"])
    except (KeyError, ValueError):
        return None
