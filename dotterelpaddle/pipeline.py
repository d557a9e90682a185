"""The pipeline of filters that a caller's request passes.

A filter is an async callable that gets the exchange and the rest of the
pipeline. It may act before, after or instead of the rest.
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
    """How a request ended, as told to its caller."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """A request as it arrived.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Headers with lower-case names.
        body: Whole body.
    """

    method: str
    path: str
    query: str = ""
    headers: Mapping[str, str]
    body: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatWork:
    """A chat request for a model engine.

    Attributes:
        service: The model name that the caller uses.
        content: The caller's body.
        stream: Whether the caller wants a stream of events.
        chat_id: The caller's name of the chat, empty for none.
    """

    service: ServiceName
    content: Mapping[str, Any]
    stream: bool
    chat_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceWork:
    """A request for a plain service.

    Attributes:
        service: The service's name.
        path: Path at the service, with query.
    """

    service: ServiceName
    path: str


Work = ChatWork | ServiceWork
"""What a caller wants to have done."""


class CallerReply(Protocol):
    """The way back to the caller.

    Either `whole` is called once, or `start` once, then `write` any number of
    times, then `finish`. Each waits while the caller is slow, so memory stays
    bounded.
    """

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""

    async def send_buffered(
        self, *, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a whole answer at once."""

    async def start(self, *, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers."""

    async def write(self, *, chunk: bytes) -> None:
        """Send part of the body."""

    async def finish(self) -> None:
        """End the body in the regular way."""


@dataclass(kw_only=True)
class Exchange:
    """One caller's request on its way through the pipeline.

    Attributes:
        request_id: Name of the request.
        request: The request as it arrived.
        reply: The way back to the caller.
        received_at: When it arrived, seconds on the monotonic clock.
        deadline: When the caller stops waiting, seconds on the monotonic clock.
        attempts: Evidence of the attempts to serve it.
        work: What the caller wants, once read.
        account: Its client account, once authenticated.
        route: Its route, once found.
        pool: Its pool, once found.
        affinity: Digest of the chat's context, None where nothing is cached.
        prompt_tokens: Estimated length of the prompt.
        answer_tokens: Estimated or requested length of the answer.
        idempotency_key: Key of the caller for requests that run at most once.
        idempotent: Whether it may run more than once.
        outcome: How it ended, where that does not follow from the attempts.
        error: What the caller was told in place of an answer.
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
"""The exchange of a pipeline."""


def compose(
    *,
    filters: tuple[
        Callable[[ExchangeT, Callable[[ExchangeT], Awaitable[None]]], Awaitable[None]],
        ...,
    ],
) -> Callable[[ExchangeT], Awaitable[None]]:
    """Join filters into one callable; the last filter must not call the rest."""

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
