"""HTTP exchanges with the platform, and what a failed one may have done."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.send_progress import SendProgress

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.links import Links

MAX_CONNECTIONS = 16
"""Connections to the platform at a time."""

KEEPALIVE = 15.0
"""Seconds after which an idle connection is closed."""

HEDGE_SHARE = 0.3
"""Share of the timeout after which a read tries a new connection as well."""

HTTP_SERVICE_UNAVAILABLE = 503
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500

CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
"""What a request over a failing connection may raise."""


class Effect(Enum):
    """What a request does, which decides what a lost answer means."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformRequest:
    """One request to the platform.

    Attributes:
        method: HTTP method.
        path: Path with query.
        body: Whole body.
        effect: Whether it changes anything.
    """

    method: str
    path: str
    body: bytes = b""
    effect: Effect = Effect.READ


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformResponse:
    """The platform's answer.

    Attributes:
        status: HTTP status.
        body: Whole body.
    """

    status: int
    body: bytes


class _Race:
    """Attempts at one read, of which the first answer counts.

    Attributes:
        scope: Cancelled once there is an answer or no attempt is left.
        answer: The first answer.
        failure: The last failure.
    """

    def __init__(self) -> None:
        self.scope: anyio.CancelScope | None = None
        self.answer: PlatformResponse | None = None
        self.failure: PlatformError | None = None
        self._running = 0

    @contextmanager
    def entered(self) -> Iterator[None]:
        """Count an attempt while it runs and keep its failure."""
        self._running += 1
        try:
            yield
        except (PlatformUnavailable, PlatformAnswerLost) as error:
            self.failure = error
        finally:
            self._running -= 1
        if self.scope is not None and (self.answer or not self._running):
            self.scope.cancel()


class PlatformConnection:
    """Sends requests to the platform and keeps connections for the next ones.

    A connection can go silent for good while new ones work. So a read that
    takes long is sent again over a new connection, and after a timeout no
    connection opened before is used again.

    Args:
        url: Address of the platform, ``http://HOST:PORT``.
        token: Bearer token that it asks for, empty for none.
        timeout: Seconds after which a request counts as failed.
        links: The process's links.
    """

    def __init__(self, *, url: str, token: str, timeout: float, links: Links) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._backend = LinkedBackend(links=links)
        self._pool = self._new_pool()
        self._retired: list[httpcore.AsyncConnectionPool] = []
        self._headers = [(b"content-type", b"application/json")]
        if token:
            self._headers.append((b"authorization", f"Bearer {token}".encode()))

    @property
    def peer(self) -> str:
        """Address of the platform, for errors."""
        return self._url

    async def send(self, *, request: PlatformRequest) -> PlatformResponse:
        """Send a request and read its whole answer.

        Raises:
            PlatformUnavailable: If it certainly had no effect.
            PlatformAnswerLost: If it may have had one.
        """
        match request.effect:
            case Effect.READ:
                response = await self._send_hedged(request=request)
            case Effect.WRITE:
                response = await self._send_once(request=request)
        if response.status == HTTP_SERVICE_UNAVAILABLE:
            raise PlatformUnavailable("the platform refused", peer=self.peer)
        if response.status >= HTTP_SERVER_ERROR:
            raise self._failure(
                request=request, sent=True, cause=f"status {response.status}"
            )
        return response

    async def aclose(self) -> None:
        """Close all connections."""
        with anyio.CancelScope(shield=True):
            for pool in (*self._retired, self._pool):
                await pool.aclose()

    async def _send_hedged(self, *, request: PlatformRequest) -> PlatformResponse:
        """Send a read, and again over a new connection if it takes long."""
        race = _Race()

        async def _attempt() -> None:
            with race.entered():
                race.answer = await self._send_once(request=request)

        with anyio.move_on_after(self._timeout):
            async with anyio.create_task_group() as tasks:
                race.scope = tasks.cancel_scope
                tasks.start_soon(_attempt)
                await anyio.sleep(self._timeout * HEDGE_SHARE)
                await self._retire_pool()
                tasks.start_soon(_attempt)
        if race.answer is not None:
            return race.answer
        raise race.failure or self._failure(
            request=request, sent=True, cause="no answer in time"
        )

    async def _send_once(self, *, request: PlatformRequest) -> PlatformResponse:
        progress = SendProgress()
        try:
            with anyio.fail_after(self._timeout):
                response = await self._pool.request(
                    request.method,
                    self._url + request.path,
                    headers=self._headers,
                    content=request.body,
                    extensions={"trace": progress.trace},
                )
        except TimeoutError as error:
            await self._retire_pool()
            raise self._failure(
                request=request, sent=progress.may_have_sent, cause="no answer in time"
            ) from error
        except CONNECTION_ERRORS as error:
            cause = str(error) or type(error).__name__
            raise self._failure(
                request=request, sent=progress.may_have_sent, cause=cause
            ) from error
        if self._retired:
            await self._close_unused()
        return PlatformResponse(status=response.status, body=response.content)

    def _failure(
        self, *, request: PlatformRequest, sent: bool, cause: str
    ) -> PlatformUnavailable | PlatformAnswerLost:
        if sent and request.effect is Effect.WRITE:
            return PlatformAnswerLost(
                f"no answer to a write: {cause}; look its attempt up", peer=self.peer
            )
        return PlatformUnavailable(
            f"the platform gave no answer: {cause}", peer=self.peer
        )

    async def _retire_pool(self) -> None:
        """Use no open connection for new requests; those in use may finish."""
        self._retired.append(self._pool)
        self._pool = self._new_pool()
        await self._close_unused()

    async def _close_unused(self) -> None:
        unused = [pool for pool in self._retired if not _is_in_use(pool)]
        for pool in unused:
            self._retired.remove(pool)
            await pool.aclose()

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE,
            network_backend=self._backend,
        )


def _is_in_use(pool: httpcore.AsyncConnectionPool) -> bool:
    return any(not connection.is_idle() for connection in pool.connections)
