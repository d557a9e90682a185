"""The fleets and the load that the model plays."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetSize:
    """A fleet and what its callers ask of it.

    Attributes:
        routers: Routers, each with the same share of the requests.
        domains: Failure domains, over which routers and endpoints are spread evenly.
        endpoints: Engines.
        slots: Requests that an engine works on at a time.
        rate: Requests a second.
        subjects: Prompts that requests share, asked for by a Zipf law.
    """

    routers: int
    domains: int
    endpoints: int
    slots: int
    rate: float
    subjects: int


SIZES = (
    FleetSize(routers=6, domains=3, endpoints=5, slots=128, rate=89.0, subjects=200),
    FleetSize(routers=88, domains=3, endpoints=30, slots=12, rate=500.0, subjects=900),
    FleetSize(
        routers=195, domains=5, endpoints=59, slots=12, rate=330.0, subjects=1200
    ),
    FleetSize(
        routers=600, domains=8, endpoints=400, slots=12, rate=4000.0, subjects=8000
    ),
    FleetSize(
        routers=2400, domains=13, endpoints=6300, slots=12, rate=16000.0, subjects=90000
    ),
)
"""Fleets of users, and two on the way to the largest that the design is for."""

PROMPT_TOKENS = 6000
"""Shared tokens of a subject's prompt."""

ZIPF = 0.6
"""Exponent of the popularity of subjects."""

READING_SPEED = 80_000.0
"""Prompt tokens that an engine reads in a second."""

FETCH_SPEED = 500_000.0
"""Prompt tokens that an engine fetches from another one in a second."""

ANSWER_TIME = 0.3
"""Seconds that an answer takes at an engine without other work."""

SLOWING = 0.04
"""Part of the answer time by which each other request in flight slows it."""
