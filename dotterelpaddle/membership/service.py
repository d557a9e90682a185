"""The membership of one router, put together and run."""

from __future__ import annotations

import random
import secrets
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger
from dotterelpaddle.membership.beliefs import Beliefs
from dotterelpaddle.membership.bridges import Watcher
from dotterelpaddle.membership.codec import MESSAGE_TYPES
from dotterelpaddle.membership.contact import ContactTracker
from dotterelpaddle.membership.gossip import Speaker
from dotterelpaddle.membership.joining import Joining
from dotterelpaddle.membership.messages import Gossip
from dotterelpaddle.membership.platform_list import PlatformList
from dotterelpaddle.membership.probing import Probing
from dotterelpaddle.membership.settings import MembershipSettings
from dotterelpaddle.membership.sync import Synchronizer
from dotterelpaddle.membership.upkeep import Upkeep
from dotterelpaddle.membership.view import EndpointRumour, Member, MemberState

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.backing.interface import HostList
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.rumours import Rumour
    from dotterelpaddle.metrics import Metrics

log = get_logger(name=__name__)

FAREWELL_TIME = 0.02
"""Seconds that the channel gets to send a member's last word."""

INCARNATIONS_PER_SECOND = 1000
"""First incarnations that a second of the wall clock has room for.

Two processes of one router with the same incarnation could not be told apart:
others would go on asking the first one's address for ever. Milliseconds are
apart for any two starts, and still fit twice into a report's version.
"""


class Membership:
    """The members that this router knows of.

    Args:
        beliefs: What this member believes.
        speaker: Sends rumours.
        probing: Runs probes.
        platform: The platform's list.
        contact: Tells whether this member is stale.
        upkeep: Does what is due.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        speaker: Speaker,
        probing: Probing,
        platform: PlatformList,
        contact: ContactTracker,
        upkeep: Upkeep,
        clock: Clock,
    ) -> None:
        self._beliefs = beliefs
        self._speaker = speaker
        self._probing = probing
        self._platform = platform
        self._contact = contact
        self._upkeep = upkeep
        self._clock = clock

    @property
    def own(self) -> Member:
        """This router."""
        return self._beliefs.own

    @property
    def version(self) -> int:
        """Grows with each change of the list, for caches built on it."""
        return self._beliefs.version

    @property
    def stale(self) -> bool:
        """Whether this router must not act on what it believes."""
        return self._contact.stale

    @property
    def failed_probes(self) -> int:
        """Probes of this member that got no answer at all."""
        return self._probing.failed

    @property
    def deaths_declared(self) -> int:
        """Members that this one declared dead because they did not refute."""
        return self._upkeep.deaths_declared

    @property
    def asked_to_leave(self) -> bool:
        """Whether the platform lists this host as leaving on its own account."""
        return self._platform.asked_to_leave

    def members(self) -> tuple[Member, ...]:
        """All members neither dead nor unreachable, this router included."""
        return self._beliefs.members()

    def known(self) -> tuple[Member, ...]:
        """All members, dead and unreachable ones included."""
        return self._beliefs.known()

    def find(self, *, router: RouterId) -> Member | None:
        """One member by name."""
        return self._beliefs.find(router=router)

    def on_change(self, *, handler: Callable[[], None]) -> None:
        """Call a function after each change of the list."""
        self._upkeep.on_change(handler=handler)

    def spread(self, *, rumour: EndpointRumour) -> None:
        """Tell all routers of an endpoint's condition."""
        if self._beliefs.take_in(rumours=(rumour,), now=self._clock()):
            self._speaker.announce()

    def on_rumour(self, *, handler: Callable[[EndpointRumour], None]) -> None:
        """Call a function for each rumour that is news here."""
        self._beliefs.on_rumour(handler=handler)

    def rumours(self) -> tuple[EndpointRumour, ...]:
        """The newest rumour of each endpoint."""
        return self._beliefs.rumours()

    def hear(self, *, rumours: tuple[Rumour, ...]) -> None:
        """Take in rumours that another member sent by themselves."""
        self._contact.heard()
        self._beliefs.take_in(rumours=rumours, now=self._clock())

    async def leave(self) -> None:
        """Tell all routers and the platform that this one takes no new work.

        Returns at once if it is leaving already.
        """
        if self.own.state is MemberState.LEAVING:
            return
        self._beliefs.change_own(state=MemberState.LEAVING, now=self._clock())
        self._speaker.announce()
        log.info("membership_leaving", router=self.own.router)
        await self._platform.register()

    async def say_farewell(self) -> None:
        """Tell others that this member is gone, if it has left."""
        if self.own.state is not MemberState.LEAVING:
            return
        self._beliefs.change_own(state=MemberState.DEAD, now=self._clock())
        self._speaker.farewell()
        await anyio.sleep(FAREWELL_TIME)
        await self._platform.deregister()


