"""Puts a forwarding router together and runs it."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.clock import monotonic
from dotterelpaddle.forwarding.app import ForwardApp
from dotterelpaddle.forwarding.attempts import Attempts
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.client import ForwardClient
from dotterelpaddle.forwarding.filters import FindRoute, Forward, KeepDeadline
from dotterelpaddle.forwarding.follower import Follower
from dotterelpaddle.forwarding.health import HealthBook
from dotterelpaddle.forwarding.loads import LoadBook
from dotterelpaddle.forwarding.placement import ForwardPlacer
from dotterelpaddle.forwarding.reachability import Reachability
from dotterelpaddle.forwarding.readiness import ReadinessApp
from dotterelpaddle.forwarding.repeats import SharedRepeats
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.forwarding.waits import WaitBook
from dotterelpaddle.http_server import serve
from dotterelpaddle.logs import get_logger
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.peers.app import SnapshotApp
from dotterelpaddle.peers.directory import PeerDirectory
from dotterelpaddle.peers.exchange import PeerExchange
from dotterelpaddle.pipeline import compose

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import (
        CachesReader,
        Documents,
        Protocols,
        Source,
    )
    from dotterelpaddle.forwarding.settings import ForwardSettings
    from dotterelpaddle.links import Links

log = get_logger(name=__name__)

LEAVE_TIME = 2.6
"""Seconds that a stopping router still takes requests.

The balancer asks once a second and needs two misses before it sends new callers
elsewhere.
"""

STOP_MARGIN = 0.4
"""Seconds before the process would be killed by which all has ended."""

HOUSEKEEPING_PAUSE = 1.0
"""Seconds between looks at idle connections and forgotten endpoints."""


@asynccontextmanager
async def run_forwarder(
    *,
    settings: ForwardSettings,
    source: Source,
    protocols: Protocols,
    documents: Documents,
    caches_reader: CachesReader,
    links: Links,
    clock: Clock = monotonic,
) -> AsyncIterator[ForwardApp]:
    """Run a router until the context ends, then shut it down gracefully.

    Args:
        settings: The router's settings.
        source: Where configuration and endpoints are kept.
        protocols: Translates callers' requests and endpoints' answers.
        documents: Decodes what the source holds.
        caches_reader: Asks endpoints for what they have cached.
        links: The process's links.
        clock: Monotonic clock.

    Yields:
        The application for callers.
    """
    generator = random.Random(settings.router)
    view = FleetView(clock=clock)
    loads = LoadBook(clock=clock)
    health = HealthBook(clock=clock)
    caches = CacheMap(clock=clock)
    directory = PeerDirectory(
        own=settings.peers,
        seeds=[
            Address(host=seed.host, port=settings.peers.port) for seed in settings.seeds
        ],
        clock=clock,
    )
    repeats = SharedRepeats(
        limits=settings.repeats, routers=lambda: directory.count, clock=clock
    )
    client = ForwardClient(protocols=protocols, links=links, clock=clock)
    follower = Follower(source=source, view=view, clock=clock, generator=generator)
    reachability = Reachability(
        view=view,
        backend=LinkedBackend(links=links),
        failure_domain=settings.failure_domain,
        clock=clock,
    )
    exchange = PeerExchange(
        router=settings.router,
        address=settings.peers,
        control=settings.control,
        directory=directory,
        view=view,
        loads=loads,
        repeats=repeats,
        caches=caches,
        documents=documents,
        platform_age=lambda: follower.age,
        caches_reader=caches_reader,
        first=settings.first,
        links=links,
        clock=clock,
        generator=generator,
    )
    attempts = Attempts(
        placer=ForwardPlacer(
            view=view,
            loads=loads,
            health=health,
            reachability=reachability,
            caches=caches,
            failure_domain=settings.failure_domain,
            generator=generator,
        ),
        loads=loads,
        health=health,
        reachability=reachability,
        repeats=repeats,
        waits=WaitBook(),
        clock=clock,
    )
    app = ForwardApp(
        pipeline=compose(
            filters=(
                FindRoute(view=view, generator=generator),
                KeepDeadline(clock=clock),
                Forward(attempts=attempts, client=client, repeats=repeats),
            )
        ),
        protocols=protocols,
        view=view,
        clock=clock,
    )
    grace = settings.shutdown - LEAVE_TIME - STOP_MARGIN
    async with anyio.create_task_group() as tasks, AsyncExitStack() as stack:
        tasks.start_soon(follower.run)
        tasks.start_soon(exchange.run)
        tasks.start_soon(reachability.run)
        tasks.start_soon(_keep_house, client, health, view)
        await stack.enter_async_context(
            serve(app=SnapshotApp(view=view, caches=caches), address=settings.control)
        )
        await stack.enter_async_context(
            serve(app=ReadinessApp(ready=lambda: app.ready), address=settings.readiness)
        )
        await stack.enter_async_context(
            serve(app=app, address=settings.callers, grace=grace)
        )
        log.info("router_started", router=settings.router)
        yield app
        log.info("router_stopping", in_flight=app.in_flight)
        app.announce_leaving()
        await anyio.sleep(LEAVE_TIME)
        app.stop_accepting()
        await stack.aclose()
        log.info("router_stopped", in_flight=app.in_flight)
        tasks.cancel_scope.cancel()


async def _keep_house(
    client: ForwardClient, health: HealthBook, view: FleetView
) -> None:
    while True:
        await anyio.sleep(HOUSEKEEPING_PAUSE)
        await client.discard_expired()
        health.keep(endpoints=frozenset(entry.endpoint for entry in view.entries))
