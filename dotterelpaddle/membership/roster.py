"""The other members by place, kept up to date change by change."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from dotterelpaddle.membership.bridges import bridges_to
from dotterelpaddle.membership.view import Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.ids import FailureDomain, RouterId

_NOBODY: Mapping[RouterId, Member] = MappingProxyType({})


class Roster:
    """The other members: near, far and dead.

    Args:
        own: This member.
    """

    def __init__(self, *, own: Member) -> None:
        self._own = own
        self._near: dict[RouterId, Member] = {}
        self._far: dict[FailureDomain, dict[RouterId, Member]] = {}
        self._dead: dict[RouterId, Member] = {}
        self._bridges: dict[FailureDomain, tuple[RouterId, ...]] = {}

    @property
    def near(self) -> Mapping[RouterId, Member]:
        """Other members of the own failure domain that are not dead."""
        return self._near

    @property
    def dead(self) -> Mapping[RouterId, Member]:
        """Dead members that are still remembered."""
        return self._dead

    @property
    def domains(self) -> frozenset[FailureDomain]:
        """Other failure domains with members that are not dead."""
        return frozenset(self._far)

    @property
    def is_empty(self) -> bool:
        """Whether no other member is known of, not even a dead one."""
        return not (self._near or self._far or self._dead)

    def far(self, *, domain: FailureDomain) -> Mapping[RouterId, Member]:
        """Members of another failure domain that are not dead."""
        return self._far.get(domain, _NOBODY)

    def put(self, *, member: Member) -> None:
        """Enter a member in its new state."""
        if member.router == self._own.router:
            self._own = member
            self._bridges.clear()
            return
        self.remove(member=member)
        if member.state is MemberState.DEAD:
            self._dead[member.router] = member
        elif member.failure_domain == self._own.failure_domain:
            self._near[member.router] = member
        else:
            domain = self._far.setdefault(member.failure_domain, {})
            domain[member.router] = member

    def remove(self, *, member: Member) -> None:
        """Take a member out, wherever it is."""
        self._dead.pop(member.router, None)
        self._near.pop(member.router, None)
        for domain, members in list(self._far.items()):
            members.pop(member.router, None)
            if not members:
                del self._far[domain]
        if member.failure_domain == self._own.failure_domain:
            self._bridges.clear()

    def bridges(self, *, domain: FailureDomain, count: int) -> tuple[RouterId, ...]:
        """The members of the own failure domain that watch another one."""
        known = self._bridges.get(domain)
        if known is None:
            known = bridges_to(
                failure_domain=domain, members=self._candidates(), count=count
            )
            self._bridges[domain] = known
        return known

    def _candidates(self) -> tuple[RouterId, ...]:
        """Members that can be bridges; leaving ones hand over in good time."""
        staying = [
            member.router
            for member in (self._own, *self._near.values())
            if member.state is not MemberState.LEAVING
        ]
        return tuple(staying) or (self._own.router,)
