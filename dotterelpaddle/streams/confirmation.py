"""Reads the endpoints anew for a decision that needs those of this moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import HistoryLost, PlatformError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import EndpointsUpdate, Source
    from dotterelpaddle.forwarding.view import FleetView

log = get_logger(name=__name__)

FAILURE_COOLDOWN_SECONDS = 1.0
"""Seconds after a failed read in which the store counts as away."""


class EndpointsConfirmation:
    """Confirms the endpoints that this router knows with the platform's store.

    Args:
        source: Store of the endpoints.
        view: The view to update.
        clock: Monotonic clock.
    """

    def __init__(self, *, source: Source, view: FleetView, clock: Clock) -> None:
        self._source = source
        self._view = view
        self._clock = clock
        self._lock = anyio.Lock()
        self._read_at = float("-inf")
        self._failed_at = float("-inf")

    async def confirm(self, *, since: float | None = None) -> bool:
        """Read what has changed; calls at the same time share one read.

        Args:
            since: Time from which on a read counts, seconds on the monotonic clock;
                None for the time of the call.

        Returns:
            Whether the store has answered a read since then.
        """
        since = self._clock() if since is None else since
        async with self._lock:
            if self._read_at >= since:
                return True
            if self._clock() - self._failed_at < FAILURE_COOLDOWN_SECONDS:
                return False
            read_at = self._clock()
            try:
                update = await self._read()
            except PlatformError as error:
                log.warning(
                    "endpoints_unconfirmed", cause=error.message, peer=error.peer
                )
                self._failed_at = self._clock()
                return False
            self._read_at = read_at
            self._view.apply_endpoints_update(update=update)
            return True

    async def _read(self) -> EndpointsUpdate:
        """Read the changes since the known revision, all endpoints if there is none."""
        known = self._view.endpoints_revision
        if known is None:
            return await self._source.endpoints()
        try:
            return await self._source.endpoints_after(after=known, wait=0.0)
        except HistoryLost as error:
            log.info("endpoints_reread", cause=str(error))
            return await self._source.endpoints()
