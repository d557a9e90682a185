"""Tells whether this router is on the smaller side of a cut network.

Callers still reach a failure domain that is cut off from the others, but its
routers reach few endpoints, and few of the prompts that are cached. Routers on the
larger side serve such callers better, so one on the smaller side asks the balancer
for no more of them.
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
"""Seconds between looks, like that between reports; the balancer asks once a second."""


class IsolationDetector:
    """Weighs the failure domains on either side.

    A domain is on the other side if none of its routers is heard and none of its
    endpoints can be reached: routers alone may be restarting, endpoints alone may
    be dead. A side leaves if the other one has more domains, which all routers
    count alike, so that never both leave, and at least as many slots of each
    service, so that callers find what they lack here and overload nobody.

    Args:
        view: The endpoints in force.
        reachability: Where no connection can be made.
        failure_domain: Where this router is.
        router_presence: Tells by failure domain whether any of its routers is heard.
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
        self._silent: frozenset[FailureDomain] = frozenset()
        self._lost: frozenset[FailureDomain] = frozenset()
        self._clock = clock
        self._isolated_at: float | None = None

    @property
    def isolated(self) -> bool:
        """Whether the other side has more failure domains, and can serve more."""
        return self._isolated_at is not None

    @property
    def isolated_for(self) -> float | None:
        """Seconds since that was found, None if it is not so."""
        if self._isolated_at is None:
            return None
        return self._clock() - self._isolated_at

    async def run(self) -> None:
        """Look at the other failure domains until cancelled."""
        while True:
            self.check()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Judge by what is heard and reached now."""
        heard = self._router_presence()
        silent = frozenset(domain for domain, any_ in heard.items() if not any_)
        for domain in silent - self._silent:
            # Requests find out too, but may not go there for a while.
            self._reachability.suspect_domain(failure_domain=domain)
        self._silent = silent
        unreachable = self._unreachable()
        # Routers are forgotten after a while; their domain stays lost without them.
        self._lost = (silent | self._lost) & unreachable
        others = heard.keys() | {
            entry.failure_domain for entry in self._view.routed_entries
        }
        here = (others | {self._failure_domain}) - self._lost
        isolated = len(self._lost) > len(here) and self._serves_more_there()
        self._judge(isolated=isolated)

    def _serves_more_there(self) -> bool:
        """Tell whether no service has more slots on this side than on the other."""
        more_here: Counter[ServiceName] = Counter()
        for entry in self._view.routed_entries:
            lost = entry.failure_domain in self._lost
            more_here[entry.service] += -entry.slots if lost else entry.slots
        return all(slots <= 0 for slots in more_here.values())

    def _unreachable(self) -> frozenset[FailureDomain]:
        """Failure domains with endpoints none of which can be reached."""
        entries = self._view.routed_entries
        reached = self._reachability.reachable(entries=entries)
        return frozenset(entry.failure_domain for entry in entries) - {
            entry.failure_domain for entry in reached
        }

    def _judge(self, *, isolated: bool) -> None:
        if isolated is self.isolated:
            return
        self._isolated_at = self._clock() if isolated else None
        log.warning(
            "isolation_changed", isolated=isolated, lost_domains=sorted(self._lost)
        )
