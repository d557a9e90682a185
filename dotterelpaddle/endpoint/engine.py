"""The client of model engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.endpoint.answer import MAX_ANSWER
from dotterelpaddle.endpoint.caller import Call
from dotterelpaddle.endpoint.engine_messages import (
    CacheEvent,
    CacheEventPage,
    ChatCall,
    EngineLoad,
    EngineOrder,
    EngineState,
    StaleFencing,
)
from dotterelpaddle.endpoint.evidence import Observer, ignore
from dotterelpaddle.exceptions import AnswerBroken, EndpointError
from dotterelpaddle.ids import AffinityKey

if TYPE_CHECKING:
    from collections.abc import Mapping
    from contextlib import AbstractAsyncContextManager

    from dotterelpaddle.endpoint.answer import Answer
    from dotterelpaddle.endpoint.caller import EndpointCaller
    from dotterelpaddle.ids import (
        RequestId,
    )
    from dotterelpaddle.records.model import Endpoint

__all__ = [
    "CacheEvent",
    "CacheEventPage",
    "ChatCall",
    "EngineClient",
    "EngineLoad",
    "EngineOrder",
    "EngineState",
    "StaleFencing",
]

CHAT_PATH = "/v1/chat/completions"


class EngineClient:
    """Speaks to model engines.

    Args:
        caller: Sends calls and keeps connections.
    """

    def __init__(self, *, caller: EndpointCaller) -> None:
        self._caller = caller

    def chat(
        self, *, endpoint: Endpoint, chat: ChatCall, observe: Observer = ignore
    ) -> AbstractAsyncContextManager[Answer]:
        """Send a chat request; see `EndpointCaller.call` for errors."""
        call = Call(
            method="POST",
            path=CHAT_PATH,
            headers=_chat_headers(chat=chat),
            body=orjson.dumps(chat.content),
            request_id=chat.request_id,
            patience=chat.patience,
            fresh=chat.fresh,
            keep_waiting=chat.keep_waiting,
        )
        return self._caller.call(endpoint=endpoint, call=call, observe=observe)

    async def probe(self, *, endpoint: Endpoint, timeout: float) -> bool:
        """Tell whether a new connection to an engine can be had."""
        return await self._caller.probe(endpoint=endpoint, timeout=timeout)

    async def load(self, *, endpoint: Endpoint) -> EngineLoad:
        """Read an engine's load report.

        Raises:
            EndpointError: If there is no usable answer.
        """
        content = await self._get(endpoint=endpoint, path="/v1/load")
        return EngineLoad(
            running=int(content.get("running", 0)),
            waiting=int(content.get("waiting", 0)),
            tokens_in_flight=int(content.get("tokens_in_flight", 0)),
            cache_tokens=int(content.get("cache_tokens", 0)),
            cache_capacity=int(content.get("cache_capacity", 0)),
            draining=bool(content.get("draining", False)),
        )

    async def cache_events(self, *, endpoint: Endpoint, after: int) -> CacheEventPage:
        """Read an engine's cache events after a sequence number.

        Raises:
            EndpointError: If there is no usable answer.
        """
        content = await self._get(
            endpoint=endpoint, path=f"/v1/cache/events?after={after}"
        )
        events = tuple(_cache_event(content=each) for each in content["events"])
        return CacheEventPage(events=events, last=int(content["last"]))

    async def export_cache(
        self, *, endpoint: Endpoint, key: AffinityKey
    ) -> bytes | None:
        """Read the KV cache of a chat, None if the engine has it no more.

        Raises:
            EndpointError: If there is no usable answer.
        """
        call = Call(
            method="POST",
            path="/v1/cache/export",
            body=orjson.dumps({"key": key_text(key=key)}),
        )
        async with self._caller.call(endpoint=endpoint, call=call) as answer:
            if answer.status == 404:
                await answer.read()
                return None
            _expect_ok(answer=answer)
            return await answer.read(limit=8 * MAX_ANSWER)

    async def import_cache(
        self, *, endpoint: Endpoint, key: AffinityKey, content: bytes
    ) -> None:
        """Give an engine the KV cache of a chat.

        Raises:
            EndpointError: If there is no usable answer.
        """
        headers = {"x-cache-key": key_text(key=key)}
        await self._post(
            endpoint=endpoint, path="/v1/cache/import", body=content, headers=headers
        )

    async def cancel(self, *, endpoint: Endpoint, request_id: RequestId) -> None:
        """Cancel a request whose connection can't be closed to that end.

        Raises:
            EndpointError: If there is no usable answer.
        """
        body = orjson.dumps({"request_id": request_id})
        await self._post(endpoint=endpoint, path="/v1/cancel", body=body)

    async def drain(self, *, endpoint: Endpoint, drain: bool) -> None:
        """Tell an engine to take no new work, or to take it again.

        Raises:
            EndpointError: If there is no usable answer.
        """
        body = orjson.dumps({"drain": drain})
        await self._post(endpoint=endpoint, path="/v1/drain", body=body)

    async def state(self, *, endpoint: Endpoint) -> EngineState:
        """Read what an engine serves.

        Raises:
            EndpointError: If there is no usable answer.
        """
        return _state(content=await self._get(endpoint=endpoint, path="/v1/state"))

    async def order(self, *, endpoint: Endpoint, order: EngineOrder) -> EngineState:
        """Give an order.

        Raises:
            StaleFencing: If the engine refuses the fencing number.
            EndpointError: If there is no usable answer.
        """
        body = {
            "fencing": order.fencing,
            "model": order.model,
            "version": order.version,
            "adapters": list(order.adapters),
            "role": order.role.value,
        }
        call = Call(method="POST", path="/v1/orders", body=orjson.dumps(body))
        async with self._caller.call(endpoint=endpoint, call=call) as answer:
            if answer.status == 409:
                refusal = await answer.refusal()
                raise StaleFencing(refusal.message, peer=endpoint.name)
            return _state(content=await _json(answer=answer))

    async def _get(self, *, endpoint: Endpoint, path: str) -> dict[str, Any]:
        async with self._caller.call(endpoint=endpoint, call=Call(path=path)) as answer:
            return await _json(answer=answer)

    async def _post(
        self,
        *,
        endpoint: Endpoint,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        call = Call(method="POST", path=path, body=body, headers=headers)
        async with self._caller.call(endpoint=endpoint, call=call) as answer:
            _expect_ok(answer=answer)
            await answer.read()


def key_text(*, key: AffinityKey) -> str:
    """Write a chat's key as engines do."""
    return f"{key:016x}"


