"""Reads from other routers while the platform can't be read.

While changes keep coming, the byte budget of datagrams may not carry all pushes.
Readers of the platform make up for it; a router that can't reach the platform
reads from another router instead, over TCP.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.catalog.bulk import BulkTransfer
    from dotterelpaddle.catalog.context import CatalogContext
    from dotterelpaddle.catalog.poller import Poller

PEER_TIMEOUT = 1.0
"""Seconds that another router has to answer."""


class PeerReader:
    """Reads from one router after another while that is needed.

    Args:
        context: State and resources of the catalog.
        bulk: Fetches from a router.
        poller: Knows whether the platform can be read.
    """

    def __init__(
        self, *, context: CatalogContext, bulk: BulkTransfer, poller: Poller
    ) -> None:
        self._bulk = bulk
        self._poller = poller
        self._schedule = context.schedule
        self._progress = context.progress
        self._store = context.store
        self._topology = context.topology
        self._settings = context.settings
        self._clock = context.clock

    async def run(self) -> None:
        """Read whenever it is needed, until cancelled."""
        while True:
            await anyio.sleep(self._settings.poll_interval)
            peer = self._choose() if self._is_needed() else None
            if peer is not None:
                with anyio.move_on_after(PEER_TIMEOUT):
                    await self._bulk.fetch(peer=peer)

    def _is_needed(self) -> bool:
        now = self._clock()
        return self._schedule.is_busy(now=now) and self._poller.is_stuck(now=now)

    def _choose(self) -> Address | None:
        """Choose a router that is ahead, else any."""
        peers = [member.address for member in self._topology.others]
        ahead = [peer for peer in peers if self._is_ahead(peer=peer)]
        return random.choice(ahead or peers) if peers else None

    def _is_ahead(self, *, peer: Address) -> bool:
        heard = self._progress.heard(peer=peer)
        return heard is not None and heard.revision > self._store.revision
