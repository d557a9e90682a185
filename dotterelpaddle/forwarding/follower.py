"""Polls the source of configuration and endpoints, and keeps the view up to date."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import HistoryLost, PlatformError
from dotterelpaddle.forwarding.outages import OutageDetector
from dotterelpaddle.forwarding.store_clock import latest_time
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
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
    from dotterelpaddle.forwarding.view import FleetView

log = get_logger(name=__name__)

CONFIGURATION_WAIT_SECONDS = 1.5
"""Seconds that one call waits for a configuration.

A call without an answer times out a second after this wait. The wait, that second and
a new call together stay below the two seconds within which a configuration must be in
force plus the three seconds of undisturbed operation before.
"""

CONFIRMED_WAIT_SECONDS = 20.0
"""Seconds that one call waits while a peer confirms the version: a change still ends
the call at once, and the reports of peers reveal a stalled call."""

MAX_CONFIGURATION_AGE_SECONDS = 3.0
"""Seconds after an answer of the platform for which routers rely on the version in it:
the duration of one call with its timeout, and the delay of a report."""

ENDPOINTS_WAIT_SECONDS = 0.4
"""Seconds that one call waits for changes of endpoints; a change ends it at once."""

ENDPOINTS_INTERVAL_SECONDS = 0.6
"""Seconds between calls for endpoints by the designated reader.

Without the interval each heartbeat of each endpoint would end a call. Routers must
know of a leaving endpoint within two seconds; the rest of that time is for a report to
arrive and for a call of each router itself.
"""

MIN_ENDPOINTS_INTERVAL_SECONDS = 0.2
"""Seconds between calls for endpoints by a router whose peers have later entries."""

MAX_ENDPOINTS_AGE_SHARE = 0.7
"""Maximum age of endpoints as a share of the time within which routers must know of a
leaving endpoint: of two seconds it covers an interval, a call and a report, and leaves
time for a call of the router itself."""

PEER_CHECK_INTERVAL_SECONDS = 0.1
"""Seconds between checks of what peers report."""

GOSSIP_CHECK_INTERVAL_SECONDS = 0.3
"""Seconds between checks of what peers report if they push all updates unasked."""

MIN_RETRY_DELAY_SECONDS = 0.1
"""Seconds before the first retry of a failed call; doubles up to the maximum."""

MAX_RETRY_DELAY_SECONDS = 0.5
"""Maximum seconds before a retry of a failed call.

