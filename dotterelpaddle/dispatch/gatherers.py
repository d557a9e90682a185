"""Which routers gather the claims of a large fleet.

At the target size a router makes far less than one claim a second, so writes
gathered within one router would hardly ever share a transaction. A few routers
therefore gather those of all. Which ones follows from the member list alone;
lists that differ cost sharing and nothing else, because the table decides.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from dotterelpaddle.membership.view import MemberState

if TYPE_CHECKING:
    from dotterelpaddle.membership.view import Member, View

SMALL_FLEET = 32
"""Members up to which each router writes its own claims."""

TRANSACTIONS_PER_SECOND = 200.0
"""Transactions that the gatherers of a fleet make together."""

_RANK_SEED = 1
_KEY_SEED = 2


class Gatherers:
    """The gatherers as this router's member list gives them.

    Args:
        view: The member list.
    """

    def __init__(self, *, view: View) -> None:
        self._view = view
        self._version = -1
        self._members: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """The gatherers, none in a small fleet."""
        if self._version != self._view.version:
            self._version = self._view.version
            self._members = choose(members=self._view.members())
        return self._members

    @property
    def spacing(self) -> float:
        """Seconds between two transactions of this router."""
        own = self._view.own.router
        if all(member.router != own for member in self.members):
            return 0.0
        return len(self.members) / TRANSACTIONS_PER_SECOND

    def find(self, *, key: str) -> Member | None:
        """Return the gatherer of a row, None if this router writes it itself."""
        members = self.members
        if not members:
            return None
        position = xxhash.xxh3_64_intdigest(key.encode(), seed=_KEY_SEED)
        member = members[position % len(members)]
        return None if member.router == self._view.own.router else member


def choose(*, members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Choose the gatherers of a fleet: as many as the root of its size."""
    alive = [member for member in members if member.state is MemberState.ALIVE]
    if len(alive) <= SMALL_FLEET:
        return ()
    alive.sort(key=_rank)
    return tuple(alive[: math.ceil(math.sqrt(len(alive)))])


def _rank(member: Member) -> int:
    return xxhash.xxh3_64_intdigest(member.router.encode(), seed=_RANK_SEED)
