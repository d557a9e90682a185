"""A fleet in one process: platform, endpoints and routers on loopback ports."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.fleet.node import NodeState
from dotterelpaddle.fleet.node_maker import NodeMaker
from dotterelpaddle.fleet.options import FleetOptions
from dotterelpaddle.fleet.partitions import PLATFORM, Partitions, Place
from dotterelpaddle.fleet.records import records
from dotterelpaddle.fleet.seeding import write_records
from dotterelpaddle.fleet.shape import resized
from dotterelpaddle.ids import EndpointId, RouterId
from dotterelpaddle.logs import get_logger
from dotterelpaddle.standins.engine import EngineStandin
from dotterelpaddle.standins.service import ServiceStandin

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from anyio.abc import TaskGroup

    from dotterelpaddle.fleet.node import Node
    from dotterelpaddle.fleet.shape import Shape
    from dotterelpaddle.records.envelope import Envelope
    from dotterelpaddle.router.running import RunningRouter
    from dotterelpaddle.standins.platform import PlatformStandin

Standin = EngineStandin | ServiceStandin
"""An endpoint of a fleet."""

LOOPBACK = Address(host="127.0.0.1", port=0)
"""A free port on loopback."""

log = get_logger(name=__name__)


class Fleet:
    """All parts of a running fleet, by name.

    Args:
        shape: The deployment.
        options: How it is set up.
        tasks: Where its parts run.
    """

    def __init__(
        self, *, shape: Shape, options: FleetOptions, tasks: TaskGroup
    ) -> None:
        self._shape = shape
        self._options = options
        self._tasks = tasks
        self._partitions = Partitions(seed=options.seed)
        maker = NodeMaker(
            shape=shape,
            options=options,
            tasks=tasks,
            links_of=self._partitions.links_of,
            platform=lambda: self.platform.address,
            seeds=self._seeds,
        )
        self._platform = maker.platform()
        self._routers = {each.name: maker.router(shape=each) for each in shape.routers}
        self._endpoints = {
            each.name: maker.endpoint(shape=each) for each in shape.endpoints
        }
        self._leaving: set[EndpointId] = set()
        self._aliases: dict[str, str] = {}
        self._history: dict[EndpointId, list[Standin]] = {
            each.name: [] for each in shape.endpoints
        }

    @property
    def shape(self) -> Shape:
        """The deployment."""
        return self._shape

    @property
    def options(self) -> FleetOptions:
        """How it is set up."""
        return self._options

    @property
    def partitions(self) -> Partitions:
        """The network between its parts."""
        return self._partitions

    @property
    def platform(self) -> PlatformStandin:
        """The platform stand-in."""
        return self._platform.server

    @property
    def routers(self) -> Mapping[RouterId, Node[RunningRouter]]:
        """All routers, running or not."""
        return self._routers

    @property
    def endpoints(self) -> Mapping[EndpointId, Node[Any]]:
        """All endpoints, running or not."""
        return self._endpoints

    @property
    def history(self) -> Mapping[EndpointId, list[Standin]]:
        """All stand-ins that each endpoint has been, for their counts."""
        return self._history

    @property
    def standins(self) -> tuple[Standin, ...]:
        """All stand-ins of all endpoints, stopped ones too."""
        return tuple(each for past in self._history.values() for each in past)

    @property
    def engines(self) -> dict[EndpointId, EngineStandin]:
        """The running engines."""
        return {
            name: node.server
            for name, node in self._endpoints.items()
            if node.state is NodeState.RUNNING
            and isinstance(node.server, EngineStandin)
        }

    @property
    def services(self) -> dict[EndpointId, ServiceStandin]:
        """The running plain services."""
        return {
            name: node.server
            for name, node in self._endpoints.items()
            if node.state is NodeState.RUNNING
            and isinstance(node.server, ServiceStandin)
        }

    @property
    def aliases(self) -> dict[str, str]:
        """Second names of parts."""
        return self._aliases

    @property
    def leaving(self) -> set[EndpointId]:
        """Endpoints whose records say that they drain, for measurements."""
        return self._leaving

    @property
    def running(self) -> dict[RouterId, RunningRouter]:
        """The routers that run and are not paused."""
        return {
            name: node.server
            for name, node in self._routers.items()
            if node.state is NodeState.RUNNING
        }

    def node(self, *, name: str) -> Node[Any]:
        """Find a part by name.

        Raises:
            KeyError: If there is none.
        """
        if name == PLATFORM:
            return self._platform
        if name in self._routers:
            return self._routers[RouterId(name)]
        return self._endpoints[EndpointId(name)]

    def names(self) -> tuple[str, ...]:
        """Names of all parts."""
        return (PLATFORM, *self._routers, *self._endpoints)

    def entry_of(self, *, router: str) -> Address:
        """Where callers reach a router."""
        return self._router(name=router).entry_address

    def operator_of(self, *, router: str) -> Address:
        """Where operators reach a router."""
        return self._router(name=router).operator_address

    def _router(self, *, name: str) -> RunningRouter:
        return self._routers[RouterId(self._aliases.get(name, name))].server

    def entries(self) -> dict[str, Address]:
        """Where callers reach the routers that have not ended."""
        return {
            name: node.server.entry_address
            for name, node in self._routers.items()
            if node.state is not NodeState.STOPPED
        }

    def shape_records(self) -> tuple[Envelope, ...]:
        """Write the records of the shape as it runs now."""
        addresses = {
            name: node.server.address
            for name, node in self._endpoints.items()
            if node.state is NodeState.RUNNING
        }
        return records(shape=self._shape, addresses=addresses)

    async def start(self, *, name: str) -> None:
        """Start a part."""
        server = await self.node(name=name).start()
        if name in self._history:
            self._history[EndpointId(name)].append(server)
        self._partitions.place(place=self._place(name=name, server=server))
        log.info("node_started", node=name)

    async def stop(self, *, name: str) -> None:
        """Shut a part down gracefully."""
        log.info("node_stopping", node=name)
        await self.node(name=name).stop()

    async def kill(self, *, name: str) -> None:
        """End a part at once, so that it can't tell anyone."""
        log.info("node_killed", node=name)
        self._partitions.isolate(name=name)
        await self.node(name=name).kill()
        self._partitions.rejoin(name=name)

    async def pause(self, *, name: str) -> None:
        """Freeze a part that runs in a thread."""
        log.info("node_paused", node=name)
        await self.node(name=name).pause()

    async def resume(self, *, name: str) -> None:
        """Let a frozen part go on."""
        await self.node(name=name).resume()

    async def start_all(self) -> None:
        """Start the platform, then the endpoints, then the routers."""
        await self.start(name=PLATFORM)
        async with anyio.create_task_group() as tasks:
            for name in self._endpoints:
                if name not in self._options.absent:
                    tasks.start_soon(partial(self.start, name=name))
        if not self._options.without_records:
            write_records(platform=self.platform, envelopes=self.shape_records())
        for router in self._routers:
            if router not in self._options.absent:
                await self.start(name=router)

    async def stop_all(self) -> None:
        """Stop all parts at once, the routers gracefully."""
        self._partitions.heal_all()
        self.platform.faults.switch_off()
        async with anyio.create_task_group() as tasks:
            for router in self._routers.values():
                tasks.start_soon(router.kill)
        async with anyio.create_task_group() as tasks:
            for endpoint in self._endpoints.values():
                tasks.start_soon(endpoint.kill)
        await self._platform.kill()

    def _seeds(self) -> tuple[Address, ...]:
        return tuple(server.control_address for server in self.running.values())

    def _place(self, *, name: str, server: Any) -> Place:
        router = name in self._routers
        address = server.control_address if router else server.address
        return Place(
            name=name,
            failure_domain=self._shape.failure_domain_of(name=name),
            addresses=frozenset({address}),
        )


@asynccontextmanager
async def run_fleet(
    *,
    shape: Shape,
    routers: int | None = None,
    engines: int | None = None,
    services: int | None = None,
    options: FleetOptions | None = None,
) -> AsyncIterator[Fleet]:
    """Run a fleet until the context ends.

    Args:
        shape: The deployment.
        routers: Number of routers, the shape's own by default.
        engines: Number of engines, the shape's own by default.
        services: Number of plain services, the shape's own by default.
        options: How it is set up.

    Yields:
        The fleet, with all its parts up.
    """
    sized = resized(shape=shape, routers=routers, engines=engines, services=services)
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(shape=sized, options=options or FleetOptions(), tasks=tasks)
        try:
            await fleet.start_all()
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.stop_all()
            tasks.cancel_scope.cancel()
