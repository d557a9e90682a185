"""Sends requests to plain services and takes their answers to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.dispatch.relay import (
    OUTCOME_HEADER,
    OUTCOME_PENDING,
    SERVER_ERROR,
    end_to_end,
    failed,
    whole,
)
from dotterelpaddle.dispatch.target import Relayed, Result, Target
from dotterelpaddle.endpoint.evidence import Evidence
from dotterelpaddle.endpoint.service import ServiceCall
from dotterelpaddle.exceptions import EndpointError

if TYPE_CHECKING:
    from dotterelpaddle.dispatch.target import Progress
    from dotterelpaddle.endpoint.answer import Answer
    from dotterelpaddle.endpoint.service import ServiceClient
    from dotterelpaddle.pipeline import Exchange, ServiceWork


class ServiceRelay:
    """Relays the answer of a plain service; long ones part by part.

    Args:
        exchange: The exchange.
        work: What the caller wants.
        services: Client of services.
        buffered_bytes: Longest answer that is held until it is whole.
    """

    def __init__(
        self,
        *,
        exchange: Exchange,
        work: ServiceWork,
        services: ServiceClient,
        buffered_bytes: int,
    ) -> None:
        self._exchange = exchange
        self._work = work
        self._services = services
        self._buffered_bytes = buffered_bytes

    async def send(self, *, target: Target) -> Result:
        """Send one attempt."""
        async with self._services.call(
            endpoint=target.endpoint,
            call=self._call(target=target),
            observe=target.progress.observe,
        ) as answer:
            if answer.status >= SERVER_ERROR and self._exchange.idempotent:
                raise failed(answer=answer)
            return await self._read(answer=answer, progress=target.progress)

    def _call(self, *, target: Target) -> ServiceCall:
        request = self._exchange.request
        return ServiceCall(
            request_id=self._exchange.request_id,
            method=request.method,
            path=self._work.path,
            headers=request.headers,
            body=request.body,
            idempotency_key=self._exchange.idempotency_key,
            time_left=target.time_left,
            patience=target.patience,
            fresh=target.fresh,
            keep_waiting=target.keep_waiting,
        )

    async def _read(self, *, answer: Answer, progress: Progress) -> Result:
        parts: list[bytes] = []
        size = 0
        begun = False
        async for chunk in answer.chunks():
            if begun:
                await self._exchange.reply.write(chunk=chunk)
                continue
            parts.append(chunk)
            size += len(chunk)
            if size > self._buffered_bytes:
                await self._begin(answer=answer, body=b"".join(parts))
                begun = True
        progress.observe(Evidence.ANSWER_COMPLETE)
        if begun:
            return Relayed(tail=b"")
        return whole(answer=answer, body=b"".join(parts))

    async def _begin(self, *, answer: Answer, body: bytes) -> None:
        reply = self._exchange.reply
        if reply.started:
            raise EndpointError("another attempt was faster", peer=answer.peer)
        headers = end_to_end(headers=answer.headers)
        headers[OUTCOME_HEADER] = OUTCOME_PENDING
        if "content-length" in answer.headers:
            headers["content-length"] = answer.headers["content-length"]
        await reply.start(status=answer.status, headers=headers)
        await reply.write(chunk=body)
