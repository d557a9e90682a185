"""Runs one router from its start to its graceful shutdown."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from dotterelpaddle.clock import Clock, monotonic
from dotterelpaddle.links import Links
from dotterelpaddle.logs import get_logger
from dotterelpaddle.router.builder import RouterBuilder
from dotterelpaddle.router.shutdown import shut_down

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.config.settings import Settings
    from dotterelpaddle.orders.settings import OrderSettings
    from dotterelpaddle.router.running import RunningRouter

log = get_logger(name=__name__)


@asynccontextmanager
async def run_router(
    *,
    settings: Settings,
    links: Links | None = None,
    clock: Clock = monotonic,
    orders: OrderSettings | None = None,
) -> AsyncIterator[RunningRouter]:
    """Run a router until the context ends, then shut it down gracefully.

    Cancelling the context's task ends the router at once instead.

    Args:
        settings: The router's settings.
        links: The process's links, all open by default.
        clock: Monotonic clock.
        orders: Times and bounds of orders, for tests.

    Yields:
        The router. It serves once its catalog is ready.
    """
    async with AsyncExitStack() as stack:
        builder = RouterBuilder(
            settings=settings,
            links=links or Links(),
            clock=clock,
            orders=orders,
            stack=stack,
        )
        router = await builder.start()
        log.info("router_started", router=router.router)
        yield router
        await shut_down(
            entry=router.entry,
            membership=router.membership,
            settings=settings.shutdown,
        )
