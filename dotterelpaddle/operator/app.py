"""The HTTP interface for operators, as an ASGI application."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.routing import Route

from dotterelpaddle.operator.access import Access
from dotterelpaddle.operator.answers import answering
from dotterelpaddle.operator.record_handlers import RecordHandlers
from dotterelpaddle.operator.router_handlers import ProbeHandlers, RouterHandlers

if TYPE_CHECKING:
    from dotterelpaddle.operator.interface import (
        ExplainSource,
        ForceWatch,
        MetricsSource,
        ReadySource,
        StatusSource,
    )
    from dotterelpaddle.operator.operation import Handler, Operation
    from dotterelpaddle.operator.service import RecordService


def build_app(
    *,
    token: str,
    records: RecordService,
    status: StatusSource,
    explain: ExplainSource,
    metrics: MetricsSource,
    ready: ReadySource,
    waiter: ForceWatch,
) -> Starlette:
    """Make the operator interface of a router.

    Args:
        token: Bearer token that operators send.
        records: The records.
        status: Describes the router.
        explain: Explains placements.
        metrics: Renders the metrics.
        ready: Tells whether the router takes callers' requests.
        waiter: Tells when a revision is in force on the fleet.
    """
    guard = Access(token=token).guard
    reports = RouterHandlers(status=status, explain=explain, waiter=waiter)
    probes = ProbeHandlers(metrics=metrics, ready=ready)
    protected = (*reports.operations(), *RecordHandlers(records=records).operations())
    routes = [
        _route(operation=operation, handler=guard(operation.handler))
        for operation in protected
    ]
    routes += [
        _route(operation=operation, handler=operation.handler)
        for operation in probes.operations()
    ]
    return Starlette(routes=routes)


def _route(*, operation: Operation, handler: Handler) -> Route:
    return Route(operation.path, answering(handler), methods=[operation.method])
