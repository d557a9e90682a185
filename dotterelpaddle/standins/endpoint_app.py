"""What the HTTP interfaces of engine and service stand-ins have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from pydantic import BaseModel
from starlette.routing import Route

from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.standins.web import Silence, change_faults, reply

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request
    from starlette.responses import Response

    from dotterelpaddle.standins.connections import Connections
    from dotterelpaddle.standins.faults import Faults
    from dotterelpaddle.standins.load_report import LaggingReport

    Handler = Callable[[Request], Awaitable[Response]]


class DrainBody(BaseModel):
    """Body of a call that switches the drain flag.

    Attributes:
        drain: Whether to refuse new requests.
    """

    drain: bool = True


class EndpointStandin(Protocol):
    """What both kinds of endpoint stand-in have.

    Attributes:
        faults: Its fault switches.
        connections: Its open connections.
        report: Its load report.
        draining: Whether it refuses new requests.
    """

    faults: Faults
    connections: Connections
    report: LaggingReport
    draining: bool


def common_routes(*, standin: EndpointStandin) -> list[Route]:
    """Make the routes for load reports, draining, health and fault switches."""
    handlers = _CommonHandlers(standin=standin)
    return [
        hushed_route("/v1/load", handlers.load, "GET", faults=standin.faults),
        hushed_route("/v1/drain", handlers.drain, "POST", faults=standin.faults),
        hushed_route("/healthz", handlers.health, "GET", faults=standin.faults),
        Route("/standin/faults", handlers.change_faults, methods=["POST"]),
    ]


def hushed_route(path: str, handler: Handler, method: str, *, faults: Faults) -> Route:
    """Make a route that gives no answer while the stand-in is silent."""

    async def _handle(request: Request) -> Response:
        if faults.is_on(kind=FaultKind.SILENT):
            return Silence()
        return await handler(request)

    return Route(path, _handle, methods=[method])


class _CommonHandlers:
    def __init__(self, *, standin: EndpointStandin) -> None:
        self._standin = standin

    async def load(self, request: Request) -> Response:
        return reply(content=self._standin.report.read().content())

    async def drain(self, request: Request) -> Response:
        body = DrainBody.model_validate_json(await request.body())
        self._standin.draining = body.drain
        return reply(content={"draining": body.drain})

    async def health(self, request: Request) -> Response:
        return reply(content={"ok": True})

    async def change_faults(self, request: Request) -> Response:
        return await change_faults(
            request=request,
            faults=self._standin.faults,
            connections=self._standin.connections,
        )
