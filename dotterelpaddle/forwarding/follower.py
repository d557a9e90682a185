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
    from dotterelpaddle.forwarding.interface import (
        OperatorUpdate,
        PeerStatus,
        Source,
    )
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import Revision

log = get_logger(name=__name__)

CONFIGURATION_WAIT_SECONDS = 1.5
"""Seconds that one call waits for a configuration.

A call that went silent is noticed a second after this, which together with a
new call stays below the two seconds within which a configuration must be in
force plus the three that count as undisturbed before.
"""

CONFIRMED_WAIT_SECONDS = 20.0
"""The same while another router vouches for the version: an answer still comes at
once, and one that went silent shows by what the other routers say."""

MAX_CONFIGURATION_AGE_SECONDS = 3.0
"""Seconds since the word of the platform for which a version is relied on: one call
and its time to answer, and a report on its way."""

ENDPOINTS_WAIT_SECONDS = 0.4
"""Seconds that one call waits for changes of endpoints; a change ends it at once."""

ENDPOINTS_INTERVAL_SECONDS = 0.6
"""Seconds between calls for endpoints by the one that reads for all.

Without it each heartbeat of each endpoint would end a call. Leaving must be known
within two seconds; a report and a call of each router's own come after this.
"""

MIN_ENDPOINTS_INTERVAL_SECONDS = 0.2
"""Seconds between calls for endpoints by a router that others are ahead of."""

MAX_ENDPOINTS_AGE_SHARE = 0.7
"""Share of the time in which a leaving endpoint must be known for which the word of
the platform is relied on: of two seconds a pause, a call and a report, which leaves
time for a call of one's own."""

PEER_CHECK_INTERVAL_SECONDS = 0.1
"""Seconds between looks at what other routers vouch for."""

GOSSIP_CHECK_INTERVAL_SECONDS = 0.3
"""The same where others pass all news on, which come in by themselves."""

OUTAGE_AFTER_FAILURE_SECONDS = 1.0
"""Seconds in which nobody heard from the source, and calls failed, after which it
was away: no entry lapses in less."""

OUTAGE_SECONDS = MAX_CONFIGURATION_AGE_SECONDS
"""The same where no call has failed yet: a call that goes silent takes as long."""

MIN_RETRY_DELAY_SECONDS = 0.1
"""Seconds before a failed call is tried again; doubles up to the next one."""

MAX_RETRY_DELAY_SECONDS = 0.5
"""Seconds before a failed call is tried again, at most.

Low enough that a platform that is back is noticed well within its two seconds.
"""


