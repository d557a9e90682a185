"""Ways in which the engine stand-in answers, with and without faults."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import orjson
from starlette.responses import Response

from dotterelpaddle.standins.batching import RunState
from dotterelpaddle.standins.chat_wire import END_OF_STREAM, answer_content, event
from dotterelpaddle.standins.connections import drop_connection
from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.standins.web import (
    JSON_TYPE,
    REQUEST_ID_HEADER,
    cancelled_on_disconnect,
    failure,
    refusal,
    until_disconnect,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.types import Receive, Scope, Send

    from dotterelpaddle.standins.batching import Batch, Run
    from dotterelpaddle.standins.faults import Fault

FOREIGN_ID = "another-request"
"""Id of an answer that belongs to no request."""

STREAM_TYPE = "text/event-stream"


class ChatAnswer(Response):
    """Answers one request whose run has been queued.

    Args:
        run: The run.
        batch: The batch that it is in.
        stream: Whether to answer by events.
        fingerprint: Model and version that answer.
        fault: What goes wrong, None for nothing.
    """

    def __init__(
        self,
        *,
        run: Run,
        batch: Batch,
        stream: bool,
        fingerprint: str,
        fault: Fault | None,
    ) -> None:
        super().__init__()
        self._run = run
        self._batch = batch
        self._stream = stream
        self._fingerprint = fingerprint
        self._fault = fault

    @property
    def _kind(self) -> FaultKind | None:
        return self._fault.kind if self._fault else None

    @property
    def _answer_id(self) -> str:
        if self._kind is FaultKind.FOREIGN:
            return FOREIGN_ID
        return self._run.request_id

    @property
    def _middle(self) -> int:
        return (self._run.resume_offset + self._run.max_tokens) // 2

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer."""
        async with (
            self._cancelling_run(),
            cancelled_on_disconnect(receive=receive),
        ):
            await self._answer(scope, receive, send)

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        await self._until_started()
        if not self._run.ran:
            await self._refuse(scope, receive, send)
            return
        match self._kind:
            case FaultKind.DROP_WHILE:
                await self._until_generated(count=self._middle)
                if self._stream:
                    await self._send_events(send, until=self._middle)
                drop_connection(scope=scope)
            case FaultKind.DROP_AFTER:
                await self._run.until_ended()
                drop_connection(scope=scope)
            case FaultKind.SILENT_AFTER:
                await self._run.until_ended()
                await until_disconnect(receive=receive)
            case _ if self._stream:
                await self._answer_by_events(send)
            case _:
                await self._answer_whole(scope, receive, send)

    @asynccontextmanager
    async def _cancelling_run(self) -> AsyncIterator[None]:
        try:
            yield
        finally:
            self._batch.cancel(run=self._run)

    async def _until_started(self) -> None:
        while self._run.state is RunState.WAITING:
            await self._run.progress()

    async def _until_generated(self, *, count: int) -> None:
        while self._run.generated < count and not self._run.ended:
            await self._run.progress()

    async def _refuse(self, scope: Scope, receive: Receive, send: Send) -> None:
        kind = "expired" if self._run.state is RunState.EXPIRED else "cancelled"
        response = refusal(
            kind=kind, message="it never ran", request_id=self._run.request_id
        )
        await response(scope, receive, send)

    async def _answer_whole(self, scope: Scope, receive: Receive, send: Send) -> None:
        await self._run.until_ended()
        if self._run.state is RunState.CANCELLED:
            response = failure(kind="cancelled", message="cancelled", status=500)
            await response(scope, receive, send)
            return
        await self._delay()
        content = orjson.dumps(
            answer_content(
                run=self._run,
                answer_id=self._answer_id,
                fingerprint=self._fingerprint,
            )
        )
        if self._kind is FaultKind.TRUNCATED:
            content = content[: len(content) // 2]
        headers = {REQUEST_ID_HEADER: self._answer_id}
        response = Response(content, headers=headers, media_type=JSON_TYPE)
        await response(scope, receive, send)

    async def _answer_by_events(self, send: Send) -> None:
        await self._delay()
        cut = self._kind is FaultKind.TRUNCATED
        await self._send_events(send, until=self._middle if cut else None)
        whole = self._run.state is RunState.DONE and not cut
        await _send_chunk(send, END_OF_STREAM if whole else b"", more=False)

    async def _send_events(self, send: Send, *, until: int | None) -> None:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", STREAM_TYPE.encode()),
                    (REQUEST_ID_HEADER.lower().encode(), self._answer_id.encode()),
                ],
            }
        )
        end = self._run.max_tokens if until is None else until
        async for offset in self._disturbed(self._offsets(end=end)):
            content = event(
                run=self._run,
                answer_id=self._answer_id,
                fingerprint=self._fingerprint,
                offset=offset,
            )
            await _send_chunk(send, content, more=True)

    async def _offsets(self, *, end: int) -> AsyncIterator[int]:
        """Yield the offsets of tokens as they are generated."""
        offset = self._run.resume_offset
        while offset < end:
            if offset < self._run.generated:
                yield offset
                offset += 1
            elif self._run.ended:
                return
            else:
                await self._run.progress()

    async def _disturbed(self, offsets: AsyncIterator[int]) -> AsyncIterator[int]:
        """Repeat or swap events in the middle, if such a fault is on."""
        held: int | None = None
        async for offset in offsets:
            if offset == self._middle and self._kind is FaultKind.REORDERED:
                held = offset
                continue
            yield offset
            if offset == self._middle and self._kind is FaultKind.DUPLICATED:
                yield offset
            if held is not None:
                yield held
                held = None
        if held is not None:
            yield held

    async def _delay(self) -> None:
        if self._fault is not None and self._fault.kind is FaultKind.LATE:
            await anyio.sleep(self._fault.seconds)


async def _send_chunk(send: Send, content: bytes, *, more: bool) -> None:
    await send({"type": "http.response.body", "body": content, "more_body": more})
