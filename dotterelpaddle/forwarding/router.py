"""Runs a forwarding router from its start to its graceful shutdown."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from functools import partial
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
    from collections.abc import AsyncIterator, Awaitable, Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.forwarding.components import Components
    from dotterelpaddle.forwarding.dependencies import Dependencies
    from dotterelpaddle.forwarding.settings import ForwardSettings
    from dotterelpaddle.peers.datagrams import DatagramSocket

    Task = Callable[[], Awaitable[None]]

log = get_logger(name=__name__)

SHUTDOWN_MARGIN_SECONDS = 0.4
"""Seconds between the end of the graceful shutdown and the kill of the process."""

LAST_ANSWERS_SECONDS = 0.2
"""Seconds before the end of the graceful shutdown at which requests in progress are
told that the router stops; their connections are cut afterwards."""

HOUSEKEEPING_INTERVAL_SECONDS = 1.0
"""Seconds between cleanups of idle connections and state of removed endpoints."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningForwarder:
    """A running router and its addresses.

    Attributes:
        components: Components of the router.
        callers: Address for callers.
        readiness: Address of the readiness check.
        control: Address where other routers fetch state and operators metrics.
        peers: Address for datagrams of other routers.
    """

    components: Components
    callers: Address
    readiness: Address
    control: Address
    peers: Address


@asynccontextmanager
async def run_forwarder(
    *,
    settings: ForwardSettings,
    dependencies: Dependencies,
    listener: socket.socket | None = None,
) -> AsyncIterator[RunningForwarder]:
    """Run a router until the context ends, then shut it down gracefully.

    Args:
        settings: The router's settings.
        dependencies: Dependencies of the router.
        listener: Socket that already listens for callers, None to open one.

    Yields:
        The router, which serves callers once it knows configuration and endpoints.
    """
    components = build_components(settings=settings, dependencies=dependencies)
    app, state = components.app, components.state
    grace = settings.shutdown_timeout - settings.drain_time - SHUTDOWN_MARGIN_SECONDS
    async with (
        open_datagram_socket(
            address=settings.peers, links=dependencies.links
        ) as datagrams,
        anyio.create_task_group() as tasks,
        AsyncExitStack() as stack,
    ):
        keep_running = components.supervisor.keep_running
        for task, run in _own_tasks(components).items():
            tasks.start_soon(keep_running, task, run)
        control = await stack.enter_async_context(
            serve(
                app=ControlApp(
                    view=state.view, caches=state.caches, metrics=components.metrics
                ),
                address=settings.control,
                additional_address=settings.metrics,
            )
        )
        if settings.tunnels is not None:
            await stack.enter_async_context(
                components.tunnel_server.serve(address=settings.tunnels)
            )
        for task, run in _fleet_tasks(components, datagrams, control).items():
            tasks.start_soon(keep_running, task, run)
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
                protocol=caller_protocol(
                    limits=lambda: state.view.limits,
                    held=state.held if state.held.bound is not None else None,
                ),
            )
        )
        log.info("router_started", router=settings.router)
        yield RunningForwarder(
            components=components,
            callers=callers,
            readiness=readiness,
            control=control,
            peers=datagrams.address,
        )
        log.info("router_stopping", in_flight=app.in_flight)
        seconds_left = settings.shutdown_timeout - SHUTDOWN_MARGIN_SECONDS
        components.start_draining(seconds=seconds_left - LAST_ANSWERS_SECONDS)
        components.tunnel_server.stop_within(seconds=seconds_left)
        await anyio.sleep(settings.drain_time)
        # The exit stack stops the callers' server first. That server accepts no new
        # connections, closes idle ones and waits for requests in flight.
        await stack.aclose()
        log.info("router_stopped", in_flight=app.in_flight)
        await components.client.aclose()
        tasks.cancel_scope.cancel()


def _own_tasks(components: Components) -> dict[str, Task]:
    """Return the tasks that need no address of this router, by name."""
    return {
        "follower": components.follower.run,
        "reachability": components.reachability.run,
        "termination probes": components.termination_prober.run,
        "isolation": components.isolation.run,
        "housekeeping": partial(_run_housekeeping, components),
    }


def _fleet_tasks(
    components: Components, datagrams: DatagramSocket, control: Address
) -> dict[str, Task]:
    """Return the tasks that begin once other routers can reach this one, by name."""
    fleet_tasks: dict[str, Task] = {
        "reports": partial(components.exchange.run, datagrams, control),
        "owners": partial(components.owners.run, datagrams),
        "abandoned requests": components.state.abandoned.run,
        "fetcher": components.fetcher.run,
        "epoch discovery": components.epoch_discovery.run,
        "stream archive": components.stream_archive.run,
        "crash archive": components.crash_archive.run,
    }
    if components.registry is not None:
        fleet_tasks["registry"] = components.registry.run
    return fleet_tasks


async def _run_housekeeping(components: Components) -> None:
    state = components.state
    while True:
        await anyio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
        await components.client.discard_expired()
        known_endpoints = state.view.known_endpoints
        state.health.retain(endpoints=known_endpoints)
        state.liveness.retain(endpoints=known_endpoints)
        state.backoffs.retain(endpoints=known_endpoints)
        state.brittle.retain(endpoints=known_endpoints)
        state.cold.retain(endpoints=known_endpoints)
        state.slowdowns.retain(endpoints=known_endpoints)
        state.service_times.retain(endpoints=known_endpoints)
        state.stream_origins.expire()
        state.version_history.refresh()
