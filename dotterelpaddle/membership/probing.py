"""Probes of members and their answers, on the channel."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dotterelpaddle.membership.messages import Ack, Ping, RelayReply, RelayRequest
from dotterelpaddle.membership.prober import (
    SEQUENCE_BITS,
    Action,
    AskRelays,
    Probe,
    ProbeFailed,
    Prober,
    Ring,
    SendPing,
    sequences_from,
)
from dotterelpaddle.membership.view import Member, MemberState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.membership.beliefs import Beliefs
    from dotterelpaddle.membership.bridges import Watcher
    from dotterelpaddle.membership.contact import ContactTracker
    from dotterelpaddle.membership.gossip import Speaker
    from dotterelpaddle.membership.settings import MembershipSettings

RELAY_MEMORY = 2.0
"""Seconds that a relayed ping waits for its answer."""

LOST_PROBERS = 4
"""Members of a failure domain above which they share probes of dead members."""

MAX_RELAYED = 256
"""Relayed pings that may wait; further requests are not served."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Relayed:
    """A ping on behalf of another member.

    Attributes:
        peer: Who asked for it.
        sequence: The asking member's number.
        expires_at: When it is forgotten, seconds on the monotonic clock.
    """

    peer: Address
    sequence: int
    expires_at: float


class Probing:
    """Runs this member's probes and answers those of others.

    Args:
        beliefs: What this member believes.
        speaker: Sends messages.
        channel: The channel to other members.
        watcher: The watch over other failure domains.
        contact: Notes that others were heard.
        compare: Called with another member's digest and address.
        settings: Intervals and attempts.
        clock: Monotonic clock.
        source: Random numbers.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        speaker: Speaker,
        channel: Channel,
        watcher: Watcher,
        contact: ContactTracker,
        compare: Callable[[int, Address], None],
        settings: MembershipSettings,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._beliefs = beliefs
        self._speaker = speaker
        self._channel = channel
        self._watcher = watcher
        self._contact = contact
        self._compare = compare
        self._settings = settings
        self._clock = clock
        self._source = source
        self._sequences = sequences_from(first=source.getrandbits(SEQUENCE_BITS))
        self._near = Prober(
            settings=settings, source=source, sequences=self._sequences, now=clock()
        )
        self._once = Prober(
            settings=replace(settings, probe_attempts=1),
            source=source,
            sequences=self._sequences,
            now=clock(),
        )
        self._far_rings: dict[FailureDomain, Ring] = {}
        self._lost_ring = Ring(source=source)
        self._lost_at = clock() + source.random() * settings.far_interval
        self._relayed: dict[int, _Relayed] = {}
        self._failed = 0
        channel.subscribe(message=Ping, handler=self._on_ping)
        channel.subscribe(message=Ack, handler=self._on_ack)
        channel.subscribe(message=RelayRequest, handler=self._on_relay_request)
        channel.subscribe(message=RelayReply, handler=self._on_relay_reply)

    @property
    def failed(self) -> int:
        """Probes that got no answer at all."""
        return self._failed

    def tick(self, *, now: float) -> None:
        """Do what is due."""
        near = frozenset(self._beliefs.roster.near)
        for action in self._near.tick(candidates=near, now=now):
            self._perform(action=action, now=now)
        self._once.tick(candidates=frozenset(), now=now)
        self._probe_far(now=now)
        if now >= self._lost_at:
            self._lost_at = now + self._lost_interval()
            self._probe_lost(now=now)
        self._forget_relayed(now=now)

    def verify(self, *, router: RouterId) -> None:
        """Probe a member out of turn that another one does not know."""
        now = self._clock()
        for action in self._near.start(target=router, now=now):
            self._perform(action=action, now=now)

    def allow(self, *, patience: float) -> None:
        """Set how much longer than usual probes wait."""
        self._near.patience = patience
        self._once.patience = patience

    def postpone(self, *, seconds: float) -> None:
        """Give all probes more time, after this process was slow."""
        self._near.postpone(seconds=seconds)
        self._once.postpone(seconds=seconds)

    def cancel(self) -> None:
        """Drop probes whose answers this process can't have seen."""
        self._near.cancel()
        self._once.cancel()

    def _perform(self, *, action: Action, now: float) -> None:
        match action:
            case SendPing(probe=probe):
                if not self._ping(probe=probe):
                    # A member that was not asked must not be taken for silent.
                    self._near.not_sent(sequence=probe.sequence)
            case AskRelays(probe=probe):
                self._ask_relays(router=probe.target, sequence=probe.sequence)
            case ProbeFailed(probe=probe):
                self._fail(probe=probe, now=now)

    def _ping(self, *, probe: Probe) -> bool:
        """Ping the target of a probe; False if that was not possible."""
        target = self._beliefs.statement(router=probe.target)
        if target is None:
            return False
        if probe.attempt == 1:
            probe.incarnation = target.incarnation
        return self._speaker.ping(target=target, sequence=probe.sequence)

    def _fail(self, *, probe: Probe, now: float) -> None:
        """Suspect the member that was probed, unless it is another one by now.

        It may have refuted or started again while earlier pings were under way.
        """
        target = self._beliefs.statement(router=probe.target)
        if target is None or target.state is MemberState.DEAD:
            return
        if target.incarnation == probe.incarnation:
            self._failed += 1
            self._beliefs.suspect(router=probe.target, now=now)

    def _ask_relays(self, *, router: RouterId, sequence: int) -> None:
        target = self._beliefs.statement(router=router)
        if target is None:
            return
        message = RelayRequest(sequence=sequence, target=target)
        for relay in self._relays_for(router=router):
            self._channel.send(peer=relay.address, message=message)

    def _relays_for(self, *, router: RouterId) -> list[Member]:
        """Choose relays, from the own failure domain if it has enough."""
        relays = [m for m in self._beliefs.roster.near.values() if m.router != router]
        if len(relays) < self._settings.relays:
            relays = [
                member
                for member in self._beliefs.members()
                if member.router not in (router, self._beliefs.own.router)
            ]
        count = min(self._settings.relays, len(relays))
        return self._source.sample(relays, count)

    def _probe_far(self, *, now: float) -> None:
        """Ping one member of each failure domain that this one watches."""
        roster = self._beliefs.roster
        for domain in self._watcher.due(now=now) & roster.domains:
            ring = self._far_rings.setdefault(domain, Ring(source=self._source))
            candidates = frozenset(roster.far(domain=domain))
            if self._probe_once(router=ring.next(candidates=candidates), now=now):
                self._watcher.asked(domain=domain, now=now)

    def _probe_lost(self, *, now: float) -> None:
        """Ping a dead member, so that one that was only cut off is found."""
        dead = frozenset(self._beliefs.roster.dead)
        self._probe_once(router=self._lost_ring.next(candidates=dead), now=now)

    def _lost_interval(self) -> float:
        """Share the probes of dead members among the failure domain."""
        share = max(1.0, len(self._beliefs.roster.near) / LOST_PROBERS)
        return self._settings.far_interval * share

    def _probe_once(self, *, router: RouterId | None, now: float) -> bool:
        """Ping a member whose silence means nothing by itself.

        Returns:
            Whether it was asked.
        """
        if router is None:
            return False
        actions = self._once.start(target=router, now=now)
        return any(
            self._ping(probe=action.probe)
            for action in actions
            if isinstance(action, SendPing)
        )

    def _on_ping(self, ping: Ping, peer: Address) -> None:
        if ping.target != self._beliefs.own.router:
            return
        self._contact.heard()
        now = self._clock()
        self._beliefs.take_in(rumours=ping.rumours, now=now)
        sender = self._beliefs.statement(router=ping.sender)
        self._speaker.acknowledge(peer=peer, ping=ping, sender=sender, now=now)
        self._compare(ping.digest, peer)

    def _on_ack(self, ack: Ack, peer: Address) -> None:
        self._contact.heard()
        self._beliefs.take_in(rumours=ack.rumours, now=self._clock())
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None:
            reply = RelayReply(sequence=relayed.sequence, incarnation=ack.incarnation)
            self._channel.send(peer=relayed.peer, message=reply)
            return
        self._note_answer(sequence=ack.sequence, incarnation=ack.incarnation)
        if not ack.known:
            self._speaker.introduce(peer=peer)
        if ack.digest != self._beliefs.digests.whole:
            self._speaker.bring_up_to_date(peer=peer, now=self._clock())
        self._compare(ack.digest, peer)

    def _on_relay_request(self, request: RelayRequest, peer: Address) -> None:
        if len(self._relayed) >= MAX_RELAYED:
            return
        sequence = next(self._sequences)
        self._relayed[sequence] = _Relayed(
            peer=peer,
            sequence=request.sequence,
            expires_at=self._clock() + RELAY_MEMORY,
        )
        self._speaker.ping(target=request.target, sequence=sequence)

    def _on_relay_reply(self, reply: RelayReply, peer: Address) -> None:
        self._contact.heard()
        self._note_answer(sequence=reply.sequence, incarnation=reply.incarnation)

    def _note_answer(self, *, sequence: int, incarnation: int) -> None:
        router = self._near.answered(sequence=sequence)
        if router is None:
            router = self._once.answered(sequence=sequence)
        if router is None:
            return
        self._beliefs.answered(router=router, incarnation=incarnation)
        member = self._beliefs.statement(router=router)
        if member is not None:
            self._watcher.answered(domain=member.failure_domain, now=self._clock())

    def _forget_relayed(self, *, now: float) -> None:
        """Drop relayed pings that were not answered; the oldest come first."""
        while self._relayed:
            oldest = next(iter(self._relayed))
            if self._relayed[oldest].expires_at > now:
                return
            del self._relayed[oldest]
