"""What each bound of the fleet leaves to a router that hears none of the others.

Guards against bounds that a router which has just started in a network partition
divides by the routers on its own side of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.model import (
    CallerLimits,
    FleetConfiguration,
    SlowStart,
)
from dotterelpaddle.forwarding.revisions import FIRST_ERA
from dotterelpaddle.forwarding.settings import (
    AdmissionSettings,
    ColdBounds,
    ForwardSettings,
)
from dotterelpaddle.forwarding.shared_state import SharedState, build_shared_state
from dotterelpaddle.forwarding.store_clock import StoreTime
from dotterelpaddle.ids import FailureDomain, RouterId, ServiceName
from dotterelpaddle.registry.registration import Registration
from dotterelpaddle.registry.summary import RegistrySummary
from dotterelpaddle.retries.budget import (
    BUDGET_SAFETY_FACTOR,
    BURST_SHARE,
    RetryLimits,
)
from dotterelpaddle.tests.forwarding.entries import make_entry

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.connection_limits import ConnectionBounds

SERVICE = ServiceName("engines")
OWN, SEED = Address(host="10.0.0.1", port=1), Address(host="10.0.0.2", port=1)
ROUTERS, CONNECTIONS, ALLOWANCE = 6, 60, 50.0
UPTIME_SECONDS = 20.0
COLD = make_entry("cold", cold_left=3.0)
SLOW_START = SlowStart(duration=3.0, rate=9.2)
BOUNDS = ColdBounds(multiple=1.5, allowance=5.0)
CONFIGURATION = FleetConfiguration(
    version=1,
    routes=(),
    limits=CallerLimits(
        max_header_bytes=1, max_body_bytes=1, header_timeout=1.0, idle_timeout=1.0
    ),
    accounts_by_key=None,
    slow_starts={SERVICE: SLOW_START},
    max_connections={SERVICE: CONNECTIONS},
)
SETTINGS = ForwardSettings(
    router=RouterId("own"),
    failure_domain=FailureDomain("here"),
    callers=OWN,
    readiness=OWN,
    control=OWN,
    peers=OWN,
    seeds=(SEED,),
    store=OWN,
    shutdown_timeout=8.0,
    retry_limits=RetryLimits(share=0.2, allowance=ALLOWANCE, window=10.0),
    link_mbps=10,
    drain_time=1.0,
    cold_bounds=BOUNDS,
    admission=AdmissionSettings(),
)


@dataclass(kw_only=True)
class Starting:
    """A router that has started a while ago and hears nobody."""

    now: float = 0.0
    state: SharedState = field(init=False)

    def __post_init__(self) -> None:
        self.state = build_shared_state(
            settings=SETTINGS, has_registry=True, clock=lambda: self.now
        )
        self.state.view.apply_configuration(configuration=CONFIGURATION)
        self.now = UPTIME_SECONDS
        self.state.cold._record_entry(COLD)

    def read_registry(self) -> None:
        """Learn what the store says of all routers."""
        registry = self.state.registry
        assert registry is not None
        now = StoreTime(era=FIRST_ERA, seconds=1000.0)
        self.state.store_clock.record_answer(time=now, requested_at=self.now)
        long_ago = StoreTime(era=FIRST_ERA, seconds=1.0)
        registry.own = Registration(registered_at=long_ago, renewed_at=now)
        registry.receive(
            summary=RegistrySummary(
                routers=ROUTERS, active=ROUTERS, oldest=long_ago, as_of=now
            )
        )

    @property
    def retries(self) -> float:
        return self.state.retry_budget.room(service=SERVICE)

    @property
    def cold_requests(self) -> int:
        """Requests that it may send to a cold endpoint at once."""
        count = 0
        while self.state.cold.has_capacity(entry=COLD):
            self.state.cold.record_request(entry=COLD)
            count += 1
        return count

    @property
    def connections(self) -> ConnectionBounds:
        limits = self.state.connection_limits
        assert limits is not None
        bounds = limits.bounds(entry=COLD)
        assert bounds is not None
        return bounds


@pytest.fixture
def router() -> Starting:
    return Starting()


def test_retries_are_divided_among_registered_routers(router: Starting) -> None:
    router.read_registry()

    part = BUDGET_SAFETY_FACTOR * ALLOWANCE / ROUTERS
    assert router.retries == pytest.approx(BURST_SHARE * part)


def test_requests_to_cold_endpoints_are_divided_among_registered_routers(
    router: Starting,
) -> None:
    router.read_registry()

    bound = BOUNDS.multiple * SLOW_START.rate + BOUNDS.allowance
    assert 0 < router.cold_requests <= bound / ROUTERS


def test_connections_are_divided_among_registered_routers(router: Starting) -> None:
    router.read_registry()

    assert router.connections.part == CONNECTIONS // ROUTERS


# Guards against connections that are divided by few routers once the store is away.
def test_connections_are_divided_by_what_was_read_before_an_outage(
    router: Starting,
) -> None:
    router.read_registry()
    router.now += 60.0

    assert router.connections.part == CONNECTIONS // ROUTERS


def test_router_that_has_read_nothing_spends_neither_allowance_nor_cold_requests(
    router: Starting,
) -> None:
    assert router.retries == 0.0
    assert router.cold_requests == 0
