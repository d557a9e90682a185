"""Answers operators' requests about the router itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import PlainTextResponse, Response

from dotterelpaddle.operator import wire
from dotterelpaddle.operator.answers import document_answer, report_answer
from dotterelpaddle.operator.interface import MAX_WAIT, ExplainQuery
from dotterelpaddle.operator.operation import Operation
from dotterelpaddle.operator.parameters import read_number, read_seconds

if TYPE_CHECKING:
    from collections.abc import Iterator

    from starlette.requests import Request

    from dotterelpaddle.operator.interface import (
        ExplainSource,
        ForceWatch,
        MetricsSource,
        ReadySource,
        StatusSource,
    )

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

DEFAULT_WAIT = 10.0
"""Seconds to wait for a revision to be in force, unless told otherwise."""

NOT_READY_STATUS = 503


class RouterHandlers:
    """The handlers for operators, who send the token.

    Args:
        status: Describes the router.
        explain: Explains placements.
        waiter: Tells when a revision is in force on the fleet.
    """

    def __init__(
        self, *, status: StatusSource, explain: ExplainSource, waiter: ForceWatch
    ) -> None:
        self._status = status
        self._explain = explain
        self._waiter = waiter

    def operations(self) -> Iterator[Operation]:
        """List the operations."""
        yield Operation(
            method="GET", path=wire.IN_FORCE_PATH, handler=self._wait_in_force
        )
        yield Operation(method="GET", path=wire.STATUS_PATH, handler=self._get_status)
        yield Operation(
            method="GET", path=wire.EXPLAIN_PATH, handler=self._get_explanation
        )

    async def _wait_in_force(self, request: Request) -> Response:
        report = await self._waiter.wait_in_force(
            revision=read_number(request=request, name=wire.REVISION_PARAMETER),
            timeout=read_seconds(
                request=request,
                name=wire.TIMEOUT_PARAMETER,
                default=DEFAULT_WAIT,
                maximum=MAX_WAIT,
            ),
        )
        return report_answer(report=report)

    async def _get_status(self, request: Request) -> Response:
        return document_answer(document=self._status())

    async def _get_explanation(self, request: Request) -> Response:
        values = request.query_params
        query = ExplainQuery(
            request_id=values.get(wire.REQUEST_PARAMETER, ""),
            account=values.get(wire.ACCOUNT_PARAMETER, ""),
            service=values.get(wire.SERVICE_PARAMETER, ""),
            chat=values.get(wire.CHAT_PARAMETER, ""),
        )
        return document_answer(document=await self._explain(query))


class ProbeHandlers:
    """The handlers for monitoring and balancers, which send no token.

    Args:
        metrics: Renders the metrics.
        ready: Tells whether the router takes callers' requests.
    """

    def __init__(self, *, metrics: MetricsSource, ready: ReadySource) -> None:
        self._metrics = metrics
        self._ready = ready

    def operations(self) -> Iterator[Operation]:
        """List the operations."""
        yield Operation(method="GET", path=wire.METRICS_PATH, handler=self._get_metrics)
        yield Operation(method="GET", path=wire.HEALTH_PATH, handler=self._get_health)
        yield Operation(method="GET", path=wire.READY_PATH, handler=self._get_ready)

    async def _get_metrics(self, request: Request) -> Response:
        return Response(self._metrics(), media_type=METRICS_TYPE)

    async def _get_health(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _get_ready(self, request: Request) -> Response:
        if self._ready():
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", status_code=NOT_READY_STATUS)