Low enough that the router notices a recovered platform well within two seconds.
"""


class CallReason(Enum):
    """Why a router calls the source for endpoints itself."""

    READER = "reader"
    OLD = "old"
    PEER_AHEAD = "peer_ahead"


class Follower:
    """Polls the source until cancelled.

    Args:
        source: Store of the configuration and the endpoints.
        view: The view to update.
        peer_summary: What peers report about the source.
        metrics: Counts calls.
        leaving_propagation_time: Seconds within which all routers must know of a
            leaving endpoint.
        store_clock: Receives the times of the source's answers.
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
        store_clock: StoreClock,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._source = source
        self._view = view
        self._peer_summary = peer_summary
        self._metrics = metrics
        self._max_endpoints_age = MAX_ENDPOINTS_AGE_SHARE * leaving_propagation_time
        self._clock = clock
        self._generator = generator
        self._store_clock = store_clock
        self._own_configuration_as_of: StoreTime | None = None
        self._own_endpoints_as_of: StoreTime | None = None
        self._outages = OutageDetector(on_recovery=view.note_platform_recovery)
        self._failing = False
        self._long_poll: anyio.CancelScope | None = None
        self._last_call_reason: CallReason | None = None

    @property
    def age(self) -> float:
        """Seconds since the source last answered; infinite if it never did."""
        return min(self.configuration_age, self.endpoints_age)

    @property
    def configuration_age(self) -> float:
        """Seconds since the source last answered a call for the configuration."""
        return self._store_clock.age(of=self._own_configuration_as_of)

    @property
    def endpoints_age(self) -> float:
        """Seconds since the source last answered a call for endpoints."""
        return self._store_clock.age(of=self._own_endpoints_as_of)

    @property
    def configuration_as_of(self) -> StoreTime | None:
        """When the source last confirmed the configuration to any router, if known."""
        return latest_time(
            (self._own_configuration_as_of, self._peer_summary.configuration_as_of)
        )

    @property
    def endpoints_as_of(self) -> StoreTime | None:
        """When the source last confirmed the endpoints to any router, if known."""
        return latest_time(
            (self._own_endpoints_as_of, self._peer_summary.endpoints_as_of)
        )

    @property
    def confirmed_configuration_age(self) -> float:
        """Seconds since the source confirmed the configuration to any router."""
        return self._store_clock.age(of=self.configuration_as_of)

    @property
    def confirmed_endpoints_age(self) -> float:
        """Seconds since the source confirmed the endpoints to any router."""
        return self._store_clock.age(of=self.endpoints_as_of)

    @property
    def failing(self) -> bool:
        """Whether this router's calls have failed since the source last answered."""
        return self._failing

    async def run(self) -> None:
        """Poll for the configuration and for endpoints."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow, self._read_configuration, "configuration")
            tasks.start_soon(self._follow, self._read_endpoints, "endpoints")
            tasks.start_soon(self._watch_peers)

    async def _follow(
        self,
        read: Callable[[StoreRevision | None, bool], Awaitable[StoreRevision | None]],
        what: str,
    ) -> None:
        """Repeat a read, each time from the revision where the last one ended.

        Args:
            read: Reads what has changed after a revision, given whether the last read
                was the first one to fail.
            what: What it reads, for the log.
        """
        after: StoreRevision | None = None
        lost: StoreRevision | None = None
        delay = MIN_RETRY_DELAY_SECONDS
        failures = 0
        while True:
            try:
                after = await read(after, failures == 1)
                failures = 0
                if lost is not None and after is not None:
                    _log_reread(what=what, lost=lost, revision=after)
                    lost = None
                delay = MIN_RETRY_DELAY_SECONDS
                if after is not None:
                    self._metrics.count_platform_call(call=what, result="ok")
            except HistoryLost as error:
                failures = 0
                self._metrics.count_platform_call(call=what, result="history lost")
                _log_lost(what=what, after=after, error=error)
                lost, after = after or lost, None
            except PlatformError as error:
                self._metrics.count_platform_call(call=what, result="failed")
                failures += 1
                self._record_failure(what=what, error=error, repeated=failures > 1)
                await anyio.sleep(delay * self._generator.uniform(0.7, 1.3))
                delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)

    async def _read_configuration(
        self, after: StoreRevision | None, has_just_failed: bool
    ) -> StoreRevision | None:
        requested_at = self._clock()
        if after is None:
            read = await self._source.configuration()
        elif self._must_poll:
            read = await self._source.configuration_after(
                after=after, wait=CONFIGURATION_WAIT_SECONDS
            )
        elif self._peer_summary.receives_configurations:
            await self._wait_for_poll_duty()
            # Peers may have passed on later versions meanwhile; start afresh.
            return None
        else:
            answer = await self._poll_long(after=after)
            if answer is None:
                return after
            read = answer
        self._record_answer(as_of=read.as_of, requested_at=requested_at)
        self._own_configuration_as_of = read.as_of
        self._view.apply_operator_update(update=read)
        if after is None and read.configuration is None:
            # Nothing is configured yet; the first version may come at any moment.
            await anyio.sleep(MIN_RETRY_DELAY_SECONDS)
        return read.revision

    @property
    def _must_poll(self) -> bool:
        """Whether the router can't rely on its peers for the configuration."""
        return (
            self._peer_summary.is_platform_reader
            or self.confirmed_configuration_age >= MAX_CONFIGURATION_AGE_SECONDS
        )

    async def _wait_for_poll_duty(self) -> None:
        """Wait while peers pass on each new configuration and confirm its version."""
        while self._peer_summary.receives_configurations and not self._must_poll:
            await anyio.sleep(GOSSIP_CHECK_INTERVAL_SECONDS)

    async def _poll_long(self, *, after: StoreRevision) -> OperatorUpdate | None:
        """Wait for a change; return None once no peer confirms the version."""
        with anyio.CancelScope() as scope:
            self._long_poll = scope
            try:
                return await self._source.configuration_after(
                    after=after, wait=CONFIRMED_WAIT_SECONDS
                )
            finally:
                self._long_poll = None
        return None

    async def _read_endpoints(
        self, after: StoreRevision | None, has_just_failed: bool
    ) -> StoreRevision:
        if after is None:
            requested_at = self._clock()
            read = await self._source.endpoints()
        else:
            if not has_just_failed:
                # Otherwise the connection may have gone silent; a new one may work.
                await self._wait_until_due()
            # Peers may have passed on changes since the last call.
            after = max(after, self._view.endpoints_revision or after)
            requested_at = self._clock()
            read = await self._source.endpoints_after(
                after=after, wait=ENDPOINTS_WAIT_SECONDS
            )
        self._note_endpoints_confirmed()
        self._record_answer(as_of=read.as_of, requested_at=requested_at)
        self._own_endpoints_as_of = read.as_of
        self._view.apply_endpoints_update(update=read)
        return read.revision

    async def _wait_until_due(self) -> None:
        """Wait until this router must call for endpoints itself."""
        jitter = self._generator.uniform(0.8, 1.2)
        due_at = self._clock() + ENDPOINTS_INTERVAL_SECONDS * jitter
        await anyio.sleep(MIN_ENDPOINTS_INTERVAL_SECONDS * jitter)
        while True:
            reason = self._call_reason
            if reason is CallReason.PEER_AHEAD or (reason and self._clock() >= due_at):
                self._log_call_reason(reason=reason)
                return
            await anyio.sleep(self._check_interval)

    @property
    def _call_reason(self) -> CallReason | None:
        """Why this router must call for endpoints now, None if it need not."""
        summary = self._peer_summary
        if not summary.receives_endpoints and summary.endpoints_outdated:
            return CallReason.PEER_AHEAD
        if summary.is_platform_reader:
            return CallReason.READER
        if self.confirmed_endpoints_age >= self._max_endpoints_age:
            return CallReason.OLD
        return None

    def _log_call_reason(self, *, reason: CallReason) -> None:
        if reason is self._last_call_reason:
            return
        age = self.confirmed_endpoints_age
        log.info(
            "endpoints_call_due",
            reason=reason.value,
            age=round(age, 3) if math.isfinite(age) else None,
        )
        self._last_call_reason = reason

    @property
    def _check_interval(self) -> float:
        return (
            GOSSIP_CHECK_INTERVAL_SECONDS
            if self._peer_summary.receives_configurations
            else PEER_CHECK_INTERVAL_SECONDS
        )

    async def _watch_peers(self) -> None:
        while True:
            await anyio.sleep(self._check_interval)
            self._view.expire_holds()
            self._note_endpoints_confirmed()
            confirmed = latest_time(
                (
                    self._peer_summary.configuration_as_of,
                    self._peer_summary.endpoints_as_of,
                )
            )
            self._outages.record_contact(
                at=self._clock() - self._store_clock.age(of=confirmed)
            )
            if self._must_poll and self._long_poll is not None:
                self._long_poll.cancel()

    def _note_endpoints_confirmed(self) -> None:
        self._view.note_endpoints_confirmed(
            at=self._clock() - self.confirmed_endpoints_age
        )

    def _record_answer(self, *, as_of: StoreTime | None, requested_at: float) -> None:
        """Record that the source answered."""
        if as_of is not None:
            self._store_clock.record_answer(time=as_of, requested_at=requested_at)
        self._outages.record_contact(at=self._clock())
        self._failing = False

    def _record_failure(
        self, *, what: str, error: PlatformError, repeated: bool
    ) -> None:
        if repeated:
            self._outages.record_failures()
        if not self._failing:
            log.warning(
                "platform_failing", what=what, cause=error.message, peer=error.peer
            )
        self._failing = True


def _log_lost(*, what: str, after: StoreRevision | None, error: HistoryLost) -> None:
    log.warning(
        "history_lost",
        what=what,
        era=None if after is None else after.era,
        after=None if after is None else after.number,
        cause=str(error),
    )


def _log_reread(*, what: str, lost: StoreRevision, revision: StoreRevision) -> None:
    log.info(
        "history_reread",
        what=what,
        lost_era=lost.era,
        lost=lost.number,
        era=revision.era,
        revision=revision.number,
    )
