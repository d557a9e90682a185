"""The routers that may own endpoints, by failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.placement.shards import owner_ring

if TYPE_CHECKING:
    from dotterelpaddle.ids import FailureDomain
    from dotterelpaddle.membership.view import Member
    from dotterelpaddle.placement.rendezvous import Rendezvous


class Domains:
    """Failure domains in which owners may have changed.

    Args:
        changed: Those whose own routers have changed.
        known: Those that have routers of their own, before or after.
    """

    def __init__(
        self, *, changed: set[FailureDomain], known: set[FailureDomain]
    ) -> None:
        self._changed = changed
        self._known = known

    def __contains__(self, failure_domain: FailureDomain | None) -> bool:
        if not self._changed:
            return False
        # Without routers of its own, a shard is owned by all.
        return failure_domain in self._changed or failure_domain not in self._known


class Candidates:
    """Rings of owners, made anew only where a member has changed."""

    def __init__(self) -> None:
        self._members: tuple[Member, ...] = ()
        self._near: dict[FailureDomain, list[Member]] = {}
        self._rings: dict[FailureDomain | None, Rendezvous[Member]] = {}

    def follow(self, *, members: tuple[Member, ...]) -> Domains:
        """Take over the members that may own endpoints.

        Returns:
            The failure domains whose shards may have other owners now.
        """
        before = self._near
        near: dict[FailureDomain, list[Member]] = {}
        for member in members:
            near.setdefault(member.failure_domain, []).append(member)
        self._members = members
        self._near = near
        known = before.keys() | near.keys()
        domains = Domains(
            changed={name for name in known if before.get(name) != near.get(name)},
            known=set(known),
        )
        self._rings = {
            name: ring for name, ring in self._rings.items() if name not in domains
        }
        return domains

    def ring(self, *, failure_domain: FailureDomain | None) -> Rendezvous[Member]:
        """The routers that share out the endpoints of a failure domain."""
        ring = self._rings.get(failure_domain)
        if ring is None:
            near = self._near_of(failure_domain=failure_domain)
            ring = owner_ring(
                members=near or self._members, failure_domain=failure_domain
            )
            self._rings[failure_domain] = ring
        return ring

    def _near_of(self, *, failure_domain: FailureDomain | None) -> list[Member]:
        return [] if failure_domain is None else self._near.get(failure_domain, [])
