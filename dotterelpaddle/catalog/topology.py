"""Which routers read the platform and who passes changes to whom.

All choices are rendezvous hashes over the members that a router believes in,
so routers with the same view choose alike, and a changed view moves little.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from dotterelpaddle.catalog.polling import Place
from dotterelpaddle.membership.view import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.catalog.settings import CatalogSettings
    from dotterelpaddle.ids import FailureDomain
    from dotterelpaddle.membership.view import Member, View

POLL_SALT = "poll"
TREE_SALT = "tree"
SNAPSHOT_SALT = "snapshot"


class Topology:
    """Choices over the members, made anew only when the view changes.

    Args:
        view: The members.
        settings: How a router follows the records.
    """

    def __init__(self, *, view: View, settings: CatalogSettings) -> None:
        self._view = view
        self._settings = settings
        self._version: int | None = None
        self._others: tuple[Member, ...] = ()
        self._alive: tuple[Member, ...] = ()
        self._domain: tuple[Member, ...] = ()
        self._trees: dict[FailureDomain, tuple[Member, ...]] = {}
        self._place = Place(rank=0, population=1)

    @property
    def own(self) -> Member:
        """This router."""
        return self._view.own

    @property
    def others(self) -> tuple[Member, ...]:
        """All members but this router, also those that may be gone."""
        self._refresh()
        return self._others

    @property
    def listeners(self) -> tuple[Member, ...]:
        """Members of the own failure domain that don't read all the time."""
        self._refresh()
        order = _ranked(members=self._domain, salt=POLL_SALT)
        return tuple(
            member
            for member in order[self._settings.pollers_per_domain :]
            if member.router != self.own.router
        )

    @property
    def place(self) -> Place:
        """Where this router stands among the readers of its failure domain."""
        self._refresh()
        return self._place

    @property
    def is_poller(self) -> bool:
        """Whether this router reads the platform all the time."""
        return self.place.rank < self._settings.pollers_per_domain

    @property
    def writes_snapshots(self) -> bool:
        """Whether this router is the one that writes snapshots."""
        self._refresh()
        return _position(own=self.own, members=self._alive, salt=SNAPSHOT_SALT) == 0

    @property
    def is_small(self) -> bool:
        """Whether changes go straight to all members."""
        return len(self.others) <= self._settings.direct_fanout

    def first_targets(self) -> tuple[Member, ...]:
        """Members that get a change from the router that learned it first.

        All of them while they are few; otherwise the tree roots of each failure
        domain, which pass it on.
        """
        peers = self.others
        if self.is_small:
            return peers
        domains = sorted({member.failure_domain for member in peers})
        return tuple(
            member for domain in domains for member in self.roots(failure_domain=domain)
        )

    def roots(self, *, failure_domain: FailureDomain) -> tuple[Member, ...]:
        """Members of a failure domain that get changes first, but this router."""
        order = self._tree(failure_domain=failure_domain)
        return tuple(
            member
            for member in order[: self._settings.tree_roots]
            if member.router != self.own.router
        )

    def relay_targets(self) -> tuple[Member, ...]:
        """Members of the own failure domain that this router passes changes on to."""
        order = self._tree(failure_domain=self.own.failure_domain)
        position = [member.router for member in order].index(self.own.router)
        start = self._settings.tree_roots + position * self._settings.tree_fanout
        return order[start : start + self._settings.tree_fanout]

    def _tree(self, *, failure_domain: FailureDomain) -> tuple[Member, ...]:
        self._refresh()
        tree = self._trees.get(failure_domain)
        if tree is None:
            members = _of_domain(members=self._alive, failure_domain=failure_domain)
            tree = _ranked(members=members, salt=TREE_SALT)
            self._trees[failure_domain] = tree
        return tree

    def _refresh(self) -> None:
        version = self._view.version
        if version == self._version:
            return
        self._version = version
        own = self._view.own
        members = self._view.members()
        self._others = tuple(
            member for member in members if member.router != own.router
        )
        self._alive = tuple(
            member
            for member in members
            if member.state is MemberState.ALIVE or member.router == own.router
        )
        self._trees = {}
        self._domain = _of_domain(
            members=self._alive, failure_domain=own.failure_domain
        )
        self._place = Place(
            rank=_position(own=own, members=self._domain, salt=POLL_SALT),
            population=len(self._domain),
        )


def _of_domain(
    *, members: Iterable[Member], failure_domain: FailureDomain
) -> tuple[Member, ...]:
    return tuple(
        member for member in members if member.failure_domain == failure_domain
    )


def _ranked(*, members: Iterable[Member], salt: str) -> tuple[Member, ...]:
    return tuple(sorted(members, key=lambda member: _score(member, salt)))


def _position(*, own: Member, members: Iterable[Member], salt: str) -> int:
    own_score = _score(own, salt)
    return sum(_score(member, salt) < own_score for member in members)


def _score(member: Member, salt: str) -> tuple[int, str]:
    return (
        xxhash.xxh64_intdigest(f"{salt}/{member.router}".encode()),
        member.router,
    )
