"""The filter pipeline that processes a caller's request.

A filter is an async callable that receives the exchange and the rest of the
pipeline. It can act before the rest, after it or in its place.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    from dotterelpaddle.dispatch.outcome import OutcomeLog
    from dotterelpaddle.exceptions import RequestError
    from dotterelpaddle.ids import AffinityKey, RequestId, ServiceName
    from dotterelpaddle.records.model import Account, Pool, Route


class Outcome(Enum):
    """How a request ended, as reported to its caller."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """A request as it arrived.

    Attributes:
        method: HTTP method.
        path: Path without the query string.
        query: Query string without the question mark.
        headers: Headers with lower-case names.
        body: Complete body.
    """

    method: str
    path: str
    query: str = ""
    headers: Mapping[str, str]
    body: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatWork:
    """A chat request to a model engine.

    Attributes:
        service: The model name in the request.
        content: The decoded body.
        stream: Whether the caller requests a stream of events.
        chat_id: The caller's identifier of the chat, empty for none.
    """

    service: ServiceName
    content: Mapping[str, Any]
    stream: bool
    chat_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceWork:
    """A request to a plain HTTP service.

    Attributes:
        service: Name of the service.
        path: Path at the service, with the query string.
    """

    service: ServiceName
    path: str


Work = ChatWork | ServiceWork
"""The kinds of requests that callers send."""


class CallerReply(Protocol):
    """Sends the response to the caller.

    The router calls either `send_buffered` once, or `start` once, then `write` any
    number of times, then `finish`. Each call waits while the caller reads slowly,
    which bounds memory.
    """

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""

    async def send_buffered(
        self, *, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a complete response."""

    async def start(self, *, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers."""

    async def write(self, *, chunk: bytes) -> None:
        """Send part of the body."""

    async def finish(self) -> None:
        """Complete the body."""


@dataclass(kw_only=True)
class Exchange:
    """One caller's request and its state in the pipeline.

    Attributes:
        request_id: Identifier of the request.
        request: The request as it arrived.
        reply: Sends the response to the caller.
        received_at: Time of arrival, seconds on the monotonic clock.
        deadline: When the caller stops waiting, seconds on the monotonic clock.
        attempts: Log of the attempts to serve it.
        work: The decoded request, None until a filter decodes it.
        account: Its client account, None until authentication.
        route: Its route, None until routing.
        pool: Its pool, None until routing.
        affinity: Digest of the chat's context, None if no endpoint caches it.
        prompt_tokens: Estimated length of the prompt.
        answer_tokens: Estimated or requested length of the answer.
        idempotency_key: The caller's key for a request that runs at most once.
        idempotent: Whether it may run more than once.
        outcome: How it ended, if that does not follow from the attempts.
        error: The error that the caller got in place of an answer.
    """

    request_id: RequestId
    request: CallerRequest
    reply: CallerReply
    received_at: float
    deadline: float
    attempts: OutcomeLog
    work: Work | None = None
    account: Account | None = None
    route: Route | None = None
    pool: Pool | None = None
    affinity: AffinityKey | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    idempotency_key: str = ""
    idempotent: bool = True
    outcome: Outcome | None = None
    error: RequestError | None = None


Next = Callable[[Exchange], Awaitable[None]]
"""The rest of a pipeline."""

Filter = Callable[[Exchange, Next], Awaitable[None]]
"""One step of a pipeline."""


ExchangeT = TypeVar("ExchangeT")
"""Type of the exchange that a pipeline processes."""


def compose(
    *,
    filters: tuple[
        Callable[[ExchangeT, Callable[[ExchangeT], Awaitable[None]]], Awaitable[None]],
        ...,
    ],
) -> Callable[[ExchangeT], Awaitable[None]]:
    """Compose filters into one callable; the last one must not call the rest."""

    async def _end(exchange: ExchangeT) -> None:
        raise AssertionError("the last filter of a pipeline called the rest")

    rest: Callable[[ExchangeT], Awaitable[None]] = _end
    for step in reversed(filters):
        rest = _bind(step=step, rest=rest)
    return rest


def _bind(
    *,
    step: Callable[
        [ExchangeT, Callable[[ExchangeT], Awaitable[None]]], Awaitable[None]
    ],
    rest: Callable[[ExchangeT], Awaitable[None]],
) -> Callable[[ExchangeT], Awaitable[None]]:
    async def _call(exchange: ExchangeT) -> None:
        await step(exchange, rest)

    return _call
