"""Starts the services of one router in the order in which they need each other."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import anyio

from dotterelpaddle.backing.http import open_platform
from dotterelpaddle.catalog.service import run_catalog
from dotterelpaddle.control.channel import open_channel
from dotterelpaddle.entry.app import EntryApp, build_app as build_entry_app
from dotterelpaddle.http_server import serve
from dotterelpaddle.membership.service import run_membership
from dotterelpaddle.membership.view import Member, MemberState
from dotterelpaddle.metrics import Metrics
from dotterelpaddle.operator.app import build_app as build_operator_app
from dotterelpaddle.operator.service import RecordService
from dotterelpaddle.orders.service import run_orders
from dotterelpaddle.placement.service import run_placement
from dotterelpaddle.placement.settings import PlacementSettings
from dotterelpaddle.router.explanation import Explainer
from dotterelpaddle.router.running import RunningRouter
from dotterelpaddle.router.status import describe

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from dotterelpaddle.address import Address
    from dotterelpaddle.backing.interface import Platform
    from dotterelpaddle.catalog.live import LiveCatalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.config.settings import Settings
    from dotterelpaddle.control.channel import DatagramChannel
    from dotterelpaddle.links import Links
    from dotterelpaddle.membership.service import Membership
    from dotterelpaddle.operator.interface import Document
    from dotterelpaddle.orders.service import Orders
    from dotterelpaddle.orders.settings import OrderSettings
    from dotterelpaddle.placement.service import PlacementService

T = TypeVar("T")

OPERATOR_GRACE = 1.0
"""Seconds that operators' requests get when the router ends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Services:
    """The services that run before the router's HTTP servers start."""

    platform: Platform
    channel: DatagramChannel
    membership: Membership
    catalog: LiveCatalog
    placement: PlacementService
    entry: EntryApp
    orders: Orders


class RouterBuilder:
    """Starts the services of one router.

    Args:
        settings: The router's settings.
        links: The process's links.
        clock: Monotonic clock.
        orders: Times and bounds of orders, None for the usual ones.
        stack: Ends the services in reverse.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        links: Links,
        clock: Clock,
        orders: OrderSettings | None,
        stack: AsyncExitStack,
    ) -> None:
        self._settings = settings
        self._links = links
        self._clock = clock
        self._orders = orders
        self._stack = stack
        self._metrics = Metrics()

    async def start(self) -> RunningRouter:
        """Start all services, the HTTP servers last."""
        services = await self._start_services()
        running: RunningRouter | None = None

        def _status() -> Document:
            return describe(router=running) if running else {}

        operator_address = await self._serve_operators(
            services=services, status=_status
        )
        entry_address = await self._serve(
            app=services.entry,
            address=self._settings.listen,
            grace=self._settings.shutdown.grace,
        )
        running = RunningRouter(
            router=self._settings.router,
            entry_address=entry_address,
            operator_address=operator_address,
            control_address=services.channel.address,
            entry=services.entry,
            catalog=services.catalog,
            membership=services.membership,
            placement=services.placement,
            orders=services.orders,
            channel=services.channel,
            metrics=self._metrics,
        )
        return running

    async def _start_services(self) -> _Services:
        platform = await self._open_platform()
        channel = await self._open_channel()
        membership = await self._join(platform=platform, channel=channel)
        catalog = await self._enter(
            run_catalog(
                platform=platform,
                channel=channel,
                view=membership,
                metrics=self._metrics,
                clock=self._clock,
            )
        )
        placement = await self._place(
            catalog=catalog, membership=membership, channel=channel
        )
        entry = build_entry_app(
            catalog=catalog,
            placer=placement,
            platform=platform,
            links=self._links,
            settings=self._settings,
            metrics=self._metrics,
            clock=self._clock,
            router=self._settings.router,
            channel=channel,
            view=membership,
            configured=lambda: catalog.ready,
        )
        orders = await self._give_orders(
            platform=platform, catalog=catalog, membership=membership
        )
        await self._enter(_running(service=entry.run))
        return _Services(
            platform=platform,
            channel=channel,
            membership=membership,
            catalog=catalog,
            placement=placement,
            entry=entry,
            orders=orders,
        )

    async def _open_platform(self) -> Platform:
        section = self._settings.platform
        return await self._enter(
            open_platform(
                url=str(section.url),
                token=section.token.get_secret_value(),
                timeout=section.timeout,
                links=self._links,
            )
        )

    async def _open_channel(self) -> DatagramChannel:
        section = self._settings.control
        return await self._enter(
            open_channel(
                address=section.address,
                key=section.key.get_secret_value(),
                accepted_keys=section.accepted_keys,
                bytes_per_second=section.bytes_per_second,
                links=self._links,
                metrics=self._metrics,
                clock=self._clock,
            )
        )

    async def _join(
        self, *, platform: Platform, channel: DatagramChannel
    ) -> Membership:
        own = Member(
            router=self._settings.router,
            address=channel.address,
            failure_domain=self._settings.failure_domain,
            state=MemberState.ALIVE,
        )
        return await self._enter(
            run_membership(
                own=own,
                channel=channel,
                hosts=platform.hosts,
                seeds=self._settings.seeds,
                metrics=self._metrics,
                clock=self._clock,
            )
        )

    async def _place(
        self, *, catalog: LiveCatalog, membership: Membership, channel: DatagramChannel
    ) -> PlacementService:
        return await self._enter(
            run_placement(
                catalog=catalog,
                view=membership,
                channel=channel,
                links=self._links,
                settings=PlacementSettings(policy=self._settings.policy),
                metrics=self._metrics,
                clock=self._clock,
                own=self._settings.router,
            )
        )

    async def _give_orders(
        self, *, platform: Platform, catalog: LiveCatalog, membership: Membership
    ) -> Orders:
        return await self._enter(
            run_orders(
                router=self._settings.router,
                catalog=catalog,
                platform=platform,
                view=membership,
                links=self._links,
                metrics=self._metrics,
                settings=self._orders,
                clock=self._clock,
            )
        )

    async def _serve_operators(
        self, *, services: _Services, status: Callable[[], Document]
    ) -> Address:
        catalog, entry = services.catalog, services.entry
        explainer = Explainer(
            router=self._settings.router, catalog=catalog, placement=services.placement
        )
        app = build_operator_app(
            token=self._settings.operator.token.get_secret_value(),
            records=RecordService(
                table=catalog.records, objects=services.platform.objects
            ),
            status=status,
            explain=explainer.explain,
            metrics=self._metrics.render,
            ready=lambda: catalog.ready and entry.ready,
            waiter=catalog.watch,
        )
        return await self._serve(
            app=app, address=self._settings.operator.address, grace=OPERATOR_GRACE
        )

    async def _serve(self, *, app: Any, address: Address, grace: float) -> Address:
        return await self._enter(serve(app=app, address=address, grace=grace))

    async def _enter(self, context: AbstractAsyncContextManager[T]) -> T:
        return await self._stack.enter_async_context(context)


@asynccontextmanager
async def _running(
    *, service: Callable[[], Coroutine[Any, Any, None]]
) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service)
        yield
        tasks.cancel_scope.cancel()
