"""One request to an endpoint, and its answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.exceptions import AnswerBroken, EndpointSilent
from dotterelpaddle.forwarding.exceptions import UnreadAnswerBroken
from dotterelpaddle.transport import MAX_BUFFERED_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.endpoint.evidence import Observer
    from dotterelpaddle.endpoint.patience import Patience
    from dotterelpaddle.endpoint.pool import Connection
    from dotterelpaddle.forwarding.attempt_race import OpenAttempt
    from dotterelpaddle.forwarding.interface import (
        AnswerHead,
        ForwardRequest,
        RequestMetadata,
    )
    from dotterelpaddle.forwarding.liveness import EndpointLiveness
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.memory.holdings import Holding

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Limit on a buffered answer; the largest known ones take a few KB."""

MIN_UNREAD_SECONDS = 1.0
"""Seconds without a read after which an endpoint may have cut off its answer because
nobody read it; endpoints wait for some seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardCall:
    """A request to send to one endpoint.

    Attributes:
        entry: Registration of the endpoint.
        request: The caller's request.
        body: Its complete body.
        deadline: When the caller's request ends, seconds on the monotonic clock.
        metadata: Metadata that the router adds as headers.
        timeouts: Timeouts of each stage.
        new_connection: Whether to use a new connection only, on which no late answer
            to an earlier request can arrive.
        observe: Receives each observed stage of the request.
        attempt: Is told when the endpoint falls silent and when it sends something.
        holding: What is held in memory for the caller's request.
    """

    entry: EndpointEntry
    request: ForwardRequest
    body: bytes
    deadline: float
    metadata: RequestMetadata
    timeouts: Patience
    new_connection: bool
    observe: Observer
    attempt: OpenAttempt
    holding: Holding


class ForwardAnswer:
    """An answer whose head has arrived and whose body can be streamed.

    Args:
        head: Status and headers.
        response: The httpcore response.
        connection: Connection that carries the answer.
        call: The request that it answers.
        liveness: Records when bytes arrive.
    """

    def __init__(
        self,
        *,
        head: AnswerHead,
        response: httpcore.Response,
        connection: Connection,
        call: ForwardCall,
        liveness: EndpointLiveness,
    ) -> None:
        self._head = head
        self._response = response
        self._connection = connection
        self._gap_timeout = call.timeouts.gap
        self._endpoint = call.entry.endpoint
        self._attempt = call.attempt
        self._holding = call.holding
        self._has_body = call.request.method != "HEAD"
        self._liveness = liveness
        self._is_delayed = False

    @property
    def head(self) -> AnswerHead:
        """Status and headers."""
        return self._head

    @property
    def bytes_received(self) -> int:
        """Bytes that have come on the connection of the answer, in all its answers."""
        return self._connection.stream.bytes_received

    def note_delay(self) -> None:
        """Record that the router reads the answer more slowly than it comes."""
        self._is_delayed = True

    async def chunks(self) -> AsyncIterator[bytes]:
        """Stream the body.

        Raises:
            EndpointSilent: If no chunk arrived until the request's deadline.
            AnswerBroken: If the body ended early or the connection was reset.
            UnreadAnswerBroken: If the router had delayed the answer or, where memory is
                limited, paused reading at any point of it.
        """
        is_bounded, longest_pause = self._holding.is_bounded, 0.0
        try:
            async for chunk in self._response.aiter_stream():
                # The first chunk still had the longer timeout for the first byte.
                self._connection.stream.read_timeout = self._gap_timeout
                self._attempt.report_data()
                self._liveness.record_bytes(endpoint=self._endpoint)
                if not is_bounded:
                    yield chunk
                    continue
                paused_at = anyio.current_time()
                yield chunk
                longest_pause = max(longest_pause, anyio.current_time() - paused_at)
        except httpcore.ReadTimeout as error:
            raise EndpointSilent(
                "the endpoint sent no more of the answer in time", peer=self._endpoint
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            unread = self._is_delayed or longest_pause >= MIN_UNREAD_SECONDS
            raise (UnreadAnswerBroken if unread else AnswerBroken)(
                f"the connection broke during the answer: {error}", peer=self._endpoint
            ) from error

    async def read(self) -> bytes:
        """Read the complete body, once there is room for it in memory.

        Raises:
            EndpointSilent: If no chunk arrived until the request's deadline.
            AnswerBroken: If the body is incomplete or exceeds the limit.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            self._check_size(size=self._declared_size)
            with self._holding.answer() as part:
                await part.grow(size=self._declared_size, buffered=MAX_BUFFERED_BYTES)
                async for chunk in self.chunks():
                    size += len(chunk)
                    self._check_size(size=size)
                    chunks.append(chunk)
                    await part.grow(size=size, buffered=MAX_BUFFERED_BYTES)
                return b"".join(chunks)
        finally:
            self._holding.record_answer(size=size)

    def _check_size(self, *, size: int) -> None:
        """Check whether an answer may have a size.

        Raises:
            AnswerBroken: If it exceeds the limit.
        """
        if size > MAX_ANSWER_BYTES:
            raise AnswerBroken(
                f"the answer exceeds {MAX_ANSWER_BYTES} bytes", peer=self._endpoint
            )

    @property
    def _declared_size(self) -> int:
        """Size of the body by its header, 0 if it names none."""
        if self._has_body:
            for name, value in self._response.headers:
                if name.lower() == b"content-length" and value.isdigit():
                    return int(value)
        return 0