@asynccontextmanager
async def run_membership(
    *,
    own: Member,
    channel: Channel,
    hosts: HostList,
    seeds: tuple[Address, ...],
    settings: MembershipSettings | None = None,
    metrics: Metrics,
    clock: Clock,
    wall_clock: Clock = time.time,
) -> AsyncIterator[Membership]:
    """Take part in the membership until the context ends.

    Args:
        own: This router; its incarnation is raised above earlier processes'.
        channel: The channel to other routers.
        hosts: The platform's list of hosts.
        seeds: Addresses of some routers, to join without the platform.
        settings: Intervals; the defaults fit all sizes.
        metrics: Where members are counted.
        clock: Monotonic clock.
        wall_clock: Time of day, read once. One that was set back is made up for as
            soon as others tell of the later incarnation.

    Yields:
        The membership. Its last word to others is sent only if `leave` was
        called; otherwise they notice by themselves, as after a crash.
    """
    settings = settings or MembershipSettings()
    source = random.Random(secrets.randbits(64))
    started = int(wall_clock() * INCARNATIONS_PER_SECOND)
    own = replace(own, incarnation=max(own.incarnation, started))
    for message_type in MESSAGE_TYPES:
        channel.register(message_type=message_type)
    beliefs = Beliefs(own=own, settings=settings, now=clock())
    contact = ContactTracker(
        clock=clock, pause=settings.pause, isolation=settings.isolation
    )
    speaker = Speaker(
        beliefs=beliefs, channel=channel, settings=settings, source=source
    )
    watcher = Watcher(
        bridge=own.router,
        interval=settings.far_interval,
        retry_interval=settings.probe_interval,
        timeout=settings.domain_timeout,
    )
    sync = Synchronizer(
        beliefs=beliefs,
        channel=channel,
        contact=contact,
        settings=settings,
        metrics=metrics,
        clock=clock,
        source=source,
    )
    probing = Probing(
        beliefs=beliefs,
        speaker=speaker,
        channel=channel,
        watcher=watcher,
        contact=contact,
        compare=sync.compare,
        settings=settings,
        clock=clock,
        source=source,
    )
    sync.on_unconfirmed(handler=lambda router: probing.verify(router=router))
    platform = PlatformList(
        beliefs=beliefs, hosts=hosts, settings=settings, source=source
    )
    upkeep = Upkeep(
        beliefs=beliefs,
        speaker=speaker,
        probing=probing,
        contact=contact,
        watcher=watcher,
        settings=settings,
        clock=clock,
        metrics=metrics,
    )
    joining = Joining(
        beliefs=beliefs,
        sync=sync,
        platform=platform,
        contact=contact,
        seeds=seeds,
        settings=settings,
        source=source,
    )
    membership = Membership(
        beliefs=beliefs,
        speaker=speaker,
        probing=probing,
        platform=platform,
        contact=contact,
        upkeep=upkeep,
        clock=clock,
    )
    channel.subscribe(
        message=Gossip,
        handler=lambda gossip, _: membership.hear(rumours=gossip.rumours),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upkeep.run)
        tasks.start_soon(upkeep.publish)
        tasks.start_soon(joining.run)
        tasks.start_soon(platform.follow, clock)
        yield membership
        await membership.say_farewell()
        tasks.cancel_scope.cancel()
