"""Which routers contend for a pool's lease."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

import xxhash

from dotterelpaddle.membership.view import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from dotterelpaddle.ids import FailureDomain, PoolId, RouterId
    from dotterelpaddle.membership.view import Member, View

POINTS = 4
"""Places of each router on the ring; more spread the pools more evenly."""

CONTENDING_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


class Candidates:
    """Chooses few contenders for each pool by consistent hashing.

    As few routers contend for a pool, reads of its lease don't grow with the
    fleet. Views may differ for a while, and then more routers contend, or fewer.
    The lease alone decides who acts.

    Args:
        view: This router's list of members.
        contenders: How many routers contend for one pool.
    """

    def __init__(self, *, view: View, contenders: int) -> None:
        self._view = view
        self._contenders = contenders
        self._version: int | None = None
        self._rings: dict[frozenset[FailureDomain], _Ring] = {}

    def contends(self, *, pool: PoolId, near: frozenset[FailureDomain]) -> bool:
        """Tell whether this router contends.

        Args:
            pool: The pool.
            near: Failure domains of its endpoints. Routers elsewhere contend
                only if there are none in these.
        """
        own = self._view.own
        if own.state is not MemberState.ALIVE:
            return False
        if self._version != self._view.version:
            self._rings.clear()
            self._version = self._view.version
        if near not in self._rings:
            self._rings[near] = self._ring(near=near)
        chosen = self._rings[near].first(key=f"orders/{pool}", count=self._contenders)
        return own.router in chosen

    def _ring(self, *, near: frozenset[FailureDomain]) -> _Ring:
        members = [
            member
            for member in self._view.members()
            if member.state in CONTENDING_STATES
        ]
        close = [member for member in members if member.failure_domain in near]
        return _Ring(members=close or members)


class _Ring:
    """Routers in the order of their hashes."""

    def __init__(self, *, members: Iterable[Member]) -> None:
        self._points = sorted(
            (_digest(text=f"{member.router}/{point}"), member.router)
            for member in members
            for point in range(POINTS)
        )

    def first(self, *, key: str, count: int) -> tuple[RouterId, ...]:
        """Return the routers that follow a key."""
        found: dict[RouterId, None] = {}
        for router in self._following(key=key):
            found[router] = None
            if len(found) == count:
                break
        return tuple(found)

    def _following(self, *, key: str) -> Iterator[RouterId]:
        start = bisect_right(self._points, _digest(text=key), key=lambda p: p[0])
        size = len(self._points)
        for index in range(start, start + size):
            yield self._points[index % size][1]


def _digest(*, text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
