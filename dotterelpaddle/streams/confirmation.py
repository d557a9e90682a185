"""Reads the endpoints anew for a decision that needs those of this moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import PlatformError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import Source
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

    async def confirm(self) -> bool:
        """Read all endpoints; calls at the same time share one read.

        Returns:
            Whether the store has answered since the call.
        """
        called_at = self._clock()
        async with self._lock:
            if self._read_at >= called_at:
                return True
            if self._clock() - self._failed_at < FAILURE_COOLDOWN_SECONDS:
                return False
            read_at = self._clock()
            try:
                update = await self._source.endpoints()
            except PlatformError as error:
                log.warning(
                    "endpoints_unconfirmed", cause=error.message, peer=error.peer
                )
                self._failed_at = self._clock()
                return False
            self._read_at = read_at
            self._view.apply_endpoints_update(update=update)
            return True
