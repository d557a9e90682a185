"""Send one attempt to an endpoint and bring its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from dotterelpaddle.endpoint.evidence import Evidence
from dotterelpaddle.endpoint.sse import END_OF_EVENT, EventBuffer
from dotterelpaddle.exceptions import AnswerBroken
from dotterelpaddle.forwarding.exceptions import FailedAnswer
from dotterelpaddle.forwarding.exchange import (
    AttemptResult,
    BufferedAnswer,
    StreamedAnswer,
)

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.client import (
        ForwardAnswer,
        ForwardCall,
        ForwardClient,
    )
    from dotterelpaddle.forwarding.exchange import ForwardExchange

SUCCESS_STATUSES = range(200, 300)
MIN_SERVER_ERROR_STATUS = 500

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that a request has not run.

An endpoint's answer with one of them keeps that promise only if it says so in a
header as well, by which it is told apart before it comes here.
"""

EVENT_ID_FIELD = b"id:"


class Relay(Protocol):
    """Sends attempts of one exchange."""

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller has, empty for none."""

    async def send(self, *, call: ForwardCall) -> AttemptResult:
        """Send one attempt.

        Raises:
            EndpointError: If it brought no whole answer.
        """


class BufferingRelay:
    """Holds an answer back until it is whole, so that another can replace it.

    Args:
        exchange: The exchange.
        client: Client of endpoints.
    """

    def __init__(self, *, exchange: ForwardExchange, client: ForwardClient) -> None:
        self._exchange = exchange
        self._client = client

    @property
    def last_event_id(self) -> str:
        """What the caller said, as it is not ours to change."""
        return self._exchange.request.last_event_id

    async def send(self, *, call: ForwardCall) -> AttemptResult:
        """Send one attempt."""
        async with self._client.send(call=call) as answer:
            return await read_buffered_answer(answer=answer, call=call)


class EventRelay:
    """Passes events on as they come, and goes on at another endpoint if need be.

    The caller's answer keeps the head of the first endpoint that brought an
    event. An event goes on only when it is whole: an endpoint may stop in the
    middle of one, and the next endpoint begins with the one after the last.

    Args:
        exchange: The exchange.
        client: Client of endpoints.
    """

    def __init__(self, *, exchange: ForwardExchange, client: ForwardClient) -> None:
        self._exchange = exchange
        self._client = client
        self._last_event_id = exchange.request.last_event_id

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller has, empty for none."""
        return self._last_event_id

    async def send(self, *, call: ForwardCall) -> AttemptResult:
        """Send one attempt."""
        async with self._client.send(call=call) as answer:
            if answer.head.status not in SUCCESS_STATUSES:
                return await read_buffered_answer(answer=answer, call=call)
            check_origin(answer=answer, call=call)
            await self._pass_on(answer=answer, call=call)
        call.observe(Evidence.ANSWER_COMPLETE)
        return StreamedAnswer()

    async def _pass_on(self, *, answer: ForwardAnswer, call: ForwardCall) -> None:
        buffer = EventBuffer()
        reply = self._exchange.reply
        async for chunk in answer.chunks():
            events = buffer.feed(chunk=chunk)
            if not events:
                continue
            if not reply.started:
                await reply.start(
                    status=answer.head.status, headers=answer.head.headers
                )
            await reply.write(chunk=END_OF_EVENT.join([*events, b""]))
            self._record_last_event_id(events=events)
        if buffer.rest:
            raise AnswerBroken(
                "the stream ended in the middle of an event", peer=call.entry.endpoint
            )
        if not reply.started:
            raise AnswerBroken(
                "the stream ended without an event", peer=call.entry.endpoint
            )

    def _record_last_event_id(self, *, events: list[bytes]) -> None:
        for event in reversed(events):
            event_id = parse_event_id(event=event)
            if event_id:
                self._last_event_id = event_id
                return


async def read_buffered_answer(
    *, answer: ForwardAnswer, call: ForwardCall
) -> BufferedAnswer:
    """Read an answer to its end.

    Raises:
        FailedAnswer: If it says that the endpoint failed on the request.
        AnswerBroken: If it is cut off, or a success without proof of origin.
    """
    head = answer.head
    whole = BufferedAnswer(head=head, body=await answer.read())
    call.observe(Evidence.ANSWER_COMPLETE)
    if head.status >= MIN_SERVER_ERROR_STATUS or head.status in NOT_EXECUTED_STATUSES:
        raise FailedAnswer(
            f"answered with status {head.status}",
            answer=whole,
            peer=call.entry.endpoint,
        )
    check_origin(answer=answer, call=call)
    return whole


def check_origin(*, answer: ForwardAnswer, call: ForwardCall) -> None:
    """Check that a success is an endpoint's own.

    Raises:
        AnswerBroken: If it bears no proof of origin, or is encoded as nobody
            asked for, so that its body is not the endpoint's.
    """
    head = answer.head
    if head.status in SUCCESS_STATUSES and (
        not head.has_origin_proof or head.has_unexpected_encoding
    ):
        raise AnswerBroken(
            "the answer bears no proof of its origin", peer=call.entry.endpoint
        )


def parse_event_id(*, event: bytes) -> str:
    """Return the id of an event, empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(EVENT_ID_FIELD):
            return line[len(EVENT_ID_FIELD) :].strip().decode("latin-1")
    return ""
