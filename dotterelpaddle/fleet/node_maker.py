"""Makes the nodes of a fleet: platform, routers and endpoints."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

from dotterelpaddle.address import Address
from dotterelpaddle.fleet.node import TaskNode, ThreadNode
from dotterelpaddle.fleet.partitions import PLATFORM
from dotterelpaddle.fleet.router_settings import router_settings
from dotterelpaddle.records.model import PoolKind
from dotterelpaddle.router.daemon import run_router
from dotterelpaddle.standins.engine import run_engine
from dotterelpaddle.standins.platform import PlatformStandin, run_platform
from dotterelpaddle.standins.service import run_service

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from anyio.abc import TaskGroup

    from dotterelpaddle.fleet.node import Node
    from dotterelpaddle.fleet.options import FleetOptions
    from dotterelpaddle.fleet.shape import EndpointShape, RouterShape, Shape
    from dotterelpaddle.links import Links
    from dotterelpaddle.router.running import RunningRouter

LOOPBACK = Address(host="127.0.0.1", port=0)
"""A free port on loopback."""


class NodeMaker:
    """Makes the nodes of one fleet; nothing runs before it is started.

    Args:
        shape: The deployment.
        options: How the fleet is set up.
        tasks: Where its nodes run.
        links_of: Returns the links of a router.
        platform: Returns where the platform listens.
        seeds: Returns where running routers listen for other routers.
    """

    def __init__(
        self,
        *,
        shape: Shape,
        options: FleetOptions,
        tasks: TaskGroup,
        links_of: Callable[..., Links],
        platform: Callable[[], Address],
        seeds: Callable[[], tuple[Address, ...]],
    ) -> None:
        self._shape = shape
        self._options = options
        self._tasks = tasks
        self._links_of = links_of
        self._platform = platform
        self._seeds = seeds

    def platform(self) -> Node[PlatformStandin]:
        """Make the platform."""
        return TaskNode(
            name=PLATFORM, open_server=self._open_platform, tasks=self._tasks
        )

    def router(self, *, shape: RouterShape) -> Node[RunningRouter]:
        """Make a router."""
        open_server = partial(self._open_router, shape=shape)
        if self._options.all_threaded or shape.name in self._options.threaded:
            return ThreadNode(name=shape.name, open_server=open_server)
        return TaskNode(name=shape.name, open_server=open_server, tasks=self._tasks)

    def endpoint(self, *, shape: EndpointShape) -> Node[Any]:
        """Make an engine or a plain service."""
        pool = self._shape.pool(name=shape.pool)
        engine = pool.kind is PoolKind.ENGINE
        open_server = self._open_engine if engine else self._open_service
        return TaskNode(
            name=shape.name,
            open_server=partial(open_server, shape=shape),
            tasks=self._tasks,
        )

    def _open_platform(self) -> AbstractAsyncContextManager[PlatformStandin]:
        return run_platform(address=LOOPBACK, settings=self._options.platform)

    def _open_router(
        self, *, shape: RouterShape
    ) -> AbstractAsyncContextManager[RunningRouter]:
        settings = router_settings(
            shape=shape,
            platform=self._platform(),
            seeds=self._seeds(),
            options=self._options,
        )
        links: Links = self._links_of(router=shape.name)
        return run_router(settings=settings, links=links, orders=self._options.orders)

    def _open_engine(self, *, shape: EndpointShape) -> AbstractAsyncContextManager[Any]:
        settings = self._options.engines.get(shape.name, self._options.engine)
        settings = replace(settings, checks_fencing=shape.checks_fencing)
        return run_engine(address=LOOPBACK, name=shape.name, settings=settings)

    def _open_service(
        self, *, shape: EndpointShape
    ) -> AbstractAsyncContextManager[Any]:
        settings = self._options.service
        return run_service(address=LOOPBACK, name=shape.name, settings=settings)
