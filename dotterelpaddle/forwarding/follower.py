"""Follows the source of configuration and endpoints, and keeps the view fresh."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import HistoryLost, PlatformError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import Source
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import Revision

log = get_logger(name=__name__)

CONFIGURATION_WAIT = 1.5
"""Seconds that one call waits for a configuration.

A call that went silent is noticed a second after this, which together with a
new call stays below the two seconds within which a configuration must be in
force plus the three that count as undisturbed before.
"""

ENDPOINTS_WAIT = 0.8
"""Seconds that one call waits for changes of endpoints, as above.

Heartbeats alone change some entry a few times a second, so that calls seldom
wait as long.
"""

ENDPOINTS_PAUSE = 0.8
"""Seconds between calls for endpoints.

Without it each heartbeat of each endpoint would end a call, and every router
would make one for each; leaving must be known within two seconds.
"""

AWAY_AFTER = 1.0
"""Seconds without a usable answer after which, if calls failed, the platform
counts as away: no entry lapses in less."""

RETRY_PAUSE = 0.1
"""Seconds before a failed call is tried again; doubles up to the next one."""

LONGEST_RETRY_PAUSE = 0.5
"""Seconds before a failed call is tried again, at most.

Low enough that a platform that is back is noticed well within its two seconds.
"""


class Follower:
    """Reads from the source until cancelled.

    Args:
        source: Where configuration and endpoints are kept.
        view: What this router acts on.
        clock: Monotonic clock.
        generator: Source of jitter, so that routers do not call in step.
    """

    def __init__(
        self,
        *,
        source: Source,
        view: FleetView,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._source = source
        self._view = view
        self._clock = clock
        self._generator = generator
        self._answered_at: float | None = None
        self._failing = False

    @property
    def age(self) -> float:
        """Seconds since the source last answered; infinite if it never did."""
        if self._answered_at is None:
            return float("inf")
        return self._clock() - self._answered_at

    async def run(self) -> None:
        """Follow both kinds of news."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow, self._read_configuration, "configuration")
            tasks.start_soon(self._follow, self._read_endpoints, "endpoints")
            tasks.start_soon(self._expire)

    async def _follow(
        self,
        read: Callable[[Revision | None], Awaitable[Revision]],
        what: str,
    ) -> None:
        """Read again and again, from where the last read ended."""
        after: Revision | None = None
        pause = RETRY_PAUSE
        while True:
            try:
                after = await read(after)
                pause = RETRY_PAUSE
            except HistoryLost as error:
                log.warning("history_lost", what=what, after=after, cause=str(error))
                after = None
            except PlatformError as error:
                self._note_failure(what=what, error=error)
                await anyio.sleep(pause * self._generator.uniform(0.7, 1.3))
                pause = min(2 * pause, LONGEST_RETRY_PAUSE)

    async def _read_configuration(self, after: Revision | None) -> Revision:
        if after is None:
            read = await self._source.configuration()
        else:
            read = await self._source.configuration_after(
                after=after, wait=CONFIGURATION_WAIT
            )
        self._note_answer()
        if read.configuration is not None:
            self._view.take_configuration(configuration=read.configuration)
        if after is None and read.configuration is None:
            # Nothing is configured yet; the first version comes any moment.
            await anyio.sleep(RETRY_PAUSE)
        return read.revision

    async def _read_endpoints(self, after: Revision | None) -> Revision:
        if after is None:
            read = await self._source.endpoints()
        else:
            await anyio.sleep(ENDPOINTS_PAUSE * self._generator.uniform(0.8, 1.2))
            read = await self._source.endpoints_after(after=after, wait=ENDPOINTS_WAIT)
        self._note_answer()
        self._view.take_endpoints(read=read)
        return read.revision

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(RETRY_PAUSE)
            self._view.expire()

    def _note_answer(self) -> None:
        if self._failing and AWAY_AFTER < self.age < float("inf"):
            log.info("platform_regained", silent_for=round(self.age, 3))
            self._view.note_return()
        self._failing = False
        self._answered_at = self._clock()

    def _note_failure(self, *, what: str, error: PlatformError) -> None:
        if not self._failing:
            log.warning(
                "platform_failing", what=what, cause=error.message, peer=error.peer
            )
        self._failing = True
