"""Relays send one attempt to an endpoint and return or stream its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import anyio

from dotterelpaddle.endpoint.evidence import Evidence
from dotterelpaddle.endpoint.sse import EventBuffer, last_event_id
from dotterelpaddle.exceptions import AnswerBroken
from dotterelpaddle.forwarding.exceptions import FailedAnswer
from dotterelpaddle.forwarding.exchange import (
    AttemptResult,
    BufferedAnswer,
    StreamedAnswer,
)
from dotterelpaddle.streams.origins import (
    MAX_STREAM_SECONDS,
    StreamOrigin,
    StreamRecord,
)
from dotterelpaddle.transport import MAX_BUFFERED_BYTES

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.call import ForwardAnswer, ForwardCall
    from dotterelpaddle.forwarding.client import ForwardClient
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.stream_pace import StreamPacer
    from dotterelpaddle.memory.holdings import AnswerHolding
    from dotterelpaddle.streams.origins import StreamOrigins

SUCCESS_STATUSES = range(200, 300)
MIN_SERVER_ERROR_STATUS = 500

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell callers that a request has not run.

From an endpoint, such a status proves this only together with a header. The client
raises EndpointRefused for those answers, so none of them reaches this module.
"""


class Relay(Protocol):
    """Sends the attempts of one request."""

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller has, empty for none."""

    async def send(self, *, call: ForwardCall) -> AttemptResult:
        """Send one attempt.

        Raises:
            EndpointError: If the endpoint returned no complete answer.
        """


class BufferingRelay:
    """Buffers an answer until it is complete, so that a retry can replace it.

    Args:
        exchange: The request.
        client: Sends requests to endpoints.
    """

    def __init__(self, *, exchange: ForwardExchange, client: ForwardClient) -> None:
        self._exchange = exchange
        self._client = client

    @property
    def last_event_id(self) -> str:
        """The id that the caller sent, which the router forwards unchanged."""
        return self._exchange.request.last_event_id

    async def send(self, *, call: ForwardCall) -> AttemptResult:
        """Send one attempt."""
        async with self._client.send(call=call) as answer:
            return await read_buffered_answer(answer=answer, call=call)


class EventRelay:
    """Streams events to the caller and can resume the stream at another endpoint.

    The caller's answer keeps the head of the first endpoint that sent an event. The
    relay forwards only complete events: an endpoint may fail in the middle of an
    event, and the next endpoint starts after the last complete one. Events of two
    software versions don't fit together, so the next endpoint has the same one.

    Args:
        exchange: The request.
        client: Sends requests to endpoints.
        origins: Records where streams began, for callers that resume them.
        pacer: Bounds what the process reads of streams.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        exchange: ForwardExchange,
        client: ForwardClient,
        origins: StreamOrigins,
        pacer: StreamPacer,
        clock: Clock,
    ) -> None:
        self._exchange = exchange
        self._client = client
        self._origins = origins
        self._pacer = pacer
        self._clock = clock
        self._last_event_id = exchange.request.last_event_id

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller has, empty for none."""
        return self._last_event_id

    async def send(self, *, call: ForwardCall) -> AttemptResult:
        """Send one attempt."""
        async with self._client.send(call=call) as answer:
            if answer.head.status not in SUCCESS_STATUSES:
                return self._unless_started(
                    answer=await read_buffered_answer(answer=answer, call=call),
                    call=call,
                )
            check_origin(answer=answer, call=call)
            with call.holding.answer() as part:
                await self._stream(answer=answer, call=call, part=part)
        call.observe(Evidence.ANSWER_COMPLETE)
        return StreamedAnswer()

    def _unless_started(
        self, *, answer: BufferedAnswer, call: ForwardCall
    ) -> BufferedAnswer:
        """Return an answer that is no stream, if the caller has no events yet.

        Raises:
            FailedAnswer: If the caller has some, so that only a stream can follow.
        """
        if self._exchange.reply.started:
            raise FailedAnswer(
                f"the endpoint did not go on with the stream: {answer.head.status}",
                answer=answer,
                peer=call.entry.endpoint,
            )
        return answer

    async def _stream(
        self, *, answer: ForwardAnswer, call: ForwardCall, part: AnswerHolding
    ) -> None:
        buffer = EventBuffer(peer=call.entry.endpoint)
        pace = self._pacer.pace(endpoint=call.entry.endpoint)
        reply = self._exchange.reply
        counted = answer.bytes_received
        async for chunk in answer.chunks():
            events = buffer.feed(chunk=chunk)
            await part.grow(size=buffer.size, buffered=MAX_BUFFERED_BYTES)
            if not events:
                continue
            await call.attempt.take_lead()
            call.observe(Evidence.OUTPUT)
            if not reply.started:
                self._record_origin(entry=call.entry)
                await reply.start(
                    status=answer.head.status, headers=answer.head.headers
                )
            await reply.write(chunk=events)
            self._last_event_id = last_event_id(events=events) or self._last_event_id
            received = answer.bytes_received
            seconds = pace.delay(size=received - counted)
            counted = received
            if seconds:
                answer.note_delay()
                with call.holding.buffered(size=MAX_BUFFERED_BYTES):
                    await anyio.sleep(seconds)
        if buffer.in_event:
            raise AnswerBroken(
                "the stream ended in the middle of an event", peer=call.entry.endpoint
            )
        if not reply.started:
            raise AnswerBroken(
                "the stream ended without an event", peer=call.entry.endpoint
            )
        if buffer.size:
            await reply.write(chunk=buffer.rest)

    def _record_origin(self, *, entry: EndpointEntry) -> None:
        """Record where the first event comes from, before the caller gets it."""
        exchange = self._exchange
        exchange.stream_version = entry.software_version
        request, route = exchange.request, exchange.route
        if route is None or not route.resumable:
            return
        stream = request.resumes if request.last_event_id else request.request_id
        if stream is None:
            return
        seconds = MAX_STREAM_SECONDS
        if request.time_left is not None:
            elapsed = self._clock() - exchange.received_at
            seconds = request.time_left - elapsed
        origin = StreamOrigin(service=entry.service, version=entry.software_version)
        self._origins.begin(
            record=StreamRecord(stream=stream, origin=origin, seconds=seconds)
        )


async def read_buffered_answer(
    *, answer: ForwardAnswer, call: ForwardCall
) -> BufferedAnswer:
    """Read a complete answer.

    Raises:
        FailedAnswer: If its status reports a failure of the endpoint.
        AnswerBroken: If it is incomplete, or a success without proof of origin.
    """
    head = answer.head
    if head.status in SUCCESS_STATUSES and call.request.prompt:
        # Two engines at work on one prompt would read and write all of it twice.
        check_origin(answer=answer, call=call)
        await call.attempt.take_lead()
    buffered = BufferedAnswer(head=head, body=await answer.read())
    call.observe(Evidence.ANSWER_COMPLETE)
    if head.status >= MIN_SERVER_ERROR_STATUS or head.status in NOT_EXECUTED_STATUSES:
        raise FailedAnswer(
            f"the endpoint answered with status {head.status}",
            answer=buffered,
            peer=call.entry.endpoint,
        )
    check_origin(answer=answer, call=call)
    return buffered


def check_origin(*, answer: ForwardAnswer, call: ForwardCall) -> None:
    """Check that a successful answer comes from an endpoint, unmodified.

    Raises:
        AnswerBroken: If it has no proof of origin, or an encoding that the caller
            did not request, which shows that the body is not the endpoint's.
    """
    head = answer.head
    if head.status in SUCCESS_STATUSES and (
        not head.has_origin_proof or head.has_unexpected_encoding
    ):
        raise AnswerBroken(
            "the answer has no proof of its origin", peer=call.entry.endpoint
        )
