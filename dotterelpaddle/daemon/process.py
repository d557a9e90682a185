"""Runs one router in a process of its own until a signal stops it."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.clock import monotonic
from dotterelpaddle.forwarding.components import Dependencies
from dotterelpaddle.forwarding.router import run_forwarder
from dotterelpaddle.line_logs import LineSink
from dotterelpaddle.links import Links
from dotterelpaddle.logs import Level, get_logger, log_to_sink
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.platform.engines import EngineCacheReader
from dotterelpaddle.platform.protocols import PlatformCodec
from dotterelpaddle.platform.store import StoreSource

if TYPE_CHECKING:
    import socket

    from dotterelpaddle.forwarding.settings import ForwardSettings

log = get_logger(name=__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_process(*, settings: ForwardSettings, listener: socket.socket) -> None:
    """Run a router until a signal stops it.

    Args:
        settings: The router's settings.
        listener: Where it listens for callers already.
    """
    sink = LineSink(descriptor=sys.stdout.fileno())
    with log_to_sink(level=Level.INFO, sink=sink):
        anyio.run(_run, settings, listener)


async def _run(settings: ForwardSettings, listener: socket.socket) -> None:
    links = Links()
    documents = PlatformDocumentDecoder()
    source = StoreSource(address=settings.store, documents=documents, links=links)
    surroundings = Dependencies(
        source=source,
        protocols=PlatformCodec(),
        documents=documents,
        cache_reader=EngineCacheReader(links=links),
        links=links,
        clock=monotonic,
    )
    with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
        async with run_forwarder(
            settings=settings, surroundings=surroundings, listener=listener
        ):
            async for received in signals:
                if received in STOP_SIGNALS:
                    break
                # Every setting is an address or a bound of the process itself,
                # which are in force from its start on.
                log.info("settings_unchanged", signal=received.name)
    await source.aclose()
