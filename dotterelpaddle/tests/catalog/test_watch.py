"""What a survey of a large fleet reports of members that stay silent."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.catalog.survey import Findings
from dotterelpaddle.catalog.watch import ASK_INTERVAL, CatalogWatch
from dotterelpaddle.ids import FailureDomain, Revision, RouterId
from dotterelpaddle.membership.view import Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.operator.interface import ForceReport

pytestmark = pytest.mark.anyio

NAMES = ("a1", "a2", "a3")


class ScriptedSurveyor:
    """Answers round after round as told, and notes whom it was to ask."""

    def __init__(self, *, rounds: Sequence[Findings]) -> None:
        self.asked: list[set[str]] = []
        self.alone: list[frozenset[RouterId]] = []
        self._rounds = list(rounds)

    async def ask(
        self, *, members: Sequence[Member], alone: frozenset[RouterId], **_: Any
    ) -> Findings:
        self.asked.append({member.router for member in members})
        self.alone.append(alone)
        return self._rounds.pop(0)


def _member(name: str) -> Member:
    return Member(
        router=RouterId(name),
        address=Address(host="127.0.0.1", port=1),
        failure_domain=FailureDomain(name[0]),
        state=MemberState.ALIVE,
    )


def _findings(*, pending: str = "", unreachable: str = "") -> Findings:
    return Findings(
        pending={RouterId(each) for each in pending.split()},
        unreachable={RouterId(each) for each in unreachable.split()},
    )


async def _report(surveyor: ScriptedSurveyor, *, rounds: int) -> ForceReport:
    """Survey for as many rounds at most, on a clock that stands still in a round."""
    ticks = iter(range(10 * rounds))
    topology = SimpleNamespace(
        is_small=False, own=_member("own"), others=[_member(name) for name in NAMES]
    )
    context = SimpleNamespace(
        store=SimpleNamespace(revision=Revision(1)),
        progress=None,
        topology=topology,
        clock=lambda: next(ticks) * ASK_INTERVAL / 4,
    )
    watch = CatalogWatch(context=context, exchange=None, surveyor=surveyor)  # type: ignore[arg-type]
    timeout = 2 * rounds * ASK_INTERVAL
    return await watch.wait_in_force(revision=Revision(1), timeout=timeout)


async def test_member_without_time_to_answer_is_asked_again_alone() -> None:
    surveyor = ScriptedSurveyor(
        rounds=[
            _findings(unreachable="a2 a3"),
            _findings(unreachable="a3"),
        ]
    )

    report = await _report(surveyor, rounds=4)

    assert surveyor.asked == [set(NAMES), {"a2", "a3"}]
    assert surveyor.alone == [frozenset(), {"a2", "a3"}]
    assert set(report.in_force) == {"own", "a1", "a2"}
    assert report.unreachable == ("a3",)


async def test_member_that_answered_before_is_pending_until_asked_again() -> None:
    last = [
        _findings(pending="a2 a3"),
        _findings(pending="a2", unreachable="a3"),
    ]

    report = await _report(ScriptedSurveyor(rounds=last), rounds=1)

    assert set(report.in_force) == {"own", "a1"}
    assert set(report.pending) == {"a2", "a3"}
    assert report.unreachable == ()


async def test_member_that_dies_while_pending_is_unreachable_in_the_end() -> None:
    rounds = [
        _findings(pending="a2"),
        _findings(unreachable="a2"),
        _findings(unreachable="a2"),
    ]

    report = await _report(ScriptedSurveyor(rounds=rounds), rounds=4)

    assert report.unreachable == ("a2",)
    assert report.pending == ()
