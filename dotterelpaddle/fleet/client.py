"""A caller of the fleet that checks every answer it gets."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpcore
import orjson

from dotterelpaddle.fleet.answer_reader import read_body, read_events, read_head
from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.address import Address


OK = 200

MARGIN = 2.0
"""Seconds past its own timeout for which a caller still listens."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """One message of a conversation.

    Attributes:
        role: Who wrote it: "user" or "assistant".
        content: Its text.
    """

    role: str
    content: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatCall:
    """One turn of a chat.

    Attributes:
        token: Bearer token of the client account.
        service: Name of the route's service.
        chat: Name of the chat.
        messages: The conversation so far.
        max_tokens: Length of the answer.
        stream: Whether to ask for a stream of events.
        timeout: Seconds the caller waits.
    """

    token: str
    service: str
    chat: str
    messages: tuple[Message, ...]
    max_tokens: int = 16
    stream: bool = False
    timeout: float = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """One call of a plain service.

    Attributes:
        token: Bearer token of the client account.
        service: Name of the route's service.
        path: Path below the service.
        body: Content.
        idempotency_key: Names the call across repeats, empty for none.
        idempotent: Overrules the route's record, None leaves it.
        timeout: Seconds the caller waits.
    """

    token: str
    service: str
    path: str = "items"
    body: bytes = b"{}"
    idempotency_key: str = ""
    idempotent: bool | None = None
    timeout: float = 10.0


@dataclass(kw_only=True, slots=True)
class Answer:
    """What a caller got.

    Attributes:
        status: HTTP status, 0 if the connection broke first.
        outcome: What the caller was told, None if it was told nothing.
        request_id: Name of the request, as the router gave it.
        text: The answer's text or body.
        fingerprint: Model and version that answered, as the engine gave it.
        error: Type of the error that was told, empty for none.
        step: Step of the error.
        peer: Peer of the error.
        ended: Whether the answer ended in the regular way.
        offsets: Token offsets of a stream, in order of arrival.
        prompt_tokens: Length of the prompt, as the engine counted it.
        cached_tokens: Tokens of it that the engine found in its cache.
        first_token: Seconds to the first content.
        latency: Seconds to the end.
        retry_after: Seconds after which to try again, 0 if not told.
    """

    status: int = 0
    outcome: Outcome | None = None
    request_id: str = ""
    text: str = ""
    fingerprint: str = ""
    error: str = ""
    step: str = ""
    peer: str = ""
    ended: bool = False
    offsets: list[int] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_token: float = 0.0
    latency: float = 0.0
    retry_after: float = 0.0

    @property
    def completed(self) -> bool:
        """Whether the caller was told that the answer is whole."""
        return self.outcome is Outcome.COMPLETED and self.ended


class Client:
    """Sends calls to routers over pooled connections.

    Args:
        pool: Connections to the routers.
    """

    def __init__(self, *, pool: httpcore.AsyncConnectionPool) -> None:
        self._pool = pool

    async def chat(self, *, router: Address, call: ChatCall) -> Answer:
        """Send a turn of a chat and read its whole answer."""
        headers = _common_headers(token=call.token, timeout=call.timeout)
        headers |= {"Content-Type": "application/json", "X-Chat-Id": call.chat}
        return await self._send(
            url=f"http://{router}/v1/chat/completions",
            headers=headers,
            body=_chat_body(call=call),
            timeout=call.timeout,
            stream=call.stream,
        )

    async def service(self, *, router: Address, call: ServiceCall) -> Answer:
        """Call a plain service."""
        headers = _common_headers(token=call.token, timeout=call.timeout)
        headers |= {"Content-Type": "application/json"}
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        if call.idempotent is not None:
            headers["X-Idempotent"] = "true" if call.idempotent else "false"
        return await self._send(
            url=f"http://{router}/services/{call.service}/{call.path}",
            headers=headers,
            body=call.body,
            timeout=call.timeout,
            stream=False,
        )

    async def _send(
        self,
        *,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
        stream: bool,
    ) -> Answer:
        answer = Answer()
        started = time.monotonic()
        try:
            with anyio.fail_after(timeout + MARGIN):
                async with self._pool.stream(
                    "POST", url, headers=list(headers.items()), content=body
                ) as response:
                    read_head(answer=answer, response=response)
                    if stream and answer.status == OK:
                        await read_events(
                            answer=answer, response=response, started=started
                        )
                    else:
                        content = await response.aread()
                        answer.first_token = time.monotonic() - started
                        read_body(answer=answer, content=content)
        except (
            httpcore.NetworkError,
            httpcore.RemoteProtocolError,
            TimeoutError,
        ) as error:
            answer.error = answer.error or type(error).__name__
            answer.ended = False
        answer.latency = time.monotonic() - started
        return answer


@asynccontextmanager
async def open_client(*, connections: int = 512) -> AsyncIterator[Client]:
    """Open a client with a bounded number of connections."""
    pool = httpcore.AsyncConnectionPool(
        max_connections=connections,
        max_keepalive_connections=connections,
        keepalive_expiry=5.0,
    )
    async with pool:
        yield Client(pool=pool)


def _common_headers(*, token: str, timeout: float) -> dict[str, str]:
    headers = {"X-Timeout-Ms": str(round(timeout * 1000))}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    return headers


def _chat_body(*, call: ChatCall) -> bytes:
    return orjson.dumps(
        {
            "model": call.service,
            "messages": [
                {"role": each.role, "content": each.content} for each in call.messages
            ],
            "max_tokens": call.max_tokens,
            "stream": call.stream,
        }
    )
