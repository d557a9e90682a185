"""Reads callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import orjson

from dotterelpaddle.exceptions import (
    BodyTooLarge,
    MalformedRequest,
    RequestError,
    RouteNotFound,
)
from dotterelpaddle.ids import ServiceName
from dotterelpaddle.pipeline import CallerRequest, ChatWork, ServiceWork, Work

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    Receive = Callable[[], Awaitable[dict[str, Any]]]

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
CHAT_ID_HEADER = "x-chat-id"


class CallerGone(RequestError):
    """The caller closed its connection before the request was whole."""

    status = 499


def read_head(*, scope: Mapping[str, Any]) -> CallerRequest:
    """Read all but the body of a request."""
    raw_path: bytes = scope.get("raw_path") or quote(scope["path"]).encode()
    return CallerRequest(
        method=scope["method"],
        path=raw_path.decode("latin-1"),
        query=scope.get("query_string", b"").decode("latin-1"),
        headers={
            name.decode("latin-1").lower(): value.decode("latin-1").strip()
            for name, value in scope["headers"]
        },
    )


async def read_body(
    *, request: CallerRequest, receive: Receive, limit: int
) -> CallerRequest:
    """Read the body of a request.

    Raises:
        BodyTooLarge: If it is over the limit; the rest is not read.
        CallerGone: If the caller goes before the end.
    """
    length = request.headers.get("content-length", "0")
    if length.isdigit() and int(length) > limit:
        raise _too_large(limit=limit)
    parts: list[bytes] = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGone("the connection closed before the body's end")
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            raise _too_large(limit=limit)
        parts.append(part)
        more = message.get("more_body", False)
    return CallerRequest(
        method=request.method,
        path=request.path,
        query=request.query,
        headers=request.headers,
        body=b"".join(parts),
    )


def read_work(*, request: CallerRequest) -> Work:
    """Find out what the caller wants.

    Raises:
        RouteNotFound: If the path means nothing.
        MalformedRequest: If the body can't be read.
    """
    if request.path == CHAT_PATH:
        return _read_chat(request=request)
    if request.path.startswith(SERVICES_PREFIX):
        return _read_service(request=request)
    raise RouteNotFound(
        f"nothing is served at '{request.path}'; use {CHAT_PATH} or "
        f"{SERVICES_PREFIX}SERVICE/PATH"
    )


def _read_chat(*, request: CallerRequest) -> ChatWork:
    if request.method != "POST":
        raise MalformedRequest(f"{CHAT_PATH} takes POST, not {request.method}")
    content = _read_json(body=request.body)
    model = content.get("model")
    if not isinstance(model, str) or not model:
        raise MalformedRequest("field 'model': give the name of a service as text")
    messages = content.get("messages")
    if not isinstance(messages, list) or not messages:
        raise MalformedRequest("field 'messages': give a list of at least one message")
    if not all(isinstance(message, dict) for message in messages):
        raise MalformedRequest("field 'messages': each message must be an object")
    stream = content.get("stream", False)
    if not isinstance(stream, bool):
        raise MalformedRequest("field 'stream': give true or false")
    _check_max_tokens(content=content)
    return ChatWork(
        service=ServiceName(model),
        content=content,
        stream=stream,
        chat_id=_chat_id(request=request, content=content),
    )


def _check_max_tokens(*, content: dict[str, Any]) -> None:
    tokens = content.get("max_tokens")
    if tokens is None:
        return
    if not isinstance(tokens, int) or isinstance(tokens, bool) or tokens < 1:
        raise MalformedRequest("field 'max_tokens': give a whole number above 0")


def _chat_id(*, request: CallerRequest, content: dict[str, Any]) -> str:
    header = request.headers.get(CHAT_ID_HEADER, "")
    if header:
        return header
    metadata = content.get("metadata")
    if not isinstance(metadata, dict):
        return ""
    chat_id = metadata.get("chat_id", "")
    return chat_id if isinstance(chat_id, str) else ""


def _read_service(*, request: CallerRequest) -> ServiceWork:
    service, _, rest = request.path.removeprefix(SERVICES_PREFIX).partition("/")
    if not service:
        raise RouteNotFound(f"name a service after {SERVICES_PREFIX}")
    query = f"?{request.query}" if request.query else ""
    return ServiceWork(service=ServiceName(service), path=f"/{rest}{query}")


def _read_json(*, body: bytes) -> dict[str, Any]:
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedRequest(f"the body is no JSON: {error}") from error
    if not isinstance(content, dict):
        raise MalformedRequest("the body must be a JSON object")
    return content


def _too_large(*, limit: int) -> BodyTooLarge:
    return BodyTooLarge(f"the body is over the limit of {limit} bytes")
