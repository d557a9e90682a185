"""What catalogs tell each other in datagrams: pushes and digests."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.catalog import messages
from dotterelpaddle.catalog.delta_codec import pack_delta, unpack_delta
from dotterelpaddle.catalog.message_classes import Digest, DigestKind, Push
from dotterelpaddle.catalog.spread import PushOrder, Spreader
from dotterelpaddle.catalog.state import NOTHING
from dotterelpaddle.catalog.store import Source
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.catalog.bulk import BulkTransfer
    from dotterelpaddle.catalog.context import CatalogContext
    from dotterelpaddle.catalog.delta import Delta
    from dotterelpaddle.ids import Revision
    from dotterelpaddle.membership.view import Member

log = get_logger(name=__name__)

MAX_PUSH_ENTRIES = 32
"""Records that are packed to see whether they fit in a datagram."""

HOP_TIME = 0.05
"""Seconds that a message may take, so that knowledge passed on still ages."""

IDLE = 3600.0
"""Seconds between looks when nothing is due."""


class Exchange:
    """One router's side of the talk between catalogs.

    Args:
        context: State and resources of the catalog.
        bulk: Fetches what does not fit in datagrams.
    """

    def __init__(self, *, context: CatalogContext, bulk: BulkTransfer) -> None:
        self._store = context.store
        self._channel = context.channel
        self._topology = context.topology
        self._schedule = context.schedule
        self._progress = context.progress
        self._bulk = bulk
        self._counters = context.counters
        self._settings = context.settings
        self._clock = context.clock
        self._spreader = Spreader(settings=context.settings)
        own = context.topology.own
        self._random = random.Random(f"{own.router}/{own.incarnation}")
        self._wake = anyio.Event()
        self._diverged = False
        self._relayed = NOTHING
        self._packed: dict[tuple[Revision, Revision, int], bytes | None] = {}

    @property
    def diverged(self) -> bool:
        """Whether another router of the same revision holds other records."""
        return self._diverged

    def listen(self) -> None:
        """Start to take in and answer messages."""
        messages.register(channel=self._channel)
        self._channel.subscribe(message=Push, handler=self._on_push)
        self._channel.subscribe(message=Digest, handler=self._on_digest)
        self._bulk.listen()
        self._bulk.on_fetched(handler=self._relay)

    def spread(self, *, delta: Delta, delay: float = 0.0) -> None:
        """Push changes that this router was the first to learn."""
        self._assign(
            targets=self._topology.first_targets(),
            delta=delta,
            relay=not self._topology.is_small,
            delay=delay,
        )

    def spread_near(self, *, delta: Delta, delay: float) -> None:
        """Push changes that were read to those of the own failure domain.

        Other readers find them too; a failure domain that is cut off from the
        platform learns of them by digests.
        """
        topology = self._topology
        if topology.is_small:
            targets = topology.listeners
        else:
            targets = topology.roots(failure_domain=topology.own.failure_domain)
        self._assign(
            targets=targets, delta=delta, relay=not topology.is_small, delay=delay
        )

    def clear_divergence(self) -> None:
        """Note that the records were compared with the platform's."""
        self._diverged = False

    def ask(self, *, peer: Address) -> bool:
        """Ask a router how far it is; False if the byte budget is spent."""
        return self._send_digest(peer=peer, kind=DigestKind.ASK)

    async def push_forever(self) -> None:
        """Send pushes when they are due."""
        while True:
            now = self._clock()
            for order in self._spreader.take_due(now=now):
                self._push(order=order, now=now)
            due = self._spreader.next_due()
            delay = IDLE if due is None else due - self._clock()
            self._wake = anyio.Event()
            with anyio.move_on_after(max(0.0, delay)):
                await self._wake.wait()

    async def digest_forever(self) -> None:
        """Send a digest to a random member now and then."""
        while True:
            spacing = self._random.uniform(0.5, 1.5)
            await anyio.sleep(self._settings.digest_interval * spacing)
            self._forget_former_members()
            peer = self._choose_peer()
            if peer is not None:
                self._send_digest(peer=peer.address, kind=DigestKind.PLAIN)

    def _assign(
        self, *, targets: tuple[Member, ...], delta: Delta, relay: bool, delay: float
    ) -> None:
        self._spreader.assign(
            peers=[member.address for member in targets],
            base=delta.base,
            target=delta.head,
            relay=relay,
            due=self._clock() + delay,
        )
        self._wake.set()

    def _push(self, *, order: PushOrder, now: float) -> None:
        if not self._send_since(peer=order.peer, base=order.base, relay=order.relay):
            self._spreader.refused(peer=order.peer, now=now)

    def _send_since(self, *, peer: Address, base: Revision, relay: bool) -> bool:
        """Send what is newer than a revision, or say that it has to be fetched.

        Returns:
            False if the byte budget is spent.
        """
        content = self._pack_since(base=base)
        if content is None:
            return self._send_digest(peer=peer, kind=DigestKind.BULK)
        push = Push(
            revision=self._store.revision,
            age=self._age(),
            relay=relay,
            content=content,
        )
        sent = self._channel.send(peer=peer, message=push)
        self._counters.pushes.inc({"result": "sent" if sent else "refused"})
        return sent

    def _pack_since(self, *, base: Revision) -> bytes | None:
        """Pack what is newer than a revision, None if it needs TCP."""
        key = (base, self._store.revision, self._store.generation)
        if key not in self._packed:
            self._packed = {key: self._pack(base=base)}
        return self._packed[key]

    def _pack(self, *, base: Revision) -> bytes | None:
        if not base and self._store.index.kept():
            # Who has nothing also needs what is still in force instead.
            return None
        delta = self._store.state.since(base=base)
        if delta is None or len(delta.entries) > MAX_PUSH_ENTRIES:
            return None
        content = pack_delta(delta=delta)
        return content if len(content) <= self._settings.push_bytes else None

    def _send_digest(self, *, peer: Address, kind: DigestKind) -> bool:
        state = self._store.state
        digest = Digest(
            revision=state.revision,
            checksum=state.checksum if state.settled else 0,
            age=self._age(),
            kind=kind,
        )
        return self._channel.send(peer=peer, message=digest)

    def _on_push(self, push: Push, peer: Address) -> None:
        self._note_peer(peer=peer, revision=push.revision, age=push.age)
        delta = unpack_delta(push.content)
        self._take_in(delta=delta)
        self._note_peer(peer=peer, revision=push.revision, age=push.age)
        if push.relay:
            # Also if it was known already: those that follow may not know it.
            self._relay(delta)
        self._send_digest(peer=peer, kind=DigestKind.PLAIN)

    def _on_digest(self, digest: Digest, peer: Address) -> None:
        self._note_peer(peer=peer, revision=digest.revision, age=digest.age)
        own = self._store.revision
        if digest.revision < own:
            self._send_since(peer=peer, base=digest.revision, relay=False)
        elif digest.revision > own and digest.kind is DigestKind.BULK:
            self._bulk.want(peer=peer, revision=digest.revision)
        elif digest.revision > own or digest.kind is not DigestKind.PLAIN:
            self._send_digest(peer=peer, kind=DigestKind.PLAIN)
        else:
            self._compare(digest=digest)

    def _relay(self, delta: Delta) -> None:
        """Pass a change on to those that follow in the tree, once."""
        if self._topology.is_small or delta.head <= self._relayed:
            return
        self._relayed = delta.head
        targets = self._topology.relay_targets()
        self._assign(targets=targets, delta=delta, relay=True, delay=0.0)

    def _take_in(self, *, delta: Delta) -> None:
        before = self._store.revision
        self._store.apply(delta=delta, source=Source.PEER)
        if self._store.revision > before:
            self._schedule.note_revision(now=self._clock())

    def _note_peer(
        self, *, peer: Address, revision: Revision, age: float | None
    ) -> None:
        now = self._clock()
        self._spreader.heard(peer=peer, revision=revision)
        self._progress.note(peer=peer, revision=revision, now=now)
        self._schedule.note_head(heard=revision, own=self._store.revision, now=now)
        if revision <= self._store.revision:
            # Only who has all that the peer has shares its knowledge.
            self._note_age(age=age)

    def _note_age(self, *, age: float | None) -> None:
        if age is not None:
            self._schedule.note_fresh(at=self._clock() - age - HOP_TIME)

    def _age(self) -> float | None:
        fresh_at = self._schedule.fresh_at
        return None if fresh_at is None else self._clock() - fresh_at

    def _compare(self, *, digest: Digest) -> None:
        state = self._store.state
        if not digest.checksum or not state.settled:
            return
        if digest.checksum != state.checksum and not self._diverged:
            self._diverged = True
            self._counters.divergences.inc({})
            log.error("catalog_diverged", revision=state.revision)

    def _choose_peer(self) -> Member | None:
        peers = self._topology.others
        own_domain = self._topology.own.failure_domain
        near = [peer for peer in peers if peer.failure_domain == own_domain]
        far = [peer for peer in peers if peer.failure_domain != own_domain]
        go_far = self._random.random() < self._settings.cross_domain_share
        chosen = far if far and (go_far or not near) else near
        return self._random.choice(chosen) if chosen else None

    def _forget_former_members(self) -> None:
        addresses = [member.address for member in self._topology.others]
        self._spreader.forget_others(peers=addresses)
        self._progress.forget_others(peers=addresses)