def _chat_headers(*, chat: ChatCall) -> dict[str, str]:
    headers = {
        "content-type": "application/json",
        "x-timeout-ms": str(max(1, round(chat.time_left * 1000))),
    }
    if chat.affinity is not None:
        headers["x-cache-key"] = key_text(key=chat.affinity)
    if chat.resume_at:
        headers["x-resume-offset"] = str(chat.resume_at)
    return headers


async def _json(*, answer: Answer) -> dict[str, Any]:
    _expect_ok(answer=answer)
    try:
        content = orjson.loads(await answer.read())
    except orjson.JSONDecodeError as error:
        raise AnswerBroken(
            f"the answer is no JSON: {error}", peer=answer.peer
        ) from error
    if not isinstance(content, dict):
        raise AnswerBroken("the answer is no JSON object", peer=answer.peer)
    return content


def _expect_ok(*, answer: Answer) -> None:
    if answer.status >= 300:
        raise EndpointError(f"answered with status {answer.status}", peer=answer.peer)


def _cache_event(*, content: dict[str, Any]) -> CacheEvent:
    return CacheEvent(
        sequence=int(content["sequence"]),
        stored=content["kind"] == "stored",
        key=AffinityKey(int(content["key"], 16)),
        tokens=int(content.get("tokens", 0)),
    )


def _state(*, content: dict[str, Any]) -> EngineState:
    return EngineState(
        model=content.get("model", ""),
        version=content.get("version", ""),
        adapters=tuple(content.get("adapters", ())),
        role=content.get("role", ""),
        fencing=int(content.get("fencing", 0)),
        draining=bool(content.get("draining", False)),
        loading=bool(content.get("loading", False)),
    )
