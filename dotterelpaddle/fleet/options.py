"""Options of a fleet in one process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.placement.policies import OwnerPolicy
from dotterelpaddle.standins.engine import EngineSettings
from dotterelpaddle.standins.platform import PlatformSettings
from dotterelpaddle.standins.service import ServiceSettings

if TYPE_CHECKING:
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.orders.settings import OrderSettings
    from dotterelpaddle.placement.policies import Policy

PLATFORM_TOKEN = "token-of-the-platform"
OPERATOR_TOKEN = "token-of-the-operators"
FLEET_KEY = "key-of-a-fleet-in-one-process"


def _platform() -> PlatformSettings:
    return PlatformSettings(token=PLATFORM_TOKEN, host_lag=0.5)


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetOptions:
    """How a fleet in one process is set up.

    Attributes:
        threaded: Routers that run in a thread of their own, so that they can
            be paused.
        all_threaded: Whether all routers do.
        control_bytes_per_second: Control traffic that a router may send.
        policy: How routers place requests.
        platform_timeout: Seconds after which a call to the platform is lost.
        shutdown_grace: Seconds that requests in flight get at a graceful stop.
        leave_delay: Seconds between saying that a router leaves and closing
            its listener.
        platform: How the platform stand-in behaves.
        engine: How the engine stand-ins behave.
        engines: Engines that behave otherwise.
        service: How the service stand-ins behave.
        orders: Times and bounds of orders, None for the usual ones.
        without_records: Whether to start with an empty table.
        absent: Parts of the shape that start later.
        seed: Seed of all generators.
    """

    threaded: frozenset[str] = frozenset()
    all_threaded: bool = False
    control_bytes_per_second: int = 3000
    policy: Policy = field(default_factory=OwnerPolicy)
    platform_timeout: float = 1.0
    shutdown_grace: float = 20.0
    leave_delay: float = 0.3
    platform: PlatformSettings = field(default_factory=_platform)
    engine: EngineSettings = field(default_factory=EngineSettings)
    engines: dict[EndpointId, EngineSettings] = field(default_factory=dict)
    service: ServiceSettings = field(default_factory=ServiceSettings)
    orders: OrderSettings | None = None
    without_records: bool = False
    absent: frozenset[str] = frozenset()
    seed: int = 0
