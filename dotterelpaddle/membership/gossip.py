"""Sends what a member has to say to the right ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.membership.messages import Ack, Gossip, Ping
from dotterelpaddle.membership.rumours import MIN_TRANSMISSIONS, Limits, transmissions
from dotterelpaddle.membership.view import Member, MemberState

if TYPE_CHECKING:
    import random

    from dotterelpaddle.address import Address
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.ids import FailureDomain
    from dotterelpaddle.membership.beliefs import Beliefs
    from dotterelpaddle.membership.rumours import Rumour
    from dotterelpaddle.membership.settings import MembershipSettings

GOSSIP_ROOM = 800
"""Bytes of rumours in a message that carries nothing else."""

PIGGYBACK_ROOM = 200
"""Bytes of rumours that travel with a ping or its answer."""

RECENT_ROOM = 300
"""Bytes of recent news for a member whose digest differs."""

STORM = 64
"""Rumours on their way from which on each is told less often.

Lists that still differ after that are fetched, which takes fewer bytes.
"""

WIDE_COPIES = 3
"""Times that a bridge tells a rumour in each failure domain that it watches."""

FAREWELL_COPIES = 2
"""Times that a leaving member's last word goes to each one that it tells."""


class Speaker:
    """Sends pings, answers and rumours.

    Args:
        beliefs: What this member believes.
        channel: The channel to other members.
        settings: Fanout.
        source: Random numbers.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        channel: Channel,
        settings: MembershipSettings,
        source: random.Random,
    ) -> None:
        self._beliefs = beliefs
        self._channel = channel
        self._settings = settings
        self._source = source

    def ping(self, *, target: Member, sequence: int) -> bool:
        """Ping a member, telling it first what is believed of it.

        Returns:
            False if the byte budget did not allow it.
        """
        rumours = self._rumours_for(member=target)
        message = Ping(
            sequence=sequence,
            target=target.router,
            sender=self._beliefs.own.router,
            incarnation=self._beliefs.own.incarnation,
            digest=self._beliefs.digests.whole,
            rumours=rumours,
        )
        return self._send(
            peer=target.address,
            message=message,
            rumours=rumours,
            wide=self._is_wide(member=target),
        )

    def acknowledge(
        self, *, peer: Address, ping: Ping, sender: Member | None, now: float
    ) -> None:
        """Answer a ping, with recent news if the other one may lack some."""
        rumours = self._rumours_for(member=sender)
        if ping.digest != self._beliefs.digests.whole:
            rumours = _joined(rumours, self._recent(now=now))
        message = Ack(
            sequence=ping.sequence,
            incarnation=self._beliefs.own.incarnation,
            digest=self._beliefs.digests.whole,
            known=sender is not None and sender.incarnation >= ping.incarnation,
            rumours=rumours,
        )
        self._send(
            peer=peer,
            message=message,
            rumours=rumours,
            wide=self._is_wide(member=sender),
        )

    def bring_up_to_date(self, *, peer: Address, now: float) -> None:
        """Send recent news to a member that may lack some."""
        rumours = self._recent(now=now)
        if rumours:
            self._channel.send(peer=peer, message=Gossip(rumours=rumours))

    def introduce(self, *, peer: Address) -> None:
        """Tell a member who this one is."""
        self._channel.send(peer=peer, message=Gossip(rumours=(self._beliefs.own,)))

    def gossip(self, *, watched: frozenset[FailureDomain]) -> None:
        """Tell some members what is news.

        Args:
            watched: Failure domains to tell as well, one member of each.
        """
        if not len(self._beliefs.queue):
            return
        self._limit(domains=watched)
        self._tell(targets=self._near_targets(), wide=False)
        self._tell(targets=self._far_targets(domains=watched), wide=True)

    def announce(self) -> None:
        """Tell some members of each failure domain at once what is news."""
        self.gossip(watched=self._beliefs.roster.domains)

    def farewell(self) -> None:
        """Tell some members that this one is gone."""
        message = Gossip(rumours=(self._beliefs.own,))
        targets = self._near_targets()
        targets += self._far_targets(domains=self._beliefs.roster.domains)
        for target in targets * FAREWELL_COPIES:
            self._channel.send(peer=target.address, message=message)

    def _limit(self, *, domains: frozenset[FailureDomain]) -> None:
        """Tell news as often as the present number of members asks for."""
        near = transmissions(
            members=len(self._beliefs.roster.near) + 1,
            multiplier=self._settings.gossip_multiplier,
        )
        if len(self._beliefs.queue) > STORM:
            near = min(near, MIN_TRANSMISSIONS)
        limits = Limits(near=near, wide=WIDE_COPIES * len(domains))
        self._beliefs.queue.limit(limits=limits)

    def _tell(self, *, targets: list[Member], wide: bool) -> None:
        for target in targets:
            rumours = self._beliefs.queue.pick(room=GOSSIP_ROOM, wide=wide)
            if not rumours:
                return
            message = Gossip(rumours=rumours)
            self._send(peer=target.address, message=message, rumours=rumours, wide=wide)

    def _near_targets(self) -> list[Member]:
        near = list(self._beliefs.roster.near.values())
        count = min(self._settings.gossip_fanout, len(near))
        return self._source.sample(near, count)

    def _far_targets(self, *, domains: frozenset[FailureDomain]) -> list[Member]:
        roster = self._beliefs.roster
        return [
            self._source.choice(list(roster.far(domain=domain).values()))
            for domain in sorted(domains & roster.domains)
        ]

    def _recent(self, *, now: float) -> tuple[Rumour, ...]:
        return self._beliefs.recent.pick(room=RECENT_ROOM, now=now)

    def _is_wide(self, *, member: Member | None) -> bool:
        if member is None:
            return True
        return member.failure_domain != self._beliefs.own.failure_domain

    def _rumours_for(self, *, member: Member | None) -> tuple[Rumour, ...]:
        """Choose rumours to travel along, above all what a member may refute."""
        wide = self._is_wide(member=member)
        picked = self._beliefs.queue.pick(room=PIGGYBACK_ROOM, wide=wide)
        if member is None or member.state not in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        ):
            return picked
        return _joined((member,), picked)

    def _send(
        self, *, peer: Address, message: Any, rumours: tuple[Rumour, ...], wide: bool
    ) -> bool:
        sent = self._channel.send(peer=peer, message=message)
        if sent:
            self._beliefs.queue.count(told=rumours, wide=wide)
        return sent


def _joined(
    first: tuple[Rumour, ...], second: tuple[Rumour, ...]
) -> tuple[Rumour, ...]:
    return (*first, *(rumour for rumour in second if rumour not in first))
