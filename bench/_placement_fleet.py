"""Routers' placement over real loopback sockets, for benches.

Each router has its own channel, membership and placement, as in the daemon. The
catalog is shared and changes at once, and engines are fakes.
"""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio

from bench._placement_engines import PREFILL_RATE, FakeEngine, FakeEngines
from dotterelpaddle.address import Address
from dotterelpaddle.backing.interface import Host, HostState
from dotterelpaddle.clock import monotonic
from dotterelpaddle.control.channel import DatagramChannel, open_channel
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    PoolId,
    Revision,
    RouterId,
    VersionId,
)
from dotterelpaddle.links import Links
from dotterelpaddle.membership.service import Membership, run_membership
from dotterelpaddle.membership.view import Member, MemberState
from dotterelpaddle.metrics import Metrics
from dotterelpaddle.placement.service import PlacementService, run_placement
from dotterelpaddle.records.model import (
    Endpoint,
    EndpointIntent,
    Model,
    Pool,
    PoolKind,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from anyio.abc import TaskGroup, TaskStatus

    from dotterelpaddle.control.interface import TrafficClass
    from dotterelpaddle.placement.settings import PlacementSettings

POOL = PoolId("booth-model")
MODEL = ModelId("booth")
DOMAINS = (
    FailureDomain("regina-hall"),
    FailureDomain("saskatoon-hall"),
    FailureDomain("winnipeg-hall"),
)
LEAVE_DELAY = 0.5
"""Seconds between a router's word that it leaves and its end."""

KEY = b"a key for benches only, 32 bytes"
ANY_PORT = Address(host="127.0.0.1", port=0)


class BenchCatalog:
    """Records of one pool, the part of a catalog that placement reads."""

    def __init__(self, *, pool: Pool) -> None:
        self._pool = pool
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._generation = 0

    @property
    def revision(self) -> Revision:
        """Newest revision."""
        return Revision(self._generation)

    @property
    def generation(self) -> int:
        """Grows with each change."""
        return self._generation

    def put(self, *, endpoint: Endpoint) -> None:
        """Write an endpoint's record."""
        self._generation += 1
        self._endpoints[endpoint.name] = endpoint

    def drain(self, *, name: EndpointId) -> None:
        """Say that an endpoint shall take no new work."""
        old = self._endpoints[name]
        self.put(endpoint=replace(old, intent=EndpointIntent.DRAIN))

    def retire(self, *, name: EndpointId) -> None:
        """Remove an endpoint's record."""
        self._generation += 1
        del self._endpoints[name]

    def pool(self, *, name: PoolId) -> Pool | None:
        """Find the pool."""
        return self._pool if name == self._pool.name else None

    def pools(self) -> tuple[Pool, ...]:
        """The one pool."""
        return (self._pool,)

    def endpoints(self, *, pool: PoolId) -> tuple[Endpoint, ...]:
        """The pool's endpoints, sorted by name."""
        return tuple(self._endpoints[name] for name in sorted(self._endpoints))

    def model(self, *, name: ModelId) -> Model | None:
        """The one model."""
        return Model(name=MODEL, prefill_rate=PREFILL_RATE)

    def on_change(self, *, handler: Callable[[], None]) -> None:
        """Not needed: placement looks at the generation."""


class BenchHosts:
    """The platform's host list, without lag."""

    def __init__(self) -> None:
        self._hosts: dict[RouterId, Host] = {}

    async def hosts(self) -> tuple[Host, ...]:
        """Read the list."""
        return tuple(self._hosts.values())

    async def register(self, *, host: Host) -> None:
        """Announce a host."""
        self._hosts[host.router] = host

    async def deregister(self, *, router: RouterId) -> None:
        """Take a host off the list."""
        self._hosts.pop(router, None)


@dataclass(kw_only=True)
class BenchRouter:
    """One router.

    Attributes:
        name: Its name.
        channel: Its channel.
        membership: Its membership.
        placement: Its placement.
        links: Its links.
        stop: Ends it.
        stopped: Is set when it has ended.
        started_at: When it started, seconds on the monotonic clock.
    """

    name: RouterId
    channel: DatagramChannel
    membership: Membership
    placement: PlacementService
    links: Links
    stop: anyio.Event
    stopped: anyio.Event
    started_at: float

    @property
    def sent(self) -> dict[TrafficClass, int]:
        """Bytes sent by class, headers included."""
        return dict(self.channel.sent_bytes)

    @property
    def received(self) -> int:
        """Bytes received, headers included."""
        return sum(self.channel.traffic.received.values())


class BenchFleet:
    """Some routers and engines.

    Args:
        pool: The pool's record.
        settings: Settings of placement.
        bytes_per_second: Control budget of each router.
        tasks: Where routers run.
    """

    def __init__(
        self,
        *,
        pool: Pool,
        settings: PlacementSettings,
        bytes_per_second: float,
        tasks: TaskGroup,
    ) -> None:
        self.pool = pool
        self.catalog = BenchCatalog(pool=pool)
        self.engines = FakeEngines()
        self.routers: list[BenchRouter] = []
        self.hosts = BenchHosts()
        self._settings = settings
        self._bytes_per_second = bytes_per_second
        self._tasks = tasks
        self._started = 0

    def add_engine(self, *, name: str, speed: float = 1.0) -> FakeEngine:
        """Start an engine and write its record."""
        engine = FakeEngine(name=EndpointId(name), speed=speed)
        self.engines.add(engine=engine)
        self.catalog.put(
            endpoint=Endpoint(
                name=engine.name,
                pool=self.pool.name,
                address=Address(host="127.0.0.1", port=9),
                failure_domain=DOMAINS[len(self.engines.by_name) % len(DOMAINS)],
                model=MODEL,
                version=VersionId(""),
            )
        )
        return engine

    async def add_router(self) -> BenchRouter:
        """Start a router, in a task of its own."""
        self._started += 1
        router: BenchRouter = await self._tasks.start(self._run_router, self._started)
        self.routers.append(router)
        return router

    async def stop_router(self, *, router: BenchRouter, graceful: bool) -> None:
        """End a router, with or without a word to the others."""
        self.routers.remove(router)
        if graceful:
            await router.membership.leave()
            await anyio.sleep(LEAVE_DELAY)
        router.stop.set()
        await router.stopped.wait()

    async def close(self) -> None:
        """End all routers."""
        for router in tuple(self.routers):
            await self.stop_router(router=router, graceful=False)

    async def _run_router(
        self, number: int, *, task_status: TaskStatus[BenchRouter]
    ) -> None:
        name = RouterId(f"router-{number:03d}")
        domain = DOMAINS[number % len(DOMAINS)]
        links = Links(seed=number)
        metrics = Metrics()
        stopped = anyio.Event()
        async with AsyncExitStack() as stack:
            channel = await stack.enter_async_context(
                open_channel(
                    address=ANY_PORT,
                    key=KEY,
                    bytes_per_second=self._bytes_per_second,
                    links=links,
                    metrics=metrics,
                    clock=monotonic,
                )
            )
            host = Host(
                router=name,
                address=channel.address,
                failure_domain=domain,
                state=HostState.LIVE,
            )
            await self.hosts.register(host=host)
            membership = await stack.enter_async_context(
                run_membership(
                    own=Member(
                        router=name,
                        address=channel.address,
                        failure_domain=domain,
                        state=MemberState.ALIVE,
                    ),
                    channel=channel,
                    hosts=self.hosts,
                    seeds=tuple(each.channel.address for each in self.routers[:2]),
                    metrics=metrics,
                    clock=monotonic,
                )
            )
            placement = await stack.enter_async_context(
                run_placement(
                    catalog=self.catalog,  # type: ignore[arg-type]
                    view=membership,
                    channel=channel,
                    links=links,
                    settings=self._settings,
                    metrics=metrics,
                    clock=monotonic,
                    own=name,
                    engines=self.engines,
                )
            )
            router = BenchRouter(
                name=name,
                channel=channel,
                membership=membership,
                placement=placement,
                links=links,
                stop=anyio.Event(),
                stopped=stopped,
                started_at=monotonic(),
            )
            task_status.started(router)
            await router.stop.wait()
        await self.hosts.deregister(router=name)
        stopped.set()


@asynccontextmanager
async def run_bench_fleet(
    *,
    routers: int,
    engines: int,
    pool: Pool,
    settings: PlacementSettings,
    bytes_per_second: float = 3000.0,
) -> AsyncIterator[BenchFleet]:
    """Run a fleet until the context ends."""
    async with anyio.create_task_group() as tasks:
        fleet = BenchFleet(
            pool=pool,
            settings=settings,
            bytes_per_second=bytes_per_second,
            tasks=tasks,
        )
        for index in range(engines):
            fleet.add_engine(name=f"engine-{index}")
        for _ in range(routers):
            await fleet.add_router()
        yield fleet
        await fleet.close()


def bench_pool(*, load_multiple: float, max_in_flight: int = 64) -> Pool:
    """The record of the pool that benches use."""
    return Pool(
        name=POOL,
        kind=PoolKind.ENGINE,
        load_multiple=load_multiple,
        max_in_flight=max_in_flight,
        slow_start=2.0,
    )
