"""Endpoints and load of a simulated fleet."""

from __future__ import annotations

from dataclasses import dataclass

from dotterelpaddle.forwarding.model import (
    CallerLimits,
    EndpointEntry,
    FleetConfiguration,
    SlowStart,
)
from dotterelpaddle.ids import EndpointId, ServiceName

SERVICE = ServiceName("engines")
SLOTS = 12
SLOW_START = SlowStart(duration=3.0, rate=9.2)
CONFIGURATION = FleetConfiguration(
    version=1,
    routes=(),
    limits=CallerLimits(
        max_header_bytes=1, max_body_bytes=1, header_timeout=1.0, idle_timeout=1.0
    ),
    accounts_by_key=None,
    slow_starts={SERVICE: SLOW_START},
)
UPDATE_DELAY_SECONDS = (0.1, 0.9)
"""Minimum and maximum delay until a router receives an endpoint update."""

DRAIN_SECONDS = 3.0
"""Minimum time that an endpoint keeps serving after it starts to drain."""

RESTART_SECONDS = 0.5
"""Time between the exit of a router process and the start of the next one."""

REQUESTS_PER_SECOND = 580.0
"""Total rate of requests from CLIENTS callers."""

CLIENTS = 116
SUBJECTS, ZIPF = 900, 0.6
SYSTEM_TOKENS, SUBJECT_TOKENS = 500, 5500
READ_TOKENS_PER_SECOND, FETCH_TOKENS_PER_SECOND = 80_000.0, 500_000.0
"""Rates at which an endpoint reads or fetches prompt tokens."""

ANSWER_SECONDS, SLOWDOWN_PER_REQUEST = 0.2, 0.04
"""Duration of a single answer, and the fraction that each concurrent one adds."""


@dataclass(kw_only=True, eq=False)
class Endpoint:
    """A simulated endpoint and its requests in flight."""

    entry: EndpointEntry
    load: int = 0

    @property
    def name(self) -> EndpointId:
        return self.entry.endpoint
