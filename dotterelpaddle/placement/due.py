"""When owners have to be refreshed, in order of time.

A router has requests at few of the fleet's endpoints. So their owners are looked
at when something about them is due, and all others never.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sortedcontainers import SortedSet

if TYPE_CHECKING:
    from dotterelpaddle.ids import RouterId


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class OwnerInShard:
    """An owner of some endpoints of a shard.

    Attributes:
        shard: The shard's tag.
        router: The owner.
    """

    shard: int
    router: RouterId


class DueTimes:
    """When each owner has to be looked at; nobody is kept without a time."""

    def __init__(self) -> None:
        self._order: SortedSet = SortedSet()
        self._due: dict[OwnerInShard, float] = {}

    def __len__(self) -> int:
        return len(self._due)

    def schedule(self, *, owner: OwnerInShard, due: float) -> None:
        """Look at an owner at a time; of two times the earlier counts."""
        known = self._due.get(owner)
        if known is not None and known <= due:
            return
        if known is not None:
            self._order.discard((known, owner))
        self._due[owner] = due
        self._order.add((due, owner))

    def take(self, *, now: float) -> list[OwnerInShard]:
        """Take the owners whose time has come."""
        taken: list[OwnerInShard] = []
        while self._order and self._order[0][0] <= now:
            _, owner = self._order.pop(0)
            del self._due[owner]
            taken.append(owner)
        return taken


class LateOwners:
    """Owners whose time has come, the most urgent first.

    They wait here while the pace allows no more messages, so that each message
    costs the same however many of them wait.
    """

    def __init__(self) -> None:
        self._order: SortedSet = SortedSet()
        self._keys: dict[OwnerInShard, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def put(self, *, owner: OwnerInShard, urgency: int, since: float) -> None:
        """Let an owner wait; what was known of it is replaced."""
        known = self._keys.get(owner)
        if known is not None:
            self._order.discard((*known, owner))
        self._keys[owner] = (urgency, since)
        self._order.add((urgency, since, owner))

    def pop(self) -> OwnerInShard:
        """Take the most urgent one."""
        _, _, owner = self._order.pop(0)
        del self._keys[owner]
        return owner
