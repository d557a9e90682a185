"""HTTP interface of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import orjson
from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from dotterelpaddle.ids import RequestId
from dotterelpaddle.standins.chat_answer import ChatAnswer
from dotterelpaddle.standins.chat_wire import (
    CancelBody,
    ChatBody,
    ChatHeaders,
    KeyBody,
    cache_event_content,
)
from dotterelpaddle.standins.endpoint_app import common_routes, hushed_route
from dotterelpaddle.standins.engine_state import OrderBody
from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.standins.web import (
    CACHE_KEY_HEADER,
    Dropped,
    Silence,
    failure,
    malformed,
    refusal,
    reply,
)

if TYPE_CHECKING:
    from starlette.requests import Request

    from dotterelpaddle.standins.engine import EngineStandin

CHAT_FAULTS = (
    FaultKind.REFUSE,
    FaultKind.DROP_BEFORE,
    FaultKind.SILENT,
    FaultKind.DROP_WHILE,
    FaultKind.DROP_AFTER,
    FaultKind.SILENT_AFTER,
    FaultKind.LATE,
    FaultKind.FOREIGN,
    FaultKind.TRUNCATED,
    FaultKind.DUPLICATED,
    FaultKind.REORDERED,
)
"""Faults that hit a chat request, at most one of them each."""

ORDER_FAULTS = (
    FaultKind.ORDER_LOST,
    FaultKind.ORDER_LATE,
    FaultKind.ORDER_ANSWER_LOST,
)
"""Faults that hit an order, at most one of them each."""

OVERLOADED_STATUS = 429
REFUSED_STATUS = 503


def build_app(*, engine: EngineStandin) -> Starlette:
    """Make the ASGI application of an engine stand-in."""
    handlers = _Handlers(engine=engine)
    faults = engine.faults
    return Starlette(
        routes=[
            Route("/v1/chat/completions", handlers.chat, methods=["POST"]),
            Route("/v1/cancel", handlers.cancel, methods=["POST"]),
            hushed_route("/v1/cache/events", handlers.events, "GET", faults=faults),
            hushed_route("/v1/cache/export", handlers.export, "POST", faults=faults),
            hushed_route("/v1/cache/import", handlers.store, "POST", faults=faults),
            hushed_route("/v1/orders", handlers.order, "POST", faults=faults),
            hushed_route("/v1/state", handlers.state, "GET", faults=faults),
            Route("/standin/runs", handlers.runs, methods=["GET"]),
            *common_routes(standin=engine),
        ],
        exception_handlers={ValidationError: malformed},
    )


class _Handlers:
    def __init__(self, *, engine: EngineStandin) -> None:
        self._engine = engine

    async def chat(self, request: Request) -> Response:
        body = ChatBody.model_validate_json(await request.body())
        headers = ChatHeaders.model_validate(dict(request.headers))
        fault = self._engine.faults.draw(kinds=CHAT_FAULTS)
        match fault.kind if fault else None:
            case FaultKind.DROP_BEFORE:
                return Dropped()
            case FaultKind.SILENT:
                return Silence()
            case FaultKind.REFUSE:
                return _refusal(kind="overloaded", headers=headers)
        kind = self._engine.reason_to_refuse(body=body)
        if kind:
            return _refusal(kind=kind, headers=headers)
        return ChatAnswer(
            run=self._engine.enqueue(body=body, headers=headers),
            batch=self._engine.batch,
            stream=body.stream,
            fingerprint=self._engine.state.fingerprint,
            fault=fault,
        )

    async def cancel(self, request: Request) -> Response:
        body = CancelBody.model_validate_json(await request.body())
        batch = self._engine.batch
        runs = batch.find(request_id=RequestId(body.request_id))
        for run in runs:
            batch.cancel(run=run)
        return reply(content={"cancelled": len(runs)})

    async def events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", 0))
        events = self._engine.cache_events(after=after)
        last = events[-1].sequence if events else after
        content = [cache_event_content(event=event) for event in events]
        return reply(content={"events": content, "last": last})

    async def export(self, request: Request) -> Response:
        body = KeyBody.model_validate_json(await request.body())
        tokens = self._engine.cache.peek(key=body.key)
        if not tokens:
            return failure(kind="not_found", message="not cached", status=404)
        content = orjson.dumps([self._engine.state.fingerprint, tokens])
        return Response(content, media_type="application/octet-stream")

    async def store(self, request: Request) -> Response:
        fingerprint, tokens = orjson.loads(await request.body())
        if fingerprint != self._engine.state.fingerprint:
            return failure(kind="other_model", message="other weights", status=409)
        key = request.headers.get(CACHE_KEY_HEADER, "")
        self._engine.store(key=key, tokens=tokens)
        return reply(content={"tokens": tokens})

    async def order(self, request: Request) -> Response:
        order = OrderBody.model_validate_json(await request.body())
        fault = self._engine.faults.draw(kinds=ORDER_FAULTS)
        match fault.kind if fault else None:
            case FaultKind.ORDER_LOST:
                return Dropped()
            case FaultKind.ORDER_LATE if fault is not None:
                await anyio.sleep(fault.seconds)
        obeyed = self._engine.obey(order=order)
        if fault is not None and fault.kind is FaultKind.ORDER_ANSWER_LOST:
            return Dropped()
        if not obeyed:
            return failure(
                kind="stale_fencing", message="a newer holder has ordered", status=409
            )
        return await self.state(request)

    async def state(self, request: Request) -> Response:
        content = {
            **self._engine.state.content(),
            "draining": self._engine.draining,
            "loading": self._engine.loading,
        }
        return reply(content=content)

    async def runs(self, request: Request) -> Response:
        engine = self._engine
        return reply(
            content={
                **engine.runs.content(),
                "tokens_generated": engine.batch.tokens_generated,
                "cached_tokens": engine.cached_tokens,
                "prompt_tokens": engine.prompt_tokens,
                "cancellations": engine.batch.cancellations,
                "max_load": engine.batch.max_load,
            }
        )


def _refusal(*, kind: str, headers: ChatHeaders) -> Response:
    status = OVERLOADED_STATUS if kind == "overloaded" else REFUSED_STATUS
    return refusal(
        kind=kind, message="not run", status=status, request_id=headers.request_id
    )
