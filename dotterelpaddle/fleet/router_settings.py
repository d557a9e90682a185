"""Settings of the routers of a fleet in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.config.settings import Settings
from dotterelpaddle.fleet.options import FLEET_KEY, OPERATOR_TOKEN

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.fleet.options import FleetOptions
    from dotterelpaddle.fleet.shape import RouterShape

ANY_PORT = "127.0.0.1:0"


def router_settings(
    *,
    shape: RouterShape,
    platform: Address,
    seeds: tuple[Address, ...],
    options: FleetOptions,
) -> Settings:
    """Write the settings of a router, as its settings file would have them."""
    return Settings.model_validate(
        {
            "router": shape.name,
            "failure_domain": shape.failure_domain,
            "listen": ANY_PORT,
            "operator": {"address": ANY_PORT, "token": OPERATOR_TOKEN},
            "control": {
                "address": ANY_PORT,
                "key": FLEET_KEY,
                "bytes_per_second": options.control_bytes_per_second,
            },
            "platform": {
                "url": f"http://{platform}",
                "token": options.platform.token,
                "timeout": options.platform_timeout,
            },
            "policy": options.policy,
            "seeds": tuple(str(seed) for seed in seeds),
            "shutdown": {
                "grace": options.shutdown_grace,
                "leave_delay": options.leave_delay,
            },
        }
    )
