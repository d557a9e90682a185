"""The configuration in force on one router, kept up to date."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.catalog.bulk import BulkTransfer
from dotterelpaddle.catalog.context import CatalogContext
from dotterelpaddle.catalog.counters import CatalogCounters
from dotterelpaddle.catalog.exchange import Exchange
from dotterelpaddle.catalog.live import LiveCatalog
from dotterelpaddle.catalog.peer_reader import PeerReader
from dotterelpaddle.catalog.poller import Poller
from dotterelpaddle.catalog.polling import PollSchedule
from dotterelpaddle.catalog.progress import PeerProgress
from dotterelpaddle.catalog.settings import CatalogSettings
from dotterelpaddle.catalog.snapshot import Snapshots
from dotterelpaddle.catalog.store import RecordStore, Source
from dotterelpaddle.catalog.survey import Surveyor
from dotterelpaddle.catalog.topology import Topology
from dotterelpaddle.catalog.watch import CatalogWatch
from dotterelpaddle.clock import monotonic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from dotterelpaddle.backing.interface import Platform
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.membership.view import View
    from dotterelpaddle.metrics import Metrics

SNAPSHOT_TIMEOUT = 1.0
"""Seconds that a starting router waits for the snapshot before it reads the log."""

PEER_DELAY = 0.3
"""Seconds that a starting router waits for the platform before it asks peers."""

GAUGE_INTERVAL = 1.0
"""Seconds between updates of the gauges."""


@asynccontextmanager
async def run_catalog(
    *,
    platform: Platform,
    channel: Channel,
    view: View,
    settings: CatalogSettings | None = None,
    metrics: Metrics,
    clock: Clock = monotonic,
) -> AsyncIterator[LiveCatalog]:
    """Follow the records until the context ends.

    The catalog is there at once and empty; `LiveCatalog.wait_ready` tells when
    the records have come from the platform, a peer or a snapshot.

    Args:
        platform: The platform.
        channel: The way to other routers.
        view: The members.
        settings: How a router follows the records.
        metrics: Where metrics are registered.
        clock: Source of time.

    Yields:
        The catalog.
    """
    settings = settings or CatalogSettings()
    context = CatalogContext(
        store=RecordStore(settings=settings),
        channel=channel,
        topology=Topology(view=view, settings=settings),
        schedule=PollSchedule(settings=settings),
        progress=PeerProgress(),
        counters=CatalogCounters(metrics=metrics),
        settings=settings,
        clock=clock,
    )
    parts = _Parts(context=context, platform=platform)
    parts.listen()
    async with anyio.create_task_group() as tasks:
        for task in parts.tasks():
            tasks.start_soon(task)
        yield parts.catalog
        tasks.cancel_scope.cancel()


class _Parts:
    """The parts of one router's catalog, and what each does beside the others.

    Args:
        context: State and resources of the catalog.
        platform: The platform.

    Attributes:
        catalog: What the other services of the router use.
    """

    def __init__(self, *, context: CatalogContext, platform: Platform) -> None:
        self._context = context
        self._bulk = BulkTransfer(context=context)
        self._exchange = Exchange(context=context, bulk=self._bulk)
        self._poller = Poller(
            context=context, table=platform.records, exchange=self._exchange
        )
        self._peers = PeerReader(context=context, bulk=self._bulk, poller=self._poller)
        self._snapshots = Snapshots(context=context, objects=platform.objects)
        self._surveyor = Surveyor(context=context)
        self.catalog = LiveCatalog(
            context=context,
            table=platform.records,
            exchange=self._exchange,
            poller=self._poller,
            snapshots=self._snapshots,
            watch=CatalogWatch(
                context=context, exchange=self._exchange, surveyor=self._surveyor
            ),
        )

    def listen(self) -> None:
        """Start to answer other routers."""
        self._exchange.listen()
        self._surveyor.listen()

    def tasks(self) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """List what runs until the catalog ends."""
        return (
            self._follow_platform,
            self._ask_peers,
            self._fall_back_to_snapshot,
            self._exchange.push_forever,
            self._exchange.digest_forever,
            self._bulk.run,
            self._peers.run,
            self._snapshots.write_forever,
            self._update_gauges,
        )

    async def _follow_platform(self) -> None:
        with anyio.move_on_after(SNAPSHOT_TIMEOUT):
            await self._snapshots.load()
        await self._poller.run()

    async def _ask_peers(self) -> None:
        """Ask one peer after another for all records until they are here."""
        store, topology = self._context.store, self._context.topology
        while not store.ready:
            await anyio.sleep(PEER_DELAY)
            peers = topology.others
            if peers and not store.ready:
                await self._bulk.fetch(peer=random.choice(peers).address)

    async def _fall_back_to_snapshot(self) -> None:
        """Serve from a snapshot alone if nothing newer can be had."""
        store = self._context.store
        while not store.ready:
            await anyio.sleep(self._context.settings.snapshot_delay)
            if not store.ready and await self._has_snapshot():
                store.set_ready(source=Source.SNAPSHOT)

    async def _has_snapshot(self) -> bool:
        return bool(self._snapshots.written) or await self._snapshots.load()

    async def _update_gauges(self) -> None:
        counters = self._context.counters
        while True:
            status = self.catalog.status()
            counters.revision.set({}, status.revision)
            counters.records.set({}, status.records)
            counters.unreadable.set({}, len(status.unreadable))
            if status.platform_age is not None:
                counters.age.set({}, status.platform_age)
            await anyio.sleep(GAUGE_INTERVAL)
