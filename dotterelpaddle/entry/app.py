"""Puts the caller side of a router together."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from dotterelpaddle.dispatch.attempts import Attempts
from dotterelpaddle.dispatch.budget import RetryBudget
from dotterelpaddle.dispatch.canceller import Canceller
from dotterelpaddle.dispatch.claim_filter import ClaimOnce
from dotterelpaddle.dispatch.claim_sharing import ClaimGatherer, SharedClaimWriter
from dotterelpaddle.dispatch.claim_sweeper import ClaimSweeper
from dotterelpaddle.dispatch.claim_writer import ClaimWriter
from dotterelpaddle.dispatch.dispatcher import Dispatcher
from dotterelpaddle.dispatch.gatherers import Gatherers
from dotterelpaddle.dispatch.hedge import Hedger
from dotterelpaddle.dispatch.metrics import DispatchMetrics
from dotterelpaddle.dispatch.options import DispatchOptions
from dotterelpaddle.dispatch.patience import PatienceBook
from dotterelpaddle.endpoint.caller import EndpointCaller
from dotterelpaddle.endpoint.engine import EngineClient
from dotterelpaddle.endpoint.service import ServiceClient
from dotterelpaddle.entry.asgi import EntryApp
from dotterelpaddle.entry.filters import (
    Authenticate,
    FindRoute,
    KeepDeadline,
    set_affinity,
)
from dotterelpaddle.entry.metrics import EntryMetrics
from dotterelpaddle.entry.rate_limit import KeepRate
from dotterelpaddle.entry.upkeep import Upkeep
from dotterelpaddle.pipeline import compose

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.backing.interface import Platform, Table
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.config.settings import Settings
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.dispatch.claim_results import WritesClaims
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.links import Links
    from dotterelpaddle.membership.view import View
    from dotterelpaddle.metrics import Metrics
    from dotterelpaddle.placement.interface import Placer

__all__ = ["EntryApp", "build_app"]


def build_app(
    *,
    catalog: Catalog,
    placer: Placer,
    platform: Platform,
    links: Links,
    settings: Settings,
    metrics: Metrics,
    clock: Clock,
    router: RouterId,
    channel: Channel | None = None,
    view: View | None = None,
    configured: Callable[[], bool] = lambda: True,
    options: DispatchOptions | None = None,
) -> EntryApp:
    """Put the filters together.

    Args:
        catalog: The records in force.
        placer: Chooses endpoints.
        platform: The platform's service, for claims.
        links: The process's links.
        settings: The router's settings.
        metrics: The router's metrics.
        clock: Source of time.
        router: Name of this router.
        channel: The way to other routers, to gather claims; without it each
            router writes its own.
        view: The member list; without it the router is on its own.
        configured: Tells whether records are in force here; requests that come
            before are refused, and the balancer is told to wait.
        options: Bounds of dispatch, the usual ones by default.
    """
    options = options or DispatchOptions()
    caller = EndpointCaller(links=links, clock=clock)
    engines = EngineClient(caller=caller)
    budget = RetryBudget(share=options.retry_share, burst=options.retry_burst)
    patience = PatienceBook(options=options)
    hedger = Hedger(clock=clock)
    canceller = Canceller(engines=engines)
    dispatch_metrics = DispatchMetrics(metrics=metrics)
    writer, shared = _claim_writers(
        table=platform.claims, channel=channel, view=view, clock=clock
    )
    attempts = Attempts(
        placer=placer,
        catalog=catalog,
        caller=caller,
        budget=budget,
        patience=patience,
        canceller=canceller,
        options=options,
        metrics=dispatch_metrics,
        clock=clock,
        generator=random.Random(router),
    )
    dispatcher = Dispatcher(
        attempts=attempts,
        budget=budget,
        patience=patience,
        hedger=hedger,
        engines=engines,
        services=ServiceClient(caller=caller),
        catalog=catalog,
        options=options,
    )
    claim_once = ClaimOnce(
        table=platform.claims,
        writer=shared,
        router=router,
        lifetime=options.claim_lifetime,
        metrics=dispatch_metrics,
        clock=clock,
        view=view,
    )
    pipeline = compose(
        filters=(
            Authenticate(catalog=catalog),
            KeepRate(catalog=catalog, view=view, clock=clock),
            FindRoute(catalog=catalog),
            set_affinity,
            KeepDeadline(clock=clock),
            claim_once,
            dispatcher,
        )
    )
    upkeep = Upkeep(
        writer=writer,
        shared=shared,
        sweeper=ClaimSweeper(table=platform.claims, generator=random.Random(router)),
        hedger=hedger,
        canceller=canceller,
        caller=caller,
    )
    return EntryApp(
        pipeline=pipeline,
        upkeep=upkeep,
        limit_bytes=settings.limits.body_bytes,
        limit_in_flight=settings.limits.in_flight,
        metrics=EntryMetrics(metrics=metrics),
        clock=clock,
        router=router,
        configured=configured,
    )


def _claim_writers(
    *, table: Table, channel: Channel | None, view: View | None, clock: Clock
) -> tuple[ClaimWriter, WritesClaims]:
    """Return the writer to the table and the one for this router's requests."""
    if channel is None or view is None:
        writer = ClaimWriter(table=table)
        return writer, writer
    gatherers = Gatherers(view=view)
    writer = ClaimWriter(table=table, spacing=lambda: gatherers.spacing)
    ClaimGatherer(writer=writer, channel=channel)
    shared = SharedClaimWriter(
        writer=writer, table=table, channel=channel, gatherers=gatherers, clock=clock
    )
    return writer, shared
