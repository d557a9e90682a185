"""Waits until a revision is in force on the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.catalog.survey import Findings
from dotterelpaddle.operator.interface import ForceReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.catalog.context import CatalogContext
    from dotterelpaddle.catalog.exchange import Exchange
    from dotterelpaddle.catalog.survey import Surveyor
    from dotterelpaddle.ids import Revision, RouterId
    from dotterelpaddle.membership.view import Member

LOOK_INTERVAL = 0.02
"""Seconds between looks at what was heard."""

ASK_INTERVAL = 0.4
"""Seconds between two questions to one router."""

SILENCE_LIMIT = 2.0
"""Seconds without an answer after which a router counts as unreachable."""


class CatalogWatch:
    """Implements `dotterelpaddle.operator.interface.ForceWatch`.

    Args:
        context: State and resources of the catalog.
        exchange: Asks other routers.
        surveyor: Asks a large fleet.
    """

    def __init__(
        self, *, context: CatalogContext, exchange: Exchange, surveyor: Surveyor
    ) -> None:
        self._store = context.store
        self._exchange = exchange
        self._progress = context.progress
        self._surveyor = surveyor
        self._topology = context.topology
        self._clock = context.clock

    async def wait_in_force(self, *, revision: Revision, timeout: float) -> ForceReport:
        """Wait until a revision is in force on every router that can be heard from.

        Args:
            revision: The revision.
            timeout: Seconds after which the report comes as it stands.
        """
        if self._topology.is_small:
            return await self._watch_all(revision=revision, timeout=timeout)
        return await self._survey_all(revision=revision, timeout=timeout)

    async def _survey_all(self, *, revision: Revision, timeout: float) -> ForceReport:
        """Let members ask each other, as they are too many to ask one by one."""
        deadline = self._clock() + timeout
        everyone = self._others()
        verdicts = _Verdicts(asked=everyone)
        while True:
            left = deadline - self._clock()
            findings = await self._surveyor.ask(
                members=verdicts.asked,
                alone=frozenset(verdicts.doubtful),
                revision=revision,
                timeout=min(left, SILENCE_LIMIT),
            )
            verdicts.take(findings=findings)
            own_pending = self._store.revision < revision
            settled = not own_pending and not verdicts.asked
            if settled or self._clock() + ASK_INTERVAL >= deadline:
                findings = verdicts.findings
                if own_pending:
                    findings.pending.add(self._topology.own.router)
                return _report_of(
                    findings=findings,
                    routers=[self._topology.own.router, *(m.router for m in everyone)],
                    revision=revision,
                )
            await anyio.sleep(ASK_INTERVAL)

    def _others(self) -> list[Member]:
        return sorted(
            self._topology.others,
            key=lambda member: (member.failure_domain, member.router),
        )

    async def _watch_all(self, *, revision: Revision, timeout: float) -> ForceReport:
        """Listen to what all members say, and ask those that are silent."""
        started = self._clock()
        asked_at = started
        while True:
            now = self._clock()
            report = self._report(revision=revision, started=started)
            settled = not report.unreachable or now - started >= SILENCE_LIMIT
            if (report.complete and settled) or now - started >= timeout:
                return report
            if now >= asked_at:
                self._ask(routers=(*report.pending, *report.unreachable))
                asked_at = now + ASK_INTERVAL
            await anyio.sleep(LOOK_INTERVAL)

    def _report(self, *, revision: Revision, started: float) -> ForceReport:
        in_force: list[RouterId] = []
        pending: list[RouterId] = []
        unreachable: list[RouterId] = []
        own = in_force if self._store.revision >= revision else pending
        own.append(self._topology.own.router)
        for member in self._topology.others:
            heard = self._progress.heard(peer=member.address)
            if heard is not None and heard.revision >= revision:
                in_force.append(member.router)
            elif heard is not None and heard.at >= started:
                pending.append(member.router)
            else:
                unreachable.append(member.router)
        return ForceReport(
            revision=revision,
            in_force=tuple(sorted(in_force)),
            pending=tuple(sorted(pending)),
            unreachable=tuple(sorted(unreachable)),
        )

    def _ask(self, *, routers: tuple[RouterId, ...]) -> None:
        wanted = set(routers)
        for member in self._topology.others:
            if member.router in wanted:
                self._exchange.ask(peer=member.address)


class _Verdicts:
    """What a survey of several rounds says of each member.

    A member that was not heard from in one round may only have had too little of
    the time, behind a dead one that should have asked it. It is asked again, alone,
    and counts as unreachable when it stays silent then.

    Args:
        asked: Members to ask in the first round.
    """

    def __init__(self, *, asked: Sequence[Member]) -> None:
        self.asked = asked
        self.doubtful: set[RouterId] = set()
        self._pending: set[RouterId] = set()
        self._unreachable: set[RouterId] = set()
        self._heard: set[RouterId] = set()

    @property
    def findings(self) -> Findings:
        """The verdicts as they stand."""
        return Findings(
            pending=self._pending | (self.doubtful & self._heard),
            unreachable=self._unreachable | (self.doubtful - self._heard),
        )

    def take(self, *, findings: Findings) -> None:
        """Take in a round, and choose whom to ask in the next one."""
        silent = findings.unreachable
        self._heard |= {member.router for member in self.asked} - silent
        self._unreachable |= silent & self.doubtful
        self.doubtful = silent - self._unreachable
        self._pending = findings.pending
        again = self._pending | self.doubtful
        self.asked = [member for member in self.asked if member.router in again]


def _report_of(
    *, findings: Findings, routers: list[RouterId], revision: Revision
) -> ForceReport:
    in_force = set(routers) - findings.pending - findings.unreachable
    return ForceReport(
        revision=revision,
        in_force=tuple(sorted(in_force)),
        pending=tuple(sorted(findings.pending)),
        unreachable=tuple(sorted(findings.unreachable)),
    )
