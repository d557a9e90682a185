"""When a router asks the balancer for no more callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.isolation import IsolationDetector
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import FailureDomain, Revision, ServiceName
from dotterelpaddle.tests.forwarding.entries import make_entry
from dotterelpaddle.tests.forwarding.harness import run_fleet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.reachability import Reachability

HERE, NEAR, FAR = (FailureDomain(name) for name in ("here", "near", "far"))


class ScriptedReachability:
    """Says that the endpoints of some failure domains can't be reached."""

    def __init__(self) -> None:
        self.unreachable: set[FailureDomain] = set()
        self.checked: list[FailureDomain] = []

    def reachable(self, *, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        return [
            entry for entry in entries if entry.failure_domain not in self.unreachable
        ]

    def check(self, *, failure_domain: FailureDomain) -> None:
        self.checked.append(failure_domain)


class World:
    """A router with routers and one endpoint in each failure domain."""

    def __init__(self, *, slots: dict[FailureDomain, int]) -> None:
        view = FleetView(clock=lambda: 0.0)
        entries = tuple(_entry(domain, slots=many) for domain, many in slots.items())
        view.apply_endpoints_update(
            update=EndpointsUpdate(
                revision=Revision(1), entries=entries, is_snapshot=True
            )
        )
        self.now = 0.0
        self.view = view
        self.reachability = ScriptedReachability()
        self.heard = dict.fromkeys(slots, True)
        self.isolation = IsolationDetector(
            view=view,
            reachability=_as_reachability(self.reachability),
            failure_domain=HERE,
            router_presence=lambda: self.heard,
            clock=lambda: self.now,
        )

    def cut(self, *domains: FailureDomain) -> None:
        for domain in domains:
            self.heard[domain] = False
            self.reachability.unreachable.add(domain)

    def isolated(self) -> bool:
        self.isolation.check()
        return self.isolation.isolated


def _as_reachability(scripted: ScriptedReachability) -> Reachability:
    return scripted  # type: ignore[return-value]


def _entry(
    domain: FailureDomain, *, slots: int, service: str = "engines"
) -> EndpointEntry:
    return make_entry(
        f"{service}-in-{domain}",
        service=ServiceName(service),
        failure_domain=domain,
        slots=slots,
    )


def _even() -> World:
    return World(slots={HERE: 8, NEAR: 8, FAR: 8})


def test_isolation_tells_how_long_it_lasts() -> None:
    world = _even()
    before = world.isolation.isolated_for
    world.cut(NEAR, FAR)
    world.now = 7.0
    world.isolated()
    world.now = 7.5

    assert before is None
    assert world.isolation.isolated_for == 0.5


def test_router_that_reaches_all_stays() -> None:
    assert not _even().isolated()


def test_router_cut_off_from_most_failure_domains_leaves_and_comes_back() -> None:
    world = _even()
    world.cut(NEAR, FAR)
    assert world.isolated()

    world.reachability.unreachable.clear()
    assert not world.isolated()


def test_router_of_the_larger_side_stays() -> None:
    world = _even()
    world.cut(FAR)

    assert not world.isolated()


def test_of_two_equal_sides_none_leaves() -> None:
    world = World(slots={HERE: 8, FAR: 80})
    world.cut(FAR)

    assert not world.isolated()


def test_side_with_fewer_slots_is_not_sent_more_callers() -> None:
    world = World(slots={HERE: 64, NEAR: 8, FAR: 8})
    world.cut(NEAR, FAR)

    assert not world.isolated()


def test_side_with_the_only_endpoint_of_a_service_stays() -> None:
    world = _even()
    only = _entry(HERE, slots=1, service="records")
    world.view.apply_endpoints_update(
        update=EndpointsUpdate(revision=Revision(2), entries=(only,))
    )
    world.cut(NEAR, FAR)

    assert not world.isolated()


def test_dead_endpoints_alone_are_no_cut() -> None:
    world = _even()
    world.reachability.unreachable = {NEAR, FAR}

    assert not world.isolated()


def test_silent_routers_alone_are_no_cut_but_their_endpoints_are_checked() -> None:
    world = _even()
    world.heard = {HERE: True, NEAR: False, FAR: False}

    assert not world.isolated()
    assert not world.isolated()
    assert sorted(world.reachability.checked) == sorted([NEAR, FAR])


def test_cut_lasts_when_silent_routers_are_forgotten() -> None:
    world = _even()
    world.cut(NEAR, FAR)
    assert world.isolated()
    world.heard = {}

    assert world.isolated()


@pytest.mark.anyio
async def test_isolated_router_is_not_ready_and_serves_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_fleet() as fleet:
        app = fleet.routers[0].parts.app
        assert app.ready
        monkeypatch.setattr(IsolationDetector, "isolated", True)
        answer = await fleet.call("/safe/")

        assert not app.ready
        assert answer.status == 200
        assert dict(answer.headers)[b"connection"] == b"close"
