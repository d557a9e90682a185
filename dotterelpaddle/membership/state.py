"""What a member believes of the others: the rules of precedence.

A statement about a member is ordered by incarnation first and by state second.
Only the member itself raises its incarnation, to refute what others say of it.
So no stale statement can take a newer one back, whatever the order of arrival.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.membership.view import Member, MemberState

if TYPE_CHECKING:
    from dotterelpaddle.ids import RouterId

PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}
"""Order of states within an incarnation; the higher one wins."""


CONTEST_INTERVAL = 5.0
"""Seconds between refutations of another process that uses this one's name.

Both would otherwise refute each other as fast as rumours travel.
"""


class Effect(Enum):
    """What a statement did."""

    NONE = "none"
    ACCEPTED = "accepted"
    REFUTED = "refuted"


@dataclass(kw_only=True, slots=True)
class _Entry:
    """What is believed of one member.

    Attributes:
        member: The newest statement.
        changed_at: When it was accepted, seconds on the monotonic clock.
    """

    member: Member
    changed_at: float


def supersedes(*, new: Member, known: Member) -> bool:
    """Tell whether a statement takes the place of a known one."""
    if new.incarnation != known.incarnation:
        return new.incarnation > known.incarnation
    return PRECEDENCE[new.state] > PRECEDENCE[known.state]


class MemberTable:
    """All members that this one knows of, itself included.

    Args:
        own: This member.
        suspicion: Seconds that a suspect has to refute.
        tombstone: Seconds that a dead member is remembered.
        now: Seconds on the monotonic clock.
    """

    def __init__(
        self, *, own: Member, suspicion: float, tombstone: float, now: float
    ) -> None:
        self._own = own
        self._suspicion = suspicion
        self._tombstone = tombstone
        self._entries = {own.router: _Entry(member=own, changed_at=now)}
        self._deadlines: dict[RouterId, float] = {}
        self._contest_at = now
        self._buried: deque[RouterId] = deque()

    @property
    def suspicion(self) -> float:
        """Seconds that a suspect has to refute."""
        return self._suspicion

    @suspicion.setter
    def suspicion(self, suspicion: float) -> None:
        self._suspicion = suspicion

    @property
    def own(self) -> Member:
        """This member."""
        return self._own

    def members(self) -> tuple[Member, ...]:
        """All members, dead ones included."""
        return tuple(entry.member for entry in self._entries.values())

    def find(self, *, router: RouterId) -> Member | None:
        """One member by name."""
        entry = self._entries.get(router)
        return None if entry is None else entry.member

    def apply(self, *, statement: Member, now: float) -> Effect:
        """Take in what someone says of a member."""
        if statement.router == self._own.router:
            return self._apply_own(statement=statement, now=now)
        known = self.find(router=statement.router)
        if known is not None and not supersedes(new=statement, known=known):
            return Effect.NONE
        self._accept(member=statement, now=now)
        return Effect.ACCEPTED

    def suspect(self, *, router: RouterId, now: float) -> Member | None:
        """Note that a member did not answer.

        A leaving member stays so, as its state already keeps new work away; it
        counts as dead after the same time.

        Returns:
            The statement to tell others, None if there is none.
        """
        entry = self._entries.get(router)
        if entry is None or entry.member.state is MemberState.DEAD:
            return None
        self._deadlines.setdefault(router, now + self._suspicion)
        if entry.member.state is not MemberState.ALIVE:
            return None
        entry.member = replace(entry.member, state=MemberState.SUSPECT)
        entry.changed_at = now
        return entry.member

    def answered(self, *, router: RouterId, incarnation: int) -> None:
        """Note that a member answered; a suspect still has to refute."""
        member = self.find(router=router)
        if member is None or member.incarnation != incarnation:
            return
        if member.state is MemberState.LEAVING:
            self._deadlines.pop(router, None)

    def confirm_death(self, *, router: RouterId, now: float) -> Member | None:
        """Note that the platform, too, holds a member that is silent for gone.

        Returns:
            The statement to tell others, None if the member was dead already.
        """
        entry = self._entries.get(router)
        if entry is None or entry.member.state is MemberState.DEAD:
            return None
        return self._bury(entry=entry, now=now)

    def expire(self, *, now: float) -> tuple[Member, ...]:
        """Declare suspects dead whose time to refute is over."""
        due = [
            router for router, deadline in self._deadlines.items() if deadline <= now
        ]
        return tuple(self._bury(entry=self._entries[router], now=now) for router in due)

    def postpone(self, *, seconds: float) -> None:
        """Give all suspects more time, after this process was paused."""
        for router in self._deadlines:
            self._deadlines[router] += seconds

    def forget(self, *, now: float) -> tuple[Member, ...]:
        """Drop members that have been dead for long."""
        forgotten = []
        while self._buried and self._is_old(router=self._buried[0], now=now):
            entry = self._entries.get(self._buried.popleft())
            if entry is None or not self._is_dead(entry=entry):
                continue
            if entry.changed_at + self._tombstone > now:
                continue
            del self._entries[entry.member.router]
            forgotten.append(entry.member)
        return tuple(forgotten)

    def change_own(self, *, state: MemberState, now: float) -> Member:
        """Change this member's own state under a new incarnation."""
        own = replace(self._own, state=state, incarnation=self._own.incarnation + 1)
        self._set_own(own=own, now=now)
        return own

    def _apply_own(self, *, statement: Member, now: float) -> Effect:
        if not supersedes(new=statement, known=self._own):
            return Effect.NONE
        if statement.address != self._own.address:
            if now < self._contest_at:
                return Effect.NONE
            self._contest_at = now + CONTEST_INTERVAL
        own = replace(self._own, incarnation=statement.incarnation + 1)
        self._set_own(own=own, now=now)
        return Effect.REFUTED

    def _set_own(self, *, own: Member, now: float) -> None:
        self._own = own
        self._entries[own.router] = _Entry(member=own, changed_at=now)

    def _accept(self, *, member: Member, now: float) -> None:
        self._entries[member.router] = _Entry(member=member, changed_at=now)
        self._deadlines.pop(member.router, None)
        is_near = member.failure_domain == self._own.failure_domain
        if member.state is MemberState.SUSPECT and is_near:
            self._deadlines[member.router] = now + self._suspicion
        if member.state is MemberState.DEAD:
            self._buried.append(member.router)

    def _bury(self, *, entry: _Entry, now: float) -> Member:
        entry.member = replace(entry.member, state=MemberState.DEAD)
        entry.changed_at = now
        self._deadlines.pop(entry.member.router, None)
        self._buried.append(entry.member.router)
        return entry.member

    def _is_dead(self, *, entry: _Entry) -> bool:
        return entry.member.state is MemberState.DEAD

    def _is_old(self, *, router: RouterId, now: float) -> bool:
        """Tell whether a member was buried long ago, or is dead no longer."""
        entry = self._entries.get(router)
        if entry is None or not self._is_dead(entry=entry):
            return True
        return entry.changed_at + self._tombstone <= now
