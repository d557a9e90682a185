"""Runs one router in its own process until a signal stops it."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.clock import monotonic
from dotterelpaddle.daemon.collector import GarbageCollector
from dotterelpaddle.forwarding.dependencies import Dependencies
from dotterelpaddle.forwarding.router import run_forwarder
from dotterelpaddle.line_logs import LineSink
from dotterelpaddle.links import Links
from dotterelpaddle.logs import Level, get_logger, log_to_sink
from dotterelpaddle.memory.resident import memory_reader
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.platform.engines import EngineCacheReader
from dotterelpaddle.platform.protocols import PlatformCodec
from dotterelpaddle.platform.router_rows import RouterRowsSource
from dotterelpaddle.platform.store import StoreSource

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator

    from dotterelpaddle.forwarding.settings import ForwardSettings

log = get_logger(name=__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_process(*, settings: ForwardSettings, listener: socket.socket) -> None:
    """Run a router until a signal stops it.

    Args:
        settings: The router's settings.
        listener: Socket that already listens for callers.
    """
    sink = LineSink(descriptor=sys.stdout.fileno())
    with log_to_sink(level=Level.INFO, sink=sink):
        anyio.run(_run, settings, listener)


async def _run(settings: ForwardSettings, listener: socket.socket) -> None:
    links = Links()
    documents = PlatformDocumentDecoder(decodes_limits=settings.admission is not None)
    source = StoreSource(address=settings.store, documents=documents, links=links)
    dependencies = Dependencies(
        source=source,
        stream_store=source,
        crash_store=source,
        registry_store=RouterRowsSource(source=source),
        protocols=PlatformCodec(),
        documents=documents,
        cache_reader=EngineCacheReader(links=links),
        links=links,
        clock=monotonic,
    )
    with (
        anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals,
        memory_reader() as memory,
    ):
        collector = GarbageCollector(memory=memory, limit=settings.memory_limit)
        async with (
            run_forwarder(
                settings=settings, dependencies=dependencies, listener=listener
            ) as router,
            anyio.create_task_group() as tasks,
        ):
            keep_running = router.components.supervisor.keep_running
            tasks.start_soon(keep_running, "garbage", collector.run)
            await _wait_for_stop(signals)
            tasks.cancel_scope.cancel()
    await source.aclose()


async def _wait_for_stop(signals: AsyncIterator[signal.Signals]) -> None:
    """Wait for a signal that stops the router."""
    async for received in signals:
        if received in STOP_SIGNALS:
            return
        # A reload changes nothing: every setting is an address or a limit of the
        # process that takes effect only at its start.
        log.info("settings_unchanged", signal=received.name)
