"""What a member does again and again: probes, watches, gossip, expiry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger
from dotterelpaddle.membership.pace import Pace
from dotterelpaddle.membership.view import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.membership.beliefs import Beliefs
    from dotterelpaddle.membership.bridges import Watcher
    from dotterelpaddle.membership.contact import ContactTracker
    from dotterelpaddle.membership.gossip import Speaker
    from dotterelpaddle.membership.probing import Probing
    from dotterelpaddle.membership.settings import MembershipSettings
    from dotterelpaddle.metrics import Metrics

log = get_logger(name=__name__)

PUBLISH_INTERVAL = 2.0
"""Seconds between updates of the metrics."""


class Upkeep:
    """Does what is due at each tick.

    Args:
        beliefs: What this member believes.
        speaker: Sends rumours.
        probing: Runs probes.
        contact: Keeps track of pauses and of silence.
        watcher: The watch over other failure domains.
        settings: Intervals.
        clock: Monotonic clock.
        metrics: Where members are counted.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        speaker: Speaker,
        probing: Probing,
        contact: ContactTracker,
        watcher: Watcher,
        settings: MembershipSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._beliefs = beliefs
        self._speaker = speaker
        self._probing = probing
        self._contact = contact
        self._watcher = watcher
        self._settings = settings
        self._clock = clock
        self._pace = Pace(interval=settings.tick)
        self._handlers: list[Callable[[], None]] = []
        self._told_version = -1
        self._told_failed = 0
        self._deaths_declared = 0
        self._gossip_at = clock()
        self._members_gauge = metrics.gauge(
            name="membership_members", doc="Members by state, as seen here."
        )
        self._pauses = metrics.counter(
            name="membership_pauses_total", doc="Times that this process was paused."
        )
        self._failures = metrics.counter(
            name="membership_failed_probes_total",
            doc="Probes that got no answer, neither directly nor through relays.",
        )
        self._deaths = metrics.counter(
            name="membership_deaths_total",
            doc="Members that this one declared dead because they did not refute.",
        )

    @property
    def deaths_declared(self) -> int:
        """Members that this one declared dead because they did not refute."""
        return self._deaths_declared

    def on_change(self, *, handler: Callable[[], None]) -> None:
        """Call a function after each change of the list."""
        self._handlers.append(handler)

    async def run(self) -> None:
        """Do what is due, until cancelled."""
        while True:
            self._tick()
            await anyio.sleep(self._settings.tick)

    async def publish(self) -> None:
        """Update the metrics now and then, until cancelled."""
        while True:
            self._publish()
            await anyio.sleep(PUBLISH_INTERVAL)

    def _tick(self) -> None:
        now = self._clock()
        gap = self._contact.tick(has_others=not self._beliefs.roster.is_empty)
        if self._contact.is_pause(gap=gap):
            self._resume(paused=gap, now=now)
        else:
            self._make_up(late=self._pace.tick(gap=gap))
        self._probing.tick(now=now)
        self._watch(now=now)
        self._expire(now=now)
        if now >= self._gossip_at:
            self._gossip_at = now + self._settings.gossip_interval
            self._speaker.gossip(watched=self._watcher.watched)
        self._tell_change()

    def _expire(self, *, now: float) -> None:
        for member in self._beliefs.expire(now=now):
            self._deaths_declared += 1
            self._deaths.inc({})
            log.warning("membership_dead", router=member.router)

    def _resume(self, *, paused: float, now: float) -> None:
        """Give others the time back that this process was paused."""
        log.warning("membership_paused", seconds=paused)
        self._pauses.inc({})
        self._probing.cancel()
        self._watcher.postpone(now=now)
        self._beliefs.postpone(seconds=paused)

    def _make_up(self, *, late: float) -> None:
        """Give others the time that this process was too slow to hear them."""
        self._probing.allow(patience=self._pace.patience)
        self._beliefs.allow(patience=self._pace.patience)
        if late > 0:
            self._probing.postpone(seconds=late)
            self._beliefs.postpone(seconds=late)

    def _watch(self, *, now: float) -> None:
        if self._contact.stale:
            return
        unreachable = self._beliefs.unreachable
        domains = frozenset(
            domain
            for domain in self._beliefs.roster.domains
            if self._beliefs.own.router in self._beliefs.bridges(domain=domain)
        )
        begun = self._watcher.watch(domains=domains, unreachable=unreachable, now=now)
        for domain in begun | self._watcher.judge(now=now):
            report = self._watcher.report(
                domain=domain, incarnation=self._beliefs.own.incarnation
            )
            self._beliefs.take_in(rumours=(report,), now=now)

    def _tell_change(self) -> None:
        if self._told_version == self._beliefs.version:
            return
        self._told_version = self._beliefs.version
        for handler in self._handlers:
            try:
                handler()
            # The membership goes on, whatever a handler does.
            except Exception as error:
                log.error("membership_change_handler", error=repr(error))

    def _publish(self) -> None:
        """Update the metrics."""
        failed = self._probing.failed - self._told_failed
        self._told_failed += failed
        self._failures.add({}, failed)
        counts = dict.fromkeys(MemberState, 0)
        for member in self._beliefs.known():
            counts[member.state] += 1
        for state, count in counts.items():
            self._members_gauge.set({"state": state.value}, count)
