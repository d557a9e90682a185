"""Fetching another member's list: to join, after a pause, and to find gaps."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.logs import get_logger
from dotterelpaddle.membership.digest import BUCKETS, bucket_of
from dotterelpaddle.membership.messages import SyncReply, SyncRequest
from dotterelpaddle.membership.rumours import size_of, topic_of
from dotterelpaddle.membership.view import Member

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.beliefs import Beliefs
    from dotterelpaddle.membership.contact import ContactTracker
    from dotterelpaddle.membership.rumours import Rumour
    from dotterelpaddle.membership.settings import MembershipSettings
    from dotterelpaddle.metrics import Metrics

log = get_logger(name=__name__)

MAX_PASSED_ON = 20
"""Differences that are told to others as news; more are left to their fetches."""

MUCH_NEWS = 5
"""Differences in one fetch after which the next one comes sooner."""

HURRY = 0.2
"""Share of the usual waiting times before that next fetch."""

SERVE_PATIENCE = 0.5
"""Seconds that a reply may wait for the byte budget, or it only names members."""

MAX_NAMED = 16
"""Members that such a reply names."""

MAX_HOPS = 3
"""Peers to ask one after the other while each only names others."""

MAX_VERIFIED = 3
"""Members that are probed after a fetch because the other one lacks them."""


class Synchronizer:
    """Fetches lists and serves this member's own one.

    Args:
        beliefs: What this member believes.
        channel: The channel to other members.
        contact: Notes that a list was fetched.
        settings: Intervals.
        metrics: Where fetches are counted.
        clock: Monotonic clock.
        source: Random numbers.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        channel: Channel,
        contact: ContactTracker,
        settings: MembershipSettings,
        metrics: Metrics,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._beliefs = beliefs
        self._channel = channel
        self._contact = contact
        self._settings = settings
        self._clock = clock
        self._source = source
        self._verify: Callable[[RouterId], None] | None = None
        self._differs_since: float | None = None
        self._differs_from: Address | None = None
        self._fetched_at = clock()
        self._found_much = False
        self._syncs = metrics.counter(
            name="membership_syncs_total",
            doc="Lists of members fetched from another one, by result.",
        )
        channel.serve(message=SyncRequest, handler=self._serve)

    def on_unconfirmed(self, *, handler: Callable[[RouterId], None]) -> None:
        """Set what to do with a member that another one does not know."""
        self._verify = handler

    def compare(self, digest: int, peer: Address) -> None:
        """Note whether another member knows the same as this one."""
        if digest == self._beliefs.digests.whole:
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = self._clock()
        self._differs_from = peer

    async def repair(self) -> None:
        """Fetch a list if lists have differed for long."""
        peer = self._differs_from
        if self._differs_since is None or peer is None:
            return
        hurry = HURRY if self._found_much else 1.0
        now = self._clock()
        if now - self._differs_since < self._settings.sync_after * hurry:
            return
        wait = self._settings.sync_interval * (0.5 + self._source.random()) * hurry
        if now - self._fetched_at < wait:
            return
        await self.fetch(peer=peer)

    async def fetch(self, *, peer: Address) -> bool:
        """Fetch what differs from a peer, and introduce this member to it.

        A peer without byte budget names others, which are asked next.

        Returns:
            Whether one answered with all that differs.
        """
        self._fetched_at = self._clock()
        self._differs_since = None
        for _ in range(MAX_HOPS):
            reply = await self._ask(peer=peer)
            if reply is None:
                return False
            self._apply(reply=reply)
            if reply.complete:
                self._contact.joined()
                return True
            named = [m.address for m in reply.rumours if isinstance(m, Member)]
            if not named:
                return False
            peer = self._source.choice(named)
        return False

    async def _ask(self, *, peer: Address) -> SyncReply | None:
        request = SyncRequest(
            sender=self._beliefs.own, digests=self._beliefs.digests.buckets
        )
        try:
            reply: SyncReply = await self._channel.fetch(
                peer=peer, message=request, timeout=self._settings.sync_timeout
            )
        except ControlError as error:
            self._syncs.inc({"result": "failed"})
            log.info("membership_sync_failed", peer=str(peer), error=str(error))
            return None
        self._syncs.inc({"result": "complete" if reply.complete else "partial"})
        return reply

    async def fetch_first(self, *, peers: tuple[Address, ...]) -> bool:
        """Fetch from several peers at once, until one has answered."""
        answered = False

        async def _fetch(peer: Address) -> None:
            nonlocal answered
            if await self.fetch(peer=peer):
                answered = True
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for peer in peers:
                tasks.start_soon(_fetch, peer)
        return answered

    async def _serve(self, request: SyncRequest, peer: Address) -> SyncReply:
        now = self._clock()
        self._contact.heard()
        buckets = self._beliefs.digests.differing(others=request.digests)
        if not request.digests:
            buckets = frozenset(range(BUCKETS))
        content = self._beliefs.content(buckets=buckets)
        self._beliefs.take_in(rumours=(request.sender,), now=now)
        size = sum(size_of(rumour=rumour) for rumour in content)
        if self._channel.bulk_delay(size=size) > SERVE_PATIENCE:
            return SyncReply(rumours=self._some(), buckets=(), complete=False)
        return SyncReply(rumours=content, buckets=tuple(sorted(buckets)))

    def _some(self) -> tuple[Rumour, ...]:
        """Choose some members that the asking one can turn to."""
        members = self._beliefs.members()
        return tuple(self._source.sample(members, min(MAX_NAMED, len(members))))

    def _apply(self, *, reply: SyncReply) -> None:
        now = self._clock()
        few = len(reply.rumours) <= MAX_PASSED_ON
        news = self._beliefs.take_in(rumours=reply.rumours, now=now, pass_on=few)
        self._found_much = news >= MUCH_NEWS
        told = {rumour.router for rumour in reply.rumours if isinstance(rumour, Member)}
        if self._verify is None:
            return
        for router in self._missing(told=told, buckets=frozenset(reply.buckets)):
            self._verify(router)

    def _missing(
        self, *, told: set[RouterId], buckets: frozenset[int]
    ) -> tuple[RouterId, ...]:
        """Find distant members that the other one does not know of."""
        roster = self._beliefs.roster
        members = (
            member
            for domain in roster.domains
            for member in roster.far(domain=domain).values()
        )
        missing = [
            member.router
            for member in members
            if member.router not in told
            and bucket_of(topic=topic_of(rumour=member)) in buckets
        ]
        return tuple(missing[:MAX_VERIFIED])
