"""Transfers over TCP between catalogs: what does not fit in a datagram."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.catalog.chunks import pack_chunks, unpack_chunks
from dotterelpaddle.catalog.delta import Delta
from dotterelpaddle.catalog.message_classes import Bulk, Pull
from dotterelpaddle.catalog.parts import join_parts, take_part
from dotterelpaddle.catalog.state import NOTHING
from dotterelpaddle.catalog.store import Source
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.catalog.context import CatalogContext
    from dotterelpaddle.ids import Revision

log = get_logger(name=__name__)

MAX_PARTS = 1024
"""Parts in which everything is asked for, at most."""


class BulkTransfer:
    """Fetches what this router lacks, and gives others what they lack.

    Args:
        context: State and resources of the catalog.
    """

    def __init__(self, *, context: CatalogContext) -> None:
        self._store = context.store
        self._channel = context.channel
        self._topology = context.topology
        self._schedule = context.schedule
        self._counters = context.counters
        self._settings = context.settings
        self._clock = context.clock
        self._wanted: dict[Address, Revision] = {}
        self._wake = anyio.Event()
        self._handlers: list[Callable[[Delta], None]] = []

    def listen(self) -> None:
        """Start to answer other routers."""
        self._channel.serve(message=Pull, handler=self._on_pull)

    def on_fetched(self, *, handler: Callable[[Delta], None]) -> None:
        """Call a function with what was fetched because a peer had it."""
        self._handlers.append(handler)

    def want(self, *, peer: Address, revision: Revision) -> None:
        """Note that a peer has a revision that this router lacks."""
        self._wanted[peer] = revision
        self._wake.set()

    async def run(self) -> None:
        """Fetch what is wanted, one peer after another."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._wanted:
                peer, revision = self._wanted.popitem()
                base = self._store.revision
                if revision > base and await self.fetch(peer=peer):
                    self._tell(base=base)

    async def fetch(self, *, peer: Address) -> bool:
        """Fetch what a peer has and this router lacks, or everything.

        Returns:
            Whether the peer had the records and gave them.
        """
        base = self._store.revision if self._store.ready else NOTHING
        try:
            delta = await self._fetch(peer=peer, base=base)
        except ControlError as error:
            self._counters.fetches.inc({"result": "failed"})
            log.info("catalog_fetch", peer=str(peer), error=str(error))
            return False
        self._counters.fetches.inc({"result": "done"})
        before = self._store.revision
        self._store.apply(delta=delta, source=Source.PEER)
        if self._store.revision > before:
            self._schedule.note_revision(now=self._clock())
        self._store.set_ready(source=Source.PEER)
        return True

    def _tell(self, *, base: Revision) -> None:
        fetched = Delta(base=base, head=self._store.revision, entries=())
        for handler in self._handlers:
            handler(fetched)

    async def _fetch(self, *, peer: Address, base: Revision) -> Delta:
        bulk = await self._pull(peer=peer, pull=Pull(base=base))
        if bulk.parts == 1:
            return await unpack_chunks(chunks=bulk.chunks)
        return await self._fetch_parts(count=min(bulk.parts, MAX_PARTS))

    async def _fetch_parts(self, *, count: int) -> Delta:
        """Fetch everything, each part from a router chosen at random.

        Raises:
            ControlError: If a part can't be had.
        """
        parts = []
        peers = self._topology.others
        if not peers:
            raise ControlError("there is no other router to take the records from")
        for part in range(count):
            pull = Pull(base=NOTHING, part=part, parts=count)
            bulk = await self._pull(peer=random.choice(peers).address, pull=pull)
            parts.append(await unpack_chunks(chunks=bulk.chunks))
        return join_parts(parts=parts)

    async def _pull(self, *, peer: Address, pull: Pull) -> Bulk:
        """Ask a peer.

        Raises:
            ControlError: If it can't be reached or has nothing itself.
        """
        bulk: Bulk = await self._channel.fetch(
            peer=peer, message=pull, timeout=self._settings.fetch_timeout
        )
        if not bulk.ready:
            raise ControlError("the peer has no records either", peer=str(peer))
        if bulk.age is not None:
            self._schedule.note_fresh(at=self._clock() - bulk.age)
        return bulk

    async def _on_pull(self, pull: Pull, peer: Address) -> Bulk:
        delta = self._delta_for(pull=pull)
        parts = self._parts_for(pull=pull, delta=delta)
        chunks: tuple[bytes, ...] = ()
        if parts == 1:
            part = take_part(delta=delta, part=pull.part, parts=pull.parts)
            chunks = await pack_chunks(delta=part)
        fresh_at = self._schedule.fresh_at
        return Bulk(
            ready=self._store.ready,
            age=None if fresh_at is None else self._clock() - fresh_at,
            chunks=chunks,
            parts=parts,
        )

    def _delta_for(self, *, pull: Pull) -> Delta:
        since = self._store.state.since(base=pull.base) if pull.base else None
        if since is None or len(since.entries) > self._settings.part_entries:
            return self._store.full()
        return since

    def _parts_for(self, *, pull: Pull, delta: Delta) -> int:
        """Tell in how many parts to ask, 1 if the answer is short enough."""
        if pull.parts > 1:
            return 1
        return max(1, -(-len(delta.entries) // self._settings.part_entries))