class Follower:
    """Reads from the source until cancelled.

    Args:
        source: Where configuration and endpoints are kept.
        view: What this router acts on.
        peer_summary: What other routers vouch for.
        metrics: Counts calls.
        leaving_propagation_time: Seconds in which a leaving endpoint must be known.
        clock: Monotonic clock.
        generator: Source of jitter, so that routers do not call in step.
    """

    def __init__(
        self,
        *,
        source: Source,
        view: FleetView,
        peer_summary: PeerStatus,
        metrics: ForwardMetrics,
        leaving_propagation_time: float,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._source = source
        self._view = view
        self._peer_summary = peer_summary
        self._metrics = metrics
        self._endpoints_trust = MAX_ENDPOINTS_AGE_SHARE * leaving_propagation_time
        self._clock = clock
        self._generator = generator
        self._configuration_at = float("-inf")
        self._endpoints_at = float("-inf")
        self._heard_at = float("-inf")
        self._failing = False
        self._failed_since_heard = False
        self._long_call: anyio.CancelScope | None = None

    @property
    def age(self) -> float:
        """Seconds since the source last answered; infinite if it never did."""
        return min(self.configuration_age, self.endpoints_age)

    @property
    def configuration_age(self) -> float:
        """Seconds since it last told the configuration."""
        return self._clock() - self._configuration_at

    @property
    def endpoints_age(self) -> float:
        """Seconds since it last told the endpoints."""
        return self._clock() - self._endpoints_at

    @property
    def failing(self) -> bool:
        """Whether its own calls have failed since the source last answered it."""
        return self._failing

    async def run(self) -> None:
        """Follow both kinds of news."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow, self._read_configuration, "configuration")
            tasks.start_soon(self._follow, self._read_endpoints, "endpoints")
            tasks.start_soon(self._keep_looking)

    async def _follow(
        self,
        read: Callable[[Revision | None], Awaitable[Revision | None]],
        what: str,
    ) -> None:
        """Read again and again, from where the last read ended."""
        after: Revision | None = None
        pause = MIN_RETRY_DELAY_SECONDS
        while True:
            try:
                after = await read(after)
                pause = MIN_RETRY_DELAY_SECONDS
                if after is not None:
                    self._metrics.count_platform_call(call=what, result="ok")
            except HistoryLost as error:
                self._metrics.count_platform_call(call=what, result="history lost")
                log.warning("history_lost", what=what, after=after, cause=str(error))
                after = None
            except PlatformError as error:
                self._metrics.count_platform_call(call=what, result="failed")
                self._note_failure(what=what, error=error)
                await anyio.sleep(pause * self._generator.uniform(0.7, 1.3))
                pause = min(2 * pause, MAX_RETRY_DELAY_SECONDS)

    async def _read_configuration(self, after: Revision | None) -> Revision | None:
        if after is None:
            read = await self._source.configuration()
        elif self._must_look_itself:
            read = await self._source.configuration_after(
                after=after, wait=CONFIGURATION_WAIT_SECONDS
            )
        elif self._peer_summary.receives_configurations:
            await self._until_on_its_own()
            # What others passed on meanwhile makes all that came before it old.
            return None
        else:
            answer = await self._wait_long(after=after)
            if answer is None:
                return after
            read = answer
        self._configuration_at = self._note_answer()
        self._view.apply_operator_update(update=read)
        if after is None and read.configuration is None:
            # Nothing is configured yet; the first version comes any moment.
            await anyio.sleep(MIN_RETRY_DELAY_SECONDS)
        return read.revision

    @property
    def _must_look_itself(self) -> bool:
        """Whether no one else's word on the configuration is to be relied on."""
        age = min(self.configuration_age, self._peer_summary.configuration_age)
        return (
            self._peer_summary.is_platform_reader
            or age >= MAX_CONFIGURATION_AGE_SECONDS
        )

    async def _until_on_its_own(self) -> None:
        """Wait while others pass on each new configuration, and vouch for it."""
        while self._peer_summary.receives_configurations and not self._must_look_itself:
            await anyio.sleep(GOSSIP_CHECK_INTERVAL_SECONDS)

    async def _wait_long(self, *, after: Revision) -> OperatorUpdate | None:
        """Wait for a change; None if nobody vouches for the version any more."""
        with anyio.CancelScope() as scope:
            self._long_call = scope
            try:
                return await self._source.configuration_after(
                    after=after, wait=CONFIRMED_WAIT_SECONDS
                )
            finally:
                self._long_call = None
        return None

    async def _read_endpoints(self, after: Revision | None) -> Revision:
        if after is None:
            read = await self._source.endpoints()
        else:
            await self._until_due()
            # Others may have passed on what came since the last call.
            after = max(after, self._view.endpoints_revision or after)
            read = await self._source.endpoints_after(
                after=after, wait=ENDPOINTS_WAIT_SECONDS
            )
        self._endpoints_at = self._note_answer()
        self._view.apply_endpoints_update(update=read)
        return read.revision

    async def _until_due(self) -> None:
        """Wait until this router has to ask for endpoints itself."""
        jitter = self._generator.uniform(0.8, 1.2)
        due_at = self._clock() + ENDPOINTS_INTERVAL_SECONDS * jitter
        await anyio.sleep(MIN_ENDPOINTS_INTERVAL_SECONDS * jitter)
        while (
            self._peer_summary.receives_endpoints
            or not self._peer_summary.endpoints_outdated
        ):
            age = min(self.endpoints_age, self._peer_summary.endpoints_age)
            due = self._peer_summary.is_platform_reader or age >= self._endpoints_trust
            if due and self._clock() >= due_at:
                return
            await anyio.sleep(self._look_pause)

    @property
    def _look_pause(self) -> float:
        return (
            GOSSIP_CHECK_INTERVAL_SECONDS
            if self._peer_summary.receives_configurations
            else PEER_CHECK_INTERVAL_SECONDS
        )

    async def _keep_looking(self) -> None:
        while True:
            await anyio.sleep(self._look_pause)
            self._view.expire_holds()
            others = min(
                self._peer_summary.configuration_age, self._peer_summary.endpoints_age
            )
            self._note_heard(at=self._clock() - others)
            if self._must_look_itself and self._long_call is not None:
                self._long_call.cancel()

    def _note_answer(self) -> float:
        """Note that the source answered, and return when."""
        now = self._clock()
        self._note_heard(at=now)
        self._failing = False
        return now

    def _note_heard(self, *, at: float) -> None:
        """Note when anyone last heard from the source, and whether it was away."""
        if at <= self._heard_at:
            return
        silent_for = at - self._heard_at
        away = (
            OUTAGE_AFTER_FAILURE_SECONDS if self._failed_since_heard else OUTAGE_SECONDS
        )
        if away < silent_for < float("inf"):
            log.info("platform_regained", silent_for=round(silent_for, 3))
            self._view.note_platform_recovery()
        self._heard_at = at
        self._failed_since_heard = False

    def _note_failure(self, *, what: str, error: PlatformError) -> None:
        self._failed_since_heard = True
        if not self._failing:
            log.warning(
                "platform_failing", what=what, cause=error.message, peer=error.peer
            )
        self._failing = True
