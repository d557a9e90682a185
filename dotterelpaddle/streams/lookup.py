"""Asks other routers for the origins of streams, and answers them.

In a mesh every router hears of all streams, with the next reports. In a larger fleet
the aggregators do, and the others ask those of their failure domain. An aggregator that
is asked before the record has reached it answers once more when it has.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.logs import get_logger
from dotterelpaddle.streams.messages import (
    StreamAnswer,
    StreamQuestion,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import RequestId, ServiceName, SoftwareVersion
    from dotterelpaddle.peers.datagrams import DatagramSocket
    from dotterelpaddle.peers.directory import PeerDirectory
    from dotterelpaddle.peers.plan import ReportPlan
    from dotterelpaddle.streams.origins import StreamOrigins
    from dotterelpaddle.streams.version_history import VersionHistory

log = get_logger(name=__name__)

REPEAT_SECONDS = 0.1
"""Seconds after which a question is repeated: datagrams get lost."""

WAITING_SECONDS = 0.6
"""Seconds for which a router remembers who asked for a stream that it does not know.
Records reach all aggregators within two rounds of reports."""


@dataclass(kw_only=True)
class OpenQuestion:
    """A question that this router has asked.

    Attributes:
        question: The question.
        unanswered: Routers that have not answered yet.
        settled: Set once the origin is known, or nobody is left to tell it.
        histories: Versions that routers with a complete history have seen.
    """

    question: StreamQuestion
    unanswered: set[Address]
    settled: anyio.Event = field(default_factory=anyio.Event)
    histories: list[frozenset[SoftwareVersion]] = field(default_factory=list)


class StreamLookup:
    """Exchanges questions and answers about streams with other routers.

    Args:
        origins: Known origins of streams.
        history: Versions that this router has seen.
        directory: The other routers.
        plan: Provides whether routers report to all others.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        origins: StreamOrigins,
        history: VersionHistory,
        directory: PeerDirectory,
        plan: ReportPlan,
        clock: Clock,
    ) -> None:
        self._origins = origins
        self._history = history
        self._directory = directory
        self._plan = plan
        self._clock = clock
        self._datagrams: DatagramSocket | None = None
        self._open: dict[RequestId, list[OpenQuestion]] = {}
        self._waiting: dict[RequestId, dict[Address, float]] = {}

    def connect(self, *, datagrams: DatagramSocket) -> None:
        """Set the socket that sends the messages."""
        self._datagrams = datagrams

    @contextmanager
    def open_question(
        self, *, stream: RequestId, service: ServiceName
    ) -> Iterator[OpenQuestion]:
        """Open a question, to be asked inside the context."""
        question = OpenQuestion(
            question=StreamQuestion(stream=stream, service=service),
            unanswered=self._recipients(),
        )
        questions = self._open.setdefault(stream, [])
        questions.append(question)
        try:
            with self._origins.watch(stream=stream, event=question.settled):
                yield question
        finally:
            questions.remove(question)
            if not questions:
                del self._open[stream]

    async def ask(self, *, question: OpenQuestion) -> None:
        """Ask the other routers until the question is settled."""
        message = encode_message(message=question.question)
        while not question.settled.is_set():
            for address in tuple(question.unanswered):
                await self._send(message, address)
            self._settle_if_answered(question)
            with anyio.move_on_after(REPEAT_SECONDS):
                await question.settled.wait()

    async def receive(self, *, datagram: bytes, address: Address) -> None:
        """Handle a message of another router."""
        try:
            message = decode_message(datagram=datagram)
        except ControlError as error:
            log.warning("message_dropped", peer=str(address), cause=error.message)
            return
        match message:
            case StreamQuestion():
                await self._answer(message, address)
            case StreamAnswer():
                self._record_answer(message, address)

    async def answer_waiting(self) -> None:
        """Answer the routers that asked for streams which have become known."""
        now = self._clock()
        for stream in tuple(self._waiting):
            record = self._origins.find_record(stream=stream)
            if record is not None:
                message = encode_message(
                    message=StreamAnswer(stream=stream, record=record)
                )
                for address in self._waiting.pop(stream):
                    await self._send(message, address)
            elif max(self._waiting[stream].values()) <= now:
                del self._waiting[stream]

    def _recipients(self) -> set[Address]:
        """Routers that may know the origins of streams."""
        directory = self._directory
        if self._plan.is_mesh:
            return {
                peer.address for peer in directory.alive if peer.report.tells_streams
            }
        own = directory.own
        aggregators = directory.aggregators(failure_domain=own.failure_domain)
        return {info.address for info in aggregators if info != own}

    async def _answer(self, question: StreamQuestion, address: Address) -> None:
        record = self._origins.find_record(stream=question.stream)
        if record is None:
            waiting = self._waiting.setdefault(question.stream, {})
            waiting[address] = self._clock() + WAITING_SECONDS
        history = self._history
        answer = StreamAnswer(
            stream=question.stream,
            record=record,
            versions=history.recent(service=question.service)
            if history.covers(service=question.service)
            else None,
        )
        await self._send(encode_message(message=answer), address)

    def _record_answer(self, answer: StreamAnswer, address: Address) -> None:
        if answer.record is not None:
            self._origins.receive(records=(answer.record,), forward=False)
        for question in self._open.get(answer.stream, ()):
            question.unanswered.discard(address)
            if answer.versions:
                question.histories.append(answer.versions)
            self._settle_if_answered(question)

    def _settle_if_answered(self, question: OpenQuestion) -> None:
        """Settle a question that nobody is left to answer.

        The record may still be on its way to an aggregator that has answered.
        """
        if not question.unanswered and self._plan.is_mesh:
            question.settled.set()

    async def _send(self, message: bytes, target: Address) -> None:
        if self._datagrams is not None:
            await self._datagrams.send(message, target)
