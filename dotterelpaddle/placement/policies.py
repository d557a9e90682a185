"""Placement policies as data, chosen in the settings and matched on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerPolicy:
    """Shard owners that count exactly, with a fast path and a local fallback."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RoundRobinPolicy:
    """Baseline: each router takes the endpoints in turn."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RendezvousPolicy:
    """Baseline: each chat goes to its hash home, whatever the load."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeastReportedPolicy:
    """Baseline: the endpoint whose last load report was lowest."""


Policy = OwnerPolicy | RoundRobinPolicy | RendezvousPolicy | LeastReportedPolicy

policy_of_name: dict[str, Policy] = {
    "owner": OwnerPolicy(),
    "round_robin": RoundRobinPolicy(),
    "rendezvous": RendezvousPolicy(),
    "least_reported": LeastReportedPolicy(),
}
"""Policies by the name used in settings."""
