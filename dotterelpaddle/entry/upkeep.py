"""What runs beside the requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import PlatformError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.dispatch.canceller import Canceller
    from dotterelpaddle.dispatch.claim_results import WritesClaims
    from dotterelpaddle.dispatch.claim_sweeper import ClaimSweeper
    from dotterelpaddle.dispatch.claim_writer import ClaimWriter
    from dotterelpaddle.dispatch.hedge import Hedger
    from dotterelpaddle.endpoint.caller import EndpointCaller

log = get_logger(name=__name__)

CONNECTION_INTERVAL = 5.0
"""Seconds between looks for connections that are too old."""

STRAY_INTERVAL = 2.0
"""Seconds between tries to clear up claims of unknown fate."""

RESTART_WAIT = 0.5
"""Seconds before a service that failed runs again."""


class Upkeep:
    """Writes and sweeps claims and closes old connections.

    Args:
        writer: Writes claims.
        shared: Writes claims by way of other routers where that saves writes.
        sweeper: Deletes expired claims.
        hedger: Sends second attempts for late ones.
        canceller: Cancels attempts that were given up.
        caller: Keeps connections to endpoints.
    """

    def __init__(
        self,
        *,
        writer: ClaimWriter,
        shared: WritesClaims,
        sweeper: ClaimSweeper,
        hedger: Hedger,
        canceller: Canceller,
        caller: EndpointCaller,
    ) -> None:
        self._writer = writer
        self._shared = shared
        self._sweeper = sweeper
        self._hedger = hedger
        self._canceller = canceller
        self._caller = caller

    async def run(self) -> None:
        """Run until cancelled, then close all idle connections."""
        services = {
            "claim writer": self._writer.run,
            "claim sweeper": self._sweeper.run,
            "hedger": self._hedger.run,
            "canceller": self._canceller.run,
            "stray claims": self._clear_strays,
            "old connections": self._discard_expired,
        }
        try:
            async with anyio.create_task_group() as tasks:
                for name, service in services.items():
                    tasks.start_soon(_keep_up, name, service)
        finally:
            with anyio.CancelScope(shield=True):
                await self._caller.aclose()

    async def _clear_strays(self) -> None:
        while True:
            await anyio.sleep(STRAY_INTERVAL)
            try:
                await self._shared.clear_strays()
            except PlatformError:
                continue

    async def _discard_expired(self) -> None:
        while True:
            await anyio.sleep(CONNECTION_INTERVAL)
            await self._caller.discard_expired()


async def _keep_up(name: str, service: Callable[[], Awaitable[None]]) -> None:
    """Run a service again if it fails, so that one fault does not stop a router."""
    while True:
        try:
            await service()
        except Exception as error:
            log.error("upkeep_crashed", service=name, cause=repr(error))
        await anyio.sleep(RESTART_WAIT)
