"""Runs a forwarding router from its start to its graceful shutdown."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.forwarding.caller_protocol import caller_protocol
from dotterelpaddle.forwarding.components import build_components
from dotterelpaddle.forwarding.readiness import ReadinessApp
from dotterelpaddle.http_server import serve
from dotterelpaddle.logs import get_logger
from dotterelpaddle.peers.app import ControlApp
from dotterelpaddle.peers.datagrams import open_datagram_socket

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.forwarding.components import Components, Dependencies
    from dotterelpaddle.forwarding.settings import ForwardSettings

log = get_logger(name=__name__)

SHUTDOWN_MARGIN_SECONDS = 0.4
"""Seconds before the process would be killed by which all has ended."""

HOUSEKEEPING_INTERVAL_SECONDS = 1.0
"""Seconds between looks at idle connections and forgotten endpoints."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningForwarder:
    """A router that runs.

    Attributes:
        parts: Its parts.
        callers: Where it listens for callers.
        readiness: Where it says whether it is ready.
        control: Where it hands out what it knows.
        peers: Where it exchanges reports.
    """

    parts: Components
    callers: Address
    readiness: Address
    control: Address
    peers: Address


@asynccontextmanager
async def run_forwarder(
    *,
    settings: ForwardSettings,
    surroundings: Dependencies,
    listener: socket.socket | None = None,
) -> AsyncIterator[RunningForwarder]:
    """Run a router until the context ends, then shut it down gracefully.

    Args:
        settings: The router's settings.
        surroundings: What it is connected to.
        listener: Where it listens for callers already, None to open a socket.

    Yields:
        The router. It serves once it knows configuration and endpoints.
    """
    parts = build_components(settings=settings, dependencies=surroundings)
    app, knowledge = parts.app, parts.state
    grace = settings.shutdown_timeout - settings.drain_time - SHUTDOWN_MARGIN_SECONDS
    async with (
        open_datagram_socket(
            address=settings.peers, links=surroundings.links
        ) as datagrams,
        anyio.create_task_group() as tasks,
        AsyncExitStack() as stack,
    ):
        tasks.start_soon(parts.follower.run)
        tasks.start_soon(parts.reachability.run)
        tasks.start_soon(parts.termination_prober.run)
        tasks.start_soon(parts.isolation.run)
        tasks.start_soon(_run_housekeeping, parts)
        control = await stack.enter_async_context(
            serve(
                app=ControlApp(
                    view=knowledge.view, caches=knowledge.caches, metrics=parts.metrics
                ),
                address=settings.control,
                additional_address=settings.metrics,
            )
        )
        tasks.start_soon(parts.exchange.run, datagrams, control)
        tasks.start_soon(parts.owners.run, datagrams)
        tasks.start_soon(parts.fetcher.run)
        readiness = await stack.enter_async_context(
            serve(
                app=ReadinessApp(is_ready=lambda: app.ready), address=settings.readiness
            )
        )
        callers = await stack.enter_async_context(
            serve(
                app=app,
                address=listener or settings.callers,
                grace=grace,
                protocol=caller_protocol(limits=lambda: knowledge.view.limits),
            )
        )
        log.info("router_started", router=settings.router)
        yield RunningForwarder(
            parts=parts,
            callers=callers,
            readiness=readiness,
            control=control,
            peers=datagrams.address,
        )
        log.info("router_stopping", in_flight=app.in_flight)
        parts.start_draining()
        await anyio.sleep(settings.drain_time)
        # Callers' server ends first: it takes no new connection, closes idle ones,
        # and waits for the requests that it has.
        await stack.aclose()
        log.info("router_stopped", in_flight=app.in_flight)
        await parts.client.aclose()
        tasks.cancel_scope.cancel()


async def _run_housekeeping(parts: Components) -> None:
    knowledge = parts.state
    while True:
        await anyio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
        await parts.client.discard_expired()
        known = frozenset(entry.endpoint for entry in knowledge.view.entries)
        knowledge.health.retain(endpoints=known)
        knowledge.liveness.retain(endpoints=known)
        knowledge.quiet.retain(endpoints=known)
        knowledge.cold.retain(endpoints=known)
