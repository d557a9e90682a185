"""Joining the fleet, at the start and whenever this member is stale."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.membership.contact import Contact
from dotterelpaddle.membership.view import MemberState

if TYPE_CHECKING:
    import random

    from dotterelpaddle.address import Address
    from dotterelpaddle.membership.beliefs import Beliefs
    from dotterelpaddle.membership.contact import ContactTracker
    from dotterelpaddle.membership.platform_list import PlatformList
    from dotterelpaddle.membership.settings import MembershipSettings
    from dotterelpaddle.membership.sync import Synchronizer


PRESENT_ASKED = 2
"""Members that seem present, asked at the same time for their list."""


class Joining:
    """Finds members whose list this one can fetch.

    Args:
        beliefs: What this member believes.
        sync: Fetches lists.
        platform: The platform's list.
        contact: Tells whether this member is stale.
        seeds: Addresses to join through.
        settings: Intervals.
        source: Random numbers.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        sync: Synchronizer,
        platform: PlatformList,
        contact: ContactTracker,
        seeds: tuple[Address, ...],
        settings: MembershipSettings,
        source: random.Random,
    ) -> None:
        self._beliefs = beliefs
        self._sync = sync
        self._platform = platform
        self._contact = contact
        self._seeds = seeds
        self._settings = settings
        self._source = source

    async def run(self) -> None:
        """Join whenever stale, and close gaps otherwise, until cancelled."""
        while True:
            match self._contact.state:
                case Contact.JOINING:
                    await self._join()
                case Contact.JOINED:
                    await self._sync.repair()
                    await self._meet_stranger()
                case Contact.ALONE:
                    await self._meet_stranger()
            await anyio.sleep(self._settings.probe_interval * self._source.random())

    async def _join(self) -> None:
        peers = self._peers_to_ask()
        if peers:
            await self._sync.fetch_first(peers=peers)
        elif self._platform.attempted:
            self._contact.alone()

    def _peers_to_ask(self) -> tuple[Address, ...]:
        """Choose a few addresses at random from each source.

        Members that seem present are asked two at a time: one that was paused or
        cut off a moment ago seems present too, and would hold up the joining for
        a whole timeout each time that it is drawn alone.
        """
        known = [
            member
            for member in self._beliefs.known()
            if member.router != self._beliefs.own.router
        ]
        present = [m.address for m in known if m.state is not MemberState.DEAD]
        dead = [m.address for m in known if m.state is MemberState.DEAD]
        sources = (dead, list(self._seeds), list(self._platform.strangers()))
        chosen = {self._source.choice(addresses) for addresses in sources if addresses}
        chosen.update(self._source.sample(present, min(PRESENT_ASKED, len(present))))
        return tuple(sorted(chosen - {self._beliefs.own.address}))

    async def _meet_stranger(self) -> None:
        """Introduce this member to a listed host that it does not know."""
        strangers = self._platform.strangers()
        if strangers:
            await self._sync.fetch(peer=self._source.choice(strangers))
