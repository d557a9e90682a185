"""Stand-in for a plain service with calls that may not be repeated."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import orjson
from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from dotterelpaddle.http_server import SHUTDOWN_GRACE_SECONDS, serve
from dotterelpaddle.ids import RequestId
from dotterelpaddle.standins.chat_answer import FOREIGN_ID
from dotterelpaddle.standins.connections import Connections
from dotterelpaddle.standins.endpoint_app import common_routes
from dotterelpaddle.standins.faults import FaultKind, Faults
from dotterelpaddle.standins.load_report import LaggingReport, LoadReport
from dotterelpaddle.standins.run_counts import RunCounts
from dotterelpaddle.standins.web import (
    IDEMPOTENCY_KEY_HEADER,
    JSON_TYPE,
    REQUEST_ID_HEADER,
    Cut,
    Dropped,
    Silence,
    malformed,
    refusal,
    reply,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

    from dotterelpaddle.address import Address
    from dotterelpaddle.standins.faults import Fault

ANY_METHOD = ["GET", "POST", "PUT", "PATCH", "DELETE"]

CALL_FAULTS = (
    FaultKind.REFUSE,
    FaultKind.DROP_BEFORE,
    FaultKind.SILENT,
    FaultKind.DROP_WHILE,
    FaultKind.DROP_AFTER,
    FaultKind.SILENT_AFTER,
    FaultKind.LATE,
    FaultKind.FOREIGN,
    FaultKind.TRUNCATED,
)
"""Faults that hit a call, at most one of them each."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSettings:
    """How the service stand-in behaves.

    Attributes:
        latency: Seconds that a call takes.
        max_in_flight: Calls that run at a time; others wait.
        max_waiting: Calls that may wait; others are refused.
        load_lag: Seconds between two renewals of its load report.
        seed: Seed of its generators.
    """

    latency: float = 0.004
    max_in_flight: int = 64
    max_waiting: int = 256
    load_lag: float = 1.0
    seed: int = 0


class ServiceStandin:
    """State, switches and counters of a running service stand-in.

    Args:
        name: Its name.
        settings: How it behaves.

    Attributes:
        name: Its name.
        address: Where it listens.
        speed: Calls are this much faster than the settings say.
        draining: Whether it refuses new calls.
        running: Calls that run.
        waiting: Calls that wait for others to end.
        max_load: Most calls that were running or waiting at a time.
        runs: How often it has run what.
        faults: Fault switches.
        connections: Open connections.
        report: The load report.
    """

    def __init__(self, *, name: str, settings: ServiceSettings) -> None:
        self.name = name
        self.address: Address
        self.speed = 1.0
        self.draining = False
        self.running = 0
        self.waiting = 0
        self.max_load = 0
        self.runs = RunCounts()
        self.faults = Faults(seed=settings.seed)
        self.connections = Connections()
        self.report = LaggingReport(measure=self._measure, lag=settings.load_lag)
        self._settings = settings
        self._slots = anyio.Semaphore(settings.max_in_flight)

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self.running and not self.waiting

    @property
    def _full(self) -> bool:
        room = self._settings.max_in_flight + self._settings.max_waiting
        return self.running + self.waiting >= room

    def app(self) -> Starlette:
        """Make the ASGI application."""
        return Starlette(
            routes=[
                *common_routes(standin=self),
                Route("/standin/runs", self._show_runs, methods=["GET"]),
                Route("/{path:path}", self._call, methods=ANY_METHOD),
            ],
            exception_handlers={ValidationError: malformed},
        )

    def _measure(self) -> LoadReport:
        return LoadReport(
            running=self.running, waiting=self.waiting, draining=self.draining
        )

    async def _call(self, request: Request) -> Response:
        body = await request.body()
        fault = self.faults.draw(kinds=CALL_FAULTS)
        match fault.kind if fault else None:
            case FaultKind.DROP_BEFORE:
                return Dropped()
            case FaultKind.SILENT:
                return Silence()
            case FaultKind.REFUSE:
                return self._refuse(request=request, kind="overloaded")
        if self.draining:
            return self._refuse(request=request, kind="draining")
        if self._full:
            return self._refuse(request=request, kind="overloaded")
        await self._run(request=request, fault=fault)
        return await self._answer(request=request, body=body, fault=fault)

    def _refuse(self, *, request: Request, kind: str) -> Response:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        return refusal(kind=kind, message="not run", request_id=request_id)

    async def _run(self, *, request: Request, fault: Fault | None) -> None:
        self.waiting += 1
        self.max_load = max(self.max_load, self.running + self.waiting)
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            # From here on the call has its effect, whatever becomes of the caller.
            self.runs.add(
                request_id=RequestId(request.headers.get(REQUEST_ID_HEADER, "")),
                key=request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            )
            if fault is None or fault.kind is not FaultKind.DROP_WHILE:
                await anyio.sleep(self._settings.latency / self.speed)
        finally:
            self.running -= 1
            self._slots.release()

    async def _answer(
        self, *, request: Request, body: bytes, fault: Fault | None
    ) -> Response:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        match fault.kind if fault else None:
            case FaultKind.DROP_WHILE | FaultKind.DROP_AFTER:
                return Dropped()
            case FaultKind.SILENT_AFTER:
                return Silence()
            case FaultKind.LATE if fault is not None:
                await anyio.sleep(fault.seconds)
            case FaultKind.FOREIGN:
                request_id = FOREIGN_ID
        content = self._content(request=request, request_id=request_id, body=body)
        headers = {REQUEST_ID_HEADER: request_id}
        if fault is not None and fault.kind is FaultKind.TRUNCATED:
            # The length promises more than comes before the connection closes.
            headers["Content-Length"] = str(len(content))
            return Cut(content[: len(content) // 2], headers=headers)
        return Response(content, headers=headers, media_type=JSON_TYPE)

    def _content(self, *, request: Request, request_id: str, body: bytes) -> bytes:
        return orjson.dumps(
            {
                "request_id": request_id,
                "service": self.name,
                "method": request.method,
                "path": request.url.path,
                "query": request.url.query,
                "received_bytes": len(body),
            }
        )

    async def _show_runs(self, request: Request) -> Response:
        return reply(content={**self.runs.content(), "max_load": self.max_load})


@asynccontextmanager
async def run_service(
    *,
    address: Address,
    name: str,
    settings: ServiceSettings | None = None,
    grace: float = SHUTDOWN_GRACE_SECONDS,
) -> AsyncIterator[ServiceStandin]:
    """Run a service stand-in until the context ends.

    Args:
        address: Where to listen; port 0 takes a free one.
        name: Its name.
        settings: How it behaves.
        grace: Seconds that open connections get at the end.

    Yields:
        Its state, with the address in use.
    """
    standin = ServiceStandin(name=name, settings=settings or ServiceSettings())
    protocol = standin.connections.protocol()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.report.renew)
        async with serve(
            app=standin.app(), address=address, grace=grace, protocol=protocol
        ) as bound:
            standin.address = bound
            yield standin
        tasks.cancel_scope.cancel()
