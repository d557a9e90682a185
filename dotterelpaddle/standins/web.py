"""What the stand-ins' HTTP handlers share."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import orjson
from pydantic import BaseModel, ConfigDict
from starlette.responses import Response

from dotterelpaddle.standins.connections import close_connection, drop_connection
from dotterelpaddle.standins.faults import FaultKind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request
    from starlette.types import Receive

    from dotterelpaddle.standins.connections import Connections
    from dotterelpaddle.standins.faults import Faults

JSON_TYPE = "application/json"
CACHE_KEY_HEADER = "X-Cache-Key"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
NOT_RUN_HEADER = "X-Not-Run"
REQUEST_ID_HEADER = "X-Request-Id"


class FaultChange(BaseModel):
    """Body of a request that changes fault switches or connections.

    Attributes:
        kind: Fault to switch, empty for all.
        on: Whether to switch it on or off.
        share: Share of the requests that it hits.
        count: How many requests it hits, None for no end.
        seconds: How long a slow or late answer takes longer.
        connections: `silent` or `drop` for the connections open now.
    """

    model_config = ConfigDict(extra="forbid")

    kind: FaultKind | None = None
    on: bool = True
    share: float = 1.0
    count: int | None = None
    seconds: float = 0.0
    connections: str = ""


class Dropped(Response):
    """Sends nothing and resets the connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Reset the connection."""
        drop_connection(scope=scope)


class Silence(Response):
    """Sends nothing and waits until the caller goes away."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Wait."""
        await until_disconnect(receive=receive)


class Cut(Response):
    """Sends less than its Content-Length promises and resets the connection."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer."""
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
        )
        body = {"type": "http.response.body", "body": self.body, "more_body": True}
        await send(body)
        close_connection(scope=scope)


def reply(
    *, content: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Make a JSON answer."""
    return Response(
        content=orjson.dumps(content),
        status_code=status,
        headers=headers,
        media_type=JSON_TYPE,
    )


def refusal(
    *, kind: str, message: str, status: int = 503, request_id: str = ""
) -> Response:
    """Make the answer of an endpoint that did not run a request."""
    headers = {NOT_RUN_HEADER: "true"}
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    return failure(kind=kind, message=message, status=status, headers=headers)


def failure(
    *, kind: str, message: str, status: int, headers: dict[str, str] | None = None
) -> Response:
    """Make an error answer."""
    content = {"error": {"type": kind, "message": message}}
    return reply(content=content, status=status, headers=headers)


async def malformed(request: Request, error: Exception) -> Response:
    """Handle a body or header that can't be read."""
    return failure(kind="malformed", message=str(error), status=400)


async def until_disconnect(*, receive: Receive) -> None:
    """Wait until the caller goes away."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


@asynccontextmanager
async def cancelled_on_disconnect(*, receive: Receive) -> AsyncIterator[None]:
    """Cancel the body of the context when the caller goes away."""
    async with anyio.create_task_group() as tasks:

        async def _watch() -> None:
            await until_disconnect(receive=receive)
            tasks.cancel_scope.cancel()

        tasks.start_soon(_watch)
        yield
        tasks.cancel_scope.cancel()


async def change_faults(
    *, request: Request, faults: Faults, connections: Connections
) -> Response:
    """Handle a request that changes fault switches."""
    change = FaultChange.model_validate_json(await request.body())
    match change.connections:
        case "silent":
            connections.go_silent(keep=request.scope)
        case "drop":
            connections.drop(keep=request.scope)
    if not change.on:
        faults.switch_off(kind=change.kind)
    elif change.kind is not None:
        faults.switch_on(
            kind=change.kind,
            share=change.share,
            count=change.count,
            seconds=change.seconds,
        )
    return reply(content={"ok": True})
