"""HTTP interface of the platform stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from dotterelpaddle.ids import AttemptId, Revision, RouterId
from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.standins.platform_wire import (
    HostBody,
    ReadBody,
    ReservationBody,
    TransactionBody,
    host_content,
    page_content,
    row_content,
)
from dotterelpaddle.standins.table import AttemptFenced, Conflict
from dotterelpaddle.standins.web import (
    Dropped,
    Silence,
    change_faults,
    failure,
    malformed,
    reply,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    from dotterelpaddle.standins.platform import PlatformStandin
    from dotterelpaddle.standins.rates import TokenBucket
    from dotterelpaddle.standins.table import MemoryTable

    Handler = Callable[[Request], Awaitable[Response]]

PAGE_LIMIT = 500
"""Rows of the change log on a page, unless the reader asks for another number."""

TABLE = "/v1/tables/{table}"


def build_app(*, platform: PlatformStandin) -> Starlette:
    """Make the ASGI application of a platform stand-in."""
    handlers = _Handlers(platform=platform)
    return Starlette(
        routes=handlers.routes(), exception_handlers={ValidationError: malformed}
    )


class _Handlers:
    def __init__(self, *, platform: PlatformStandin) -> None:
        self._platform = platform

    def routes(self) -> list[Route]:
        """List the routes with their rate limits and faults."""
        read, write = self._read, self._write
        return [
            _route(f"{TABLE}/transactions", write(self._transact), "POST"),
            _route(f"{TABLE}/read", read(self._read_rows), "POST"),
            _route(f"{TABLE}/changes", read(self._changes), "GET"),
            _route(f"{TABLE}/attempts/{{attempt}}", write(self._find_attempt), "POST"),
            _route("/v1/objects/{name:path}", write(self._put_object), "PUT"),
            _route("/v1/objects/{name:path}", read(self._get_object), "GET"),
            _route("/v1/hosts", read(self._list_hosts), "GET"),
            _route("/v1/hosts/{router}", write(self._put_host), "PUT"),
            _route("/v1/hosts/{router}", write(self._delete_host), "DELETE"),
            _route("/v1/weights/reservations", write(self._reserve), "POST"),
            _route("/standin/faults", self._change_faults, "POST"),
            _route("/standin/runs", self._show_counts, "GET"),
            _route("/healthz", _healthy, "GET"),
        ]

    def _read(self, handler: Handler) -> Handler:
        async def _handle(request: Request) -> Response:
            self._platform.reads += 1
            return await self._guard(
                request, handler, bucket=self._platform.read_bucket
            )

        return _handle

    def _write(self, handler: Handler) -> Handler:
        async def _handle(request: Request) -> Response:
            self._platform.writes += 1
            if self._platform.faults.draw(kinds=(FaultKind.WRITE_LOST,)):
                return Dropped()
            response = await self._guard(
                request, handler, bucket=self._platform.write_bucket
            )
            if self._platform.faults.draw(kinds=(FaultKind.ANSWER_LOST,)):
                return Dropped()
            return response

        return _handle

    async def _guard(
        self, request: Request, handler: Handler, *, bucket: TokenBucket
    ) -> Response:
        if not self._authorized(request=request):
            return failure(kind="unauthorized", message="wrong token", status=401)
        if self._platform.faults.draw(kinds=(FaultKind.SILENT,)):
            return Silence()
        if self._platform.faults.draw(kinds=(FaultKind.OUTAGE,)):
            return self._refuse(kind="outage", message="the platform is down")
        if not bucket.take(now=self._platform.clock()):
            return self._refuse(kind="rate_limit", message="too many requests")
        slow = self._platform.faults.draw(kinds=(FaultKind.SLOW,))
        if slow is not None:
            await anyio.sleep(slow.seconds)
        return await handler(request)

    def _authorized(self, *, request: Request) -> bool:
        token = self._platform.token
        return not token or request.headers.get("authorization") == f"Bearer {token}"

    def _refuse(self, *, kind: str, message: str) -> Response:
        self._platform.refused += 1
        return failure(
            kind=kind, message=message, status=503, headers={"Retry-After": "1"}
        )

    async def _transact(self, request: Request) -> Response:
        body = TransactionBody.model_validate_json(await request.body())
        table = self._table(request=request)
        try:
            commit = table.transact(transaction=body.transaction())
        except Conflict as conflict:
            rows = [row_content(row=row) for row in conflict.rows]
            return reply(content={"conflicts": rows}, status=409)
        except AttemptFenced:
            return reply(content={"conflicts": [], "fenced": True}, status=409)
        return reply(content={"revision": commit.revision})

    async def _read_rows(self, request: Request) -> Response:
        body = ReadBody.model_validate_json(await request.body())
        rows = self._table(request=request).read(keys=body.keys)
        return reply(content={"rows": [row_content(row=row) for row in rows]})

    async def _changes(self, request: Request) -> Response:
        after = Revision(int(request.query_params.get("after", 0)))
        limit = int(request.query_params.get("limit", PAGE_LIMIT))
        page = self._table(request=request).changes(after=after, limit=limit)
        return reply(content=page_content(page=page))

    async def _find_attempt(self, request: Request) -> Response:
        attempt = AttemptId(request.path_params["attempt"])
        commit = self._table(request=request).find_attempt(attempt=attempt)
        return reply(content={"revision": commit and commit.revision})

    def _table(self, *, request: Request) -> MemoryTable:
        return self._platform.tables[request.path_params["table"]]

    async def _put_object(self, request: Request) -> Response:
        self._platform.objects[request.path_params["name"]] = await request.body()
        return reply(content={"ok": True})

    async def _get_object(self, request: Request) -> Response:
        content = self._platform.objects.get(request.path_params["name"])
        if content is None:
            return failure(kind="not_found", message="no such object", status=404)
        return Response(content=content, media_type="application/octet-stream")

    async def _list_hosts(self, request: Request) -> Response:
        hosts = self._platform.hosts.hosts(now=self._platform.clock())
        return reply(content={"hosts": [host_content(host=host) for host in hosts]})

    async def _put_host(self, request: Request) -> Response:
        router = RouterId(request.path_params["router"])
        body = HostBody.model_validate_json(await request.body())
        host = body.entry(router=router)
        self._platform.hosts.put(router=router, host=host, now=self._platform.clock())
        return reply(content={"ok": True})

    async def _delete_host(self, request: Request) -> Response:
        router = RouterId(request.path_params["router"])
        self._platform.hosts.put(router=router, host=None, now=self._platform.clock())
        return reply(content={"ok": True})

    async def _reserve(self, request: Request) -> Response:
        body = ReservationBody.model_validate_json(await request.body())
        start_in = self._platform.weights.reserve(
            name=body.name, size=body.size, now=self._platform.clock()
        )
        return reply(content={"start_in": start_in})

    async def _change_faults(self, request: Request) -> Response:
        return await change_faults(
            request=request,
            faults=self._platform.faults,
            connections=self._platform.connections,
        )

    async def _show_counts(self, request: Request) -> Response:
        heads = {name: table.head for name, table in self._platform.tables.items()}
        return reply(
            content={
                "reads": self._platform.reads,
                "writes": self._platform.writes,
                "refused": self._platform.refused,
                "heads": heads,
            }
        )


async def _healthy(request: Request) -> Response:
    return reply(content={"ok": True})


def _route(path: str, handler: Handler, method: str) -> Route:
    return Route(path, handler, methods=[method])
