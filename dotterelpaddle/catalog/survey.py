"""Asks a whole fleet who has a revision in force.

A router asks a few members itself and lets others ask the rest, group by group,
so the cost of a question is a few hundred bytes for each router, whatever their
number.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import xxhash

from dotterelpaddle.catalog.message_classes import Survey, SurveyReply
from dotterelpaddle.exceptions import ControlError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.address import Address
    from dotterelpaddle.catalog.context import CatalogContext
    from dotterelpaddle.ids import Revision, RouterId
    from dotterelpaddle.membership.view import Member

GROUP_SIZE = 96
"""Members that one router looks after, so that a question fits in a datagram."""

DIRECT = 16
"""Members that a router asks itself."""

TRIES = 2
"""Times that a member is asked before it counts as unreachable."""

LEADER_SHARE = 0.6
"""Share of the time left that a member gets to ask its group."""

HOP_TIME = 0.1
"""Seconds by which a router must answer sooner than the one that asked it."""


@dataclass(kw_only=True, slots=True)
class Findings:
    """What a survey found out.

    Attributes:
        pending: Routers that answer and don't have the revision yet.
        unreachable: Routers that can't be heard from.
    """

    pending: set[RouterId] = field(default_factory=set)
    unreachable: set[RouterId] = field(default_factory=set)


class Surveyor:
    """Asks other routers and answers them.

    Args:
        context: State and resources of the catalog.
    """

    def __init__(self, *, context: CatalogContext) -> None:
        self._store = context.store
        self._channel = context.channel
        self._topology = context.topology
        self._clock = context.clock

    def listen(self) -> None:
        """Start to answer other routers."""
        self._channel.serve(message=Survey, handler=self._on_survey)

    async def ask(
        self,
        *,
        members: Sequence[Member],
        revision: Revision,
        timeout: float,
        alone: frozenset[RouterId] = frozenset(),
    ) -> Findings:
        """Ask members, and through them others.

        Args:
            members: Whom to ask.
            alone: Those among them that are asked by this router itself.
            revision: The revision.
            timeout: Seconds until the findings are wanted.
        """
        findings = Findings()
        async with anyio.create_task_group() as tasks:
            for group in _groups(members=members, alone=alone):
                tasks.start_soon(self._ask_group, group, revision, timeout, findings)
        return findings

    async def _ask_group(
        self,
        group: Sequence[Member],
        revision: Revision,
        timeout: float,
        findings: Findings,
    ) -> None:
        """Let the first member of a group that answers ask the others."""
        deadline = self._clock() + timeout
        waiting = list(group)
        while waiting:
            leader = waiting.pop(0)
            left = deadline - self._clock()
            reply = await self._call(
                peer=leader, others=waiting, revision=revision, timeout=left
            )
            if reply is None:
                findings.unreachable.add(leader.router)
                continue
            if reply.revision < revision:
                findings.pending.add(leader.router)
            self._add(reply=reply, group=waiting, findings=findings)
            return

    async def _call(
        self,
        *,
        peer: Member,
        others: Sequence[Member],
        revision: Revision,
        timeout: float,
    ) -> SurveyReply | None:
        survey = Survey(
            revision=revision,
            timeout=max(0.0, timeout * LEADER_SHARE - HOP_TIME),
            routers=tuple(_hash(member.router) for member in others),
        )
        share = timeout * LEADER_SHARE if others else timeout / TRIES
        for _ in range(1 if others else TRIES):
            try:
                reply: SurveyReply = await self._channel.call(
                    peer=peer.address, message=survey, timeout=max(HOP_TIME, share)
                )
            except ControlError:
                continue
            return reply
        return None

    def _add(
        self, *, reply: SurveyReply, group: Sequence[Member], findings: Findings
    ) -> None:
        names = {_hash(member.router): member.router for member in group}
        findings.pending |= {names[each] for each in reply.pending if each in names}
        findings.unreachable |= {
            names[each] for each in reply.unreachable if each in names
        }

    async def _on_survey(self, survey: Survey, peer: Address) -> SurveyReply:
        known = {_hash(member.router): member for member in self._topology.others}
        unknown = [each for each in survey.routers if each not in known]
        members = [known[each] for each in survey.routers if each in known]
        findings = await self.ask(
            members=members, revision=survey.revision, timeout=survey.timeout
        )
        return SurveyReply(
            revision=self._store.revision,
            pending=tuple(_hash(router) for router in findings.pending),
            unreachable=(
                *unknown,
                *(_hash(router) for router in findings.unreachable),
            ),
        )


def _groups(
    *, members: Sequence[Member], alone: frozenset[RouterId]
) -> list[Sequence[Member]]:
    """Cut members into as many groups as are asked directly, or more."""
    if len(members) <= DIRECT:
        return [[member] for member in members]
    single = [member for member in members if member.router in alone]
    others = [member for member in members if member.router not in alone]
    size = min(GROUP_SIZE, -(-len(others) // DIRECT)) or 1
    groups = [others[start : start + size] for start in range(0, len(others), size)]
    return [*([member] for member in single), *groups]


def _hash(router: RouterId) -> int:
    return xxhash.xxh32_intdigest(router.encode())
