"""Detects whether this router is on the smaller side of a network partition.

Callers still reach a failure domain that is partitioned from the others, but its
routers reach few endpoints and few cached prompts. Routers on the larger side serve
such callers better, so a router on the smaller side reports not ready to the balancer.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import FailureDomain, ServiceName

log = get_logger(name=__name__)

CHECK_INTERVAL_SECONDS = 0.2
"""Seconds between checks, the interval of reports; the balancer polls every second."""


class IsolationDetector:
    """Compares the failure domains on the two sides of a partition.

    A domain is on the other side if none of its routers sends reports and none of its
    endpoints is reachable: routers alone may be restarting, endpoints alone may be
    dead. A side is isolated if the other one has more domains and at least as many
    slots of each service. All routers count domains alike, so the two sides are never
    both isolated; the slots ensure that callers find each service on the other side and
    overload no endpoint there.

    Args:
        view: The endpoints in force.
        reachability: Endpoints to which no connection can be made.
        failure_domain: Failure domain of this router.
        router_presence: Returns by failure domain whether any router of it reports.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        reachability: Reachability,
        failure_domain: FailureDomain,
        router_presence: Callable[[], Mapping[FailureDomain, bool]],
        clock: Clock,
    ) -> None:
        self._view = view
        self._reachability = reachability
        self._failure_domain = failure_domain
        self._router_presence = router_presence
        self._silent_domains: frozenset[FailureDomain] = frozenset()
        self._lost_domains: frozenset[FailureDomain] = frozenset()
        self._clock = clock
        self._isolated_at: float | None = None

    @property
    def isolated(self) -> bool:
        """Whether the other side has more domains and no fewer slots of any service."""
        return self._isolated_at is not None

    @property
    def isolated_for(self) -> float | None:
        """Seconds since this router became isolated, None if it is not."""
        if self._isolated_at is None:
            return None
        return self._clock() - self._isolated_at

    async def run(self) -> None:
        """Check the other failure domains until cancelled."""
        while True:
            self.check()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Update the state by the current reports and reachability."""
        presence = self._router_presence()
        silent_domains = frozenset(
            domain for domain, present in presence.items() if not present
        )
        for domain in silent_domains - self._silent_domains:
            # Without requests to a silent domain its endpoints would not be suspect.
            self._reachability.suspect_domain(failure_domain=domain)
        self._silent_domains = silent_domains
        unreachable_domains = self._unreachable()
        # Presence drops routers that are silent for long; their domain stays lost.
        self._lost_domains = (silent_domains | self._lost_domains) & unreachable_domains
        others = presence.keys() | {
            entry.failure_domain for entry in self._view.routed_entries
        }
        here = (others | {self._failure_domain}) - self._lost_domains
        isolated = (
            len(self._lost_domains) > len(here) and self._other_side_has_enough_slots()
        )
        self._set_isolated(isolated=isolated)

    def _other_side_has_enough_slots(self) -> bool:
        """Return whether no service has more slots on this side than on the other."""
        surplus: Counter[ServiceName] = Counter()
        for entry in self._view.routed_entries:
            lost = entry.failure_domain in self._lost_domains
            surplus[entry.service] += -entry.slots if lost else entry.slots
        return all(slots <= 0 for slots in surplus.values())

    def _unreachable(self) -> frozenset[FailureDomain]:
        """Failure domains that have endpoints, none of them reachable."""
        entries = self._view.routed_entries
        reached = self._reachability.reachable(entries=entries)
        return frozenset(entry.failure_domain for entry in entries) - {
            entry.failure_domain for entry in reached
        }

    def _set_isolated(self, *, isolated: bool) -> None:
        if isolated is self.isolated:
            return
        self._isolated_at = self._clock() if isolated else None
        log.warning(
            "isolation_changed",
            isolated=isolated,
            lost_domains=sorted(self._lost_domains),
        )
