"""The order in which routers pass an owner's summary on.

The owner is the root of a tree of all routers, and each router passes a summary
on to its children. The order of the others rotates with each summary, so that
the sending is shared evenly and a router whose list differs, or that has gone
silent, cuts other routers off from single summaries only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.membership.view import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.view import Member, View
    from dotterelpaddle.placement.shard_state import ShardState

FAN_OUT = 3
"""Children of each router but the owner.

The owner has one only: its budget is needed for answers to permit requests.
"""

REACHABLE = frozenset({MemberState.ALIVE, MemberState.LEAVING})


def children(
    *, own: RouterId, owner: RouterId, members: Iterable[Member], sequence: int
) -> list[Member]:
    """The members that a router passes a summary on to."""
    others = sorted(
        (
            member
            for member in members
            if member.router != owner and member.state in REACHABLE
        ),
        key=lambda member: member.router,
    )
    if not others:
        return []
    turn = sequence % len(others)
    order = others[turn:] + others[:turn]
    position = _position(own=own, owner=owner, order=order)
    if position is None:
        return []
    if position == 0:
        return order[:1]
    first = (position - 1) * FAN_OUT + 1
    return order[first : first + FAN_OUT]


def audience(*, state: ShardState, view: View) -> list[Member]:
    """The members that hear summaries of a shard.

    All do in a fleet of few shards. Where there are many, its owners do: they
    decide where requests overflow to, and all others ask them.
    """
    if not state.rhythm.sparse:
        return list(view.members())
    owners = [owner for owner, _ in state.peers().values()]
    return [*owners, view.own] if state.owned else owners


def _position(*, own: RouterId, owner: RouterId, order: list[Member]) -> int | None:
    """Position in the tree, 0 for the owner, None if the router is not in it."""
    if own == owner:
        return 0
    for index, member in enumerate(order):
        if member.router == own:
            return index + 1
    return None
