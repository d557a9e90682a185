"""Runs one router in a process of its own until a signal stops it."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.clock import monotonic
from dotterelpaddle.forwarding.parts import Surroundings
from dotterelpaddle.forwarding.router import run_forwarder
from dotterelpaddle.links import Links
from dotterelpaddle.logs import get_logger
from dotterelpaddle.platform.documents import PlatformDocuments
from dotterelpaddle.platform.engines import EngineCaches
from dotterelpaddle.platform.protocols import PlatformProtocols
from dotterelpaddle.platform.store import StoreSource

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.settings import ForwardSettings

log = get_logger(name=__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run(settings: ForwardSettings) -> None:
    """Run a router until it is told to stop, then shut it down gracefully."""
    links = Links()
    documents = PlatformDocuments()
    source = StoreSource(address=settings.store, documents=documents, links=links)
    surroundings = Surroundings(
        source=source,
        protocols=PlatformProtocols(),
        documents=documents,
        caches_reader=EngineCaches(links=links),
        links=links,
        clock=monotonic,
    )
    with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
        async with run_forwarder(settings=settings, surroundings=surroundings):
            async for received in signals:
                if received in STOP_SIGNALS:
                    break
                # Every setting is an address or a bound of the process itself,
                # which are in force from its start on.
                log.info("settings_unchanged", signal=received.name)
    await source.aclose()
