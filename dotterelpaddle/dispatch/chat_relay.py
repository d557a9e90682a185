"""Sends chat requests to engines and takes their answers to callers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.dispatch.relay import (
    OUTCOME_HEADER,
    OUTCOME_PENDING,
    SERVER_ERROR,
    failed,
    whole,
)
from dotterelpaddle.dispatch.target import Relayed, Result, Target, WholeAnswer
from dotterelpaddle.endpoint.engine import ChatCall
from dotterelpaddle.endpoint.evidence import Evidence
from dotterelpaddle.endpoint.tokens import TokenChecker, TokenReader, cached_tokens
from dotterelpaddle.exceptions import AnswerBroken, EndpointSilent, ForeignAnswer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.dispatch.target import Progress
    from dotterelpaddle.endpoint.answer import Answer
    from dotterelpaddle.endpoint.engine import EngineClient
    from dotterelpaddle.endpoint.patience import KeepWaiting
    from dotterelpaddle.pipeline import ChatWork, Exchange

STREAM_HEADERS = {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    OUTCOME_HEADER: OUTCOME_PENDING,
}
STREAM_END = b": outcome=completed\n\ndata: [DONE]\n\n"


class ChatRelay:
    """Relays a plain chat answer once it is whole.

    Args:
        exchange: The exchange.
        content: Body for the engine.
        engines: Client of engines.
    """

    def __init__(
        self, *, exchange: Exchange, content: Mapping[str, Any], engines: EngineClient
    ) -> None:
        self._exchange = exchange
        self._content = content
        self._engines = engines

    async def send(self, *, target: Target) -> Result:
        """Send one attempt."""
        chat = _chat_call(
            exchange=self._exchange,
            content=self._content,
            target=target,
            resume_at=0,
            keep_waiting=target.keep_waiting,
        )
        async with self._engines.chat(
            endpoint=target.endpoint, chat=chat, observe=target.progress.observe
        ) as answer:
            if answer.status >= SERVER_ERROR:
                raise failed(answer=answer)
            body = await answer.read()
            if answer.status != 200:
                return whole(answer=answer, body=body)
            content = self._check(body=body, peer=answer.peer)
            return WholeAnswer(
                status=answer.status,
                headers={"content-type": "application/json"},
                body=body,
                cached_tokens=cached_tokens(content=content),
            )

    def _check(self, *, body: bytes, peer: str) -> dict[str, Any]:
        try:
            content = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise AnswerBroken(f"the answer is no JSON: {error}", peer=peer) from error
        if not isinstance(content, dict):
            raise AnswerBroken("the answer is no JSON object", peer=peer)
        if content.get("id") != self._exchange.request_id:
            raise ForeignAnswer(
                f"the answer's body is of request '{content.get('id')}'", peer=peer
            )
        choices = content.get("choices") or [{}]
        if choices[0].get("finish_reason") is None:
            raise AnswerBroken("the answer has no finish reason", peer=peer)
        return content


class StreamRelay:
    """Relays a stream of token events as they come, over several attempts.

    Args:
        exchange: The exchange.
        content: Body for the engine.
        engines: Client of engines.
    """

    def __init__(
        self, *, exchange: Exchange, content: Mapping[str, Any], engines: EngineClient
    ) -> None:
        self._exchange = exchange
        self._content = content
        self._engines = engines
        self._checker = TokenChecker(request_id=exchange.request_id)

    @property
    def checker(self) -> TokenChecker:
        """Knows which tokens the caller has."""
        return self._checker

    async def send(self, *, target: Target) -> Result:
        """Send one attempt that goes on where the last one stopped."""
        chat = _chat_call(
            exchange=self._exchange,
            content=self._content,
            target=target,
            resume_at=self._checker.next_offset,
            keep_waiting=partial(self._keep_waiting, target=target),
        )
        async with self._engines.chat(
            endpoint=target.endpoint, chat=chat, observe=target.progress.observe
        ) as answer:
            if answer.status >= SERVER_ERROR:
                raise failed(answer=answer)
            if answer.status != 200:
                return await self._rejected(answer=answer)
            await self._pass_on(answer=answer, progress=target.progress)
        target.progress.observe(Evidence.ANSWER_COMPLETE)
        return Relayed(tail=STREAM_END, cached_tokens=self._checker.cached_tokens)

    async def _pass_on(self, *, answer: Answer, progress: Progress) -> None:
        """Pass checked events on; nothing is read while the caller is slow."""
        reader = TokenReader(checker=self._checker, peer=answer.peer)
        reply = self._exchange.reply
        clock = progress.clock
        longest = 0.0
        waiting_since = clock()
        try:
            async for chunk in answer.chunks():
                longest = max(longest, clock() - waiting_since)
                batch = reader.feed(chunk=chunk)
                if batch.raw:
                    if not reply.started:
                        await reply.start(status=200, headers=STREAM_HEADERS)
                    await reply.write(chunk=batch.raw)
                waiting_since = clock()
        except (EndpointSilent, AnswerBroken):
            if not self._checker.finished:
                raise
        if not self._checker.finished:
            raise AnswerBroken("the stream ended before the answer", peer=answer.peer)
        progress.longest_gap = longest

    async def _keep_waiting(self, *, target: Target) -> bool:
        # What comes after the last token is no part of the answer.
        return not self._checker.finished and await target.keep_waiting()

    async def _rejected(self, *, answer: Answer) -> Result:
        if self._exchange.reply.started:
            raise failed(answer=answer)
        return whole(answer=answer, body=await answer.read())


def engine_content(*, exchange: Exchange, work: ChatWork, rank: int) -> dict[str, Any]:
    """Return the body for an engine: the caller's, with the route's model."""
    assert exchange.route is not None
    route = exchange.route
    content = {**work.content, "model": route.model, "priority": rank}
    if route.adapter:
        content["adapter"] = route.adapter
    else:
        content.pop("adapter", None)
    return content


def _chat_call(
    *,
    exchange: Exchange,
    content: Mapping[str, Any],
    target: Target,
    resume_at: int,
    keep_waiting: KeepWaiting,
) -> ChatCall:
    return ChatCall(
        request_id=exchange.request_id,
        content=content,
        affinity=exchange.affinity,
        time_left=target.time_left,
        resume_at=resume_at,
        patience=target.patience,
        fresh=target.fresh,
        keep_waiting=keep_waiting,
    )
