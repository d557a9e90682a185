"""Counts of the load in flight on a shard.

Each router reports the whole load that it has in flight at each endpoint, not
differences, so a lost, repeated or late refresh does no lasting harm. Permits
that a refresh can't include yet are counted on top of it: a refresh names the
highest permit request the router had made and the ones still unanswered.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Mapping

    from dotterelpaddle.ids import EndpointId, RouterId


@dataclass(frozen=True, kw_only=True, slots=True)
class Refresh:
    """What a router has in flight.

    Attributes:
        sequence: Grows with each refresh of the router.
        last_request: Highest number of a permit request made so far.
        open_requests: Numbers of permit requests without answer yet.
        loads: Load in flight at each endpoint, in thousandths of a mean request.
    """

    sequence: int
    last_request: int = 0
    open_requests: frozenset[int] = frozenset()
    loads: Mapping[EndpointId, int] = field(default_factory=dict)

    def includes(self, *, number: int) -> bool:
        """Tell whether the loads reflect the outcome of a permit request."""
        return number <= self.last_request and number not in self.open_requests


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """A request that was let through.

    Attributes:
        number: The router's number of the permit request.
        endpoint: Where it may go.
        cost: Its load, in thousandths of a mean request.
        at: When, seconds on the monotonic clock.
    """

    number: int
    endpoint: EndpointId
    cost: int
    at: float = 0.0


@dataclass(kw_only=True)
class _Reporter:
    """What one router has reported and been permitted."""

    refresh: Refresh
    heard_at: float
    permits: dict[int, Permit] = field(default_factory=dict)


class LoadBook:
    """The load in flight on a shard, by router and permit."""

    def __init__(self) -> None:
        self._reporters: dict[RouterId, _Reporter] = {}
        self._loads: Counter[EndpointId] = Counter()
        self._total = 0
        self._version = 0

    @property
    def version(self) -> int:
        """Grows with each change of the loads."""
        return self._version

    @property
    def total(self) -> int:
        """Load on all endpoints."""
        return self._total

    @property
    def routers(self) -> tuple[RouterId, ...]:
        """Routers that are counted."""
        return tuple(self._reporters)

    def load(self, *, endpoint: EndpointId) -> int:
        """Load on an endpoint."""
        return self._loads[endpoint]

    def part(self, *, router: RouterId, endpoint: EndpointId) -> int:
        """Load of one router on an endpoint, its open permits included."""
        reporter = self._reporters.get(router)
        if reporter is None:
            return 0
        permitted = sum(
            permit.cost
            for permit in reporter.permits.values()
            if permit.endpoint == endpoint
        )
        return reporter.refresh.loads.get(endpoint, 0) + permitted

    def find(self, *, router: RouterId, number: int) -> Permit | None:
        """A permit that is not reflected in a refresh yet."""
        reporter = self._reporters.get(router)
        return reporter.permits.get(number) if reporter is not None else None

    def is_settled(self, *, router: RouterId, number: int) -> bool:
        """Tell whether a router has had, or given up, an answer to a request."""
        reporter = self._reporters.get(router)
        return reporter is not None and reporter.refresh.includes(number=number)

    def add(self, *, router: RouterId, permit: Permit, now: float) -> None:
        """Count a permit; one that is counted already changes nothing."""
        reporter = self._reporter(router=router, now=now)
        if permit.number in reporter.permits:
            return
        if reporter.refresh.includes(number=permit.number):
            return
        self._version += 1
        reporter.permits[permit.number] = permit
        self._count(permit=permit, sign=1)

    def refresh(self, *, router: RouterId, refresh: Refresh, now: float) -> bool:
        """Take over a router's report; tell whether it was newer than the last."""
        reporter = self._reporter(router=router, now=now)
        if refresh.sequence <= reporter.refresh.sequence:
            return False
        if refresh.loads != reporter.refresh.loads:
            self._version += 1
        self._apply(refresh=reporter.refresh, sign=-1)
        self._apply(refresh=refresh, sign=1)
        reporter.refresh = refresh
        reporter.heard_at = now
        for number in list(reporter.permits):
            if refresh.includes(number=number):
                self._count(permit=reporter.permits.pop(number), sign=-1)
        return True

    def strip(self, *, endpoint: EndpointId, keep: RouterId) -> None:
        """Stop counting all routers but one on an endpoint."""
        for router, reporter in self._reporters.items():
            if router == keep or endpoint not in reporter.refresh.loads:
                continue
            self._apply(refresh=reporter.refresh, sign=-1)
            loads = dict(reporter.refresh.loads)
            del loads[endpoint]
            reporter.refresh = replace(reporter.refresh, loads=loads)
            self._apply(refresh=reporter.refresh, sign=1)
            self._version += 1

    def drop_permits(
        self, *, before: float, kept: Container[EndpointId], router: RouterId
    ) -> None:
        """Stop counting old permits on endpoints that others count.

        Args:
            before: Age of the permits, seconds on the monotonic clock.
            kept: Endpoints whose permits stay.
            router: Router whose permits stay.
        """
        for name, reporter in self._reporters.items():
            if name == router:
                continue
            for number, permit in list(reporter.permits.items()):
                if permit.at < before and permit.endpoint not in kept:
                    self._count(permit=reporter.permits.pop(number), sign=-1)

    def forget(self, *, router: RouterId) -> None:
        """Stop counting a router, which is gone or reports to another owner."""
        reporter = self._reporters.pop(router, None)
        if reporter is None:
            return
        self._version += 1
        self._apply(refresh=reporter.refresh, sign=-1)
        for permit in reporter.permits.values():
            self._count(permit=permit, sign=-1)

    def expire(
        self,
        *,
        before: float,
        kept_before: float | None = None,
        is_alive: Callable[[RouterId], bool] = lambda _: False,
    ) -> list[RouterId]:
        """Forget routers that were last heard of before a time.

        Args:
            before: The time, seconds on the monotonic clock.
            kept_before: The time for those believed alive, the same by default.
            is_alive: Tells of a router whether it is believed alive.
        """
        last = before if kept_before is None else kept_before
        silent = [
            router
            for router, reporter in self._reporters.items()
            if reporter.heard_at < before
            and (reporter.heard_at < last or not is_alive(router))
        ]
        for router in silent:
            self.forget(router=router)
        return silent

    def _reporter(self, *, router: RouterId, now: float) -> _Reporter:
        reporter = self._reporters.get(router)
        if reporter is None:
            reporter = _Reporter(refresh=Refresh(sequence=-1), heard_at=now)
            self._reporters[router] = reporter
        return reporter

    def _apply(self, *, refresh: Refresh, sign: int) -> None:
        for endpoint, load in refresh.loads.items():
            self._loads[endpoint] += sign * load
            self._total += sign * load

    def _count(self, *, permit: Permit, sign: int) -> None:
        self._loads[permit.endpoint] += sign * permit.cost
        self._total += sign * permit.cost
