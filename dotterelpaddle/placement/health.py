"""Which endpoints of a shard take new work, and how much of it.

Pure: the service feeds it the catalog's endpoints, results of attempts and
hearsay of other routers, each with the time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from statistics import median
from typing import TYPE_CHECKING

from dotterelpaddle.placement.breaker import Breaker, BreakerState
from dotterelpaddle.placement.damping import Damper
from dotterelpaddle.records.model import EndpointIntent

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.records.model import Endpoint

SLOW_START_FLOOR = 0.1
"""Share of its capacity that an endpoint gets at once when it joins."""


NEW_AGE = 300.0
"""Seconds for which chats may still live where they did before a joining."""

FIRST_UNREACHABLE = 2.0
"""Seconds for which an endpoint is left alone after a connection failed."""

MAX_UNREACHABLE = 30.0
"""Longest such time; it doubles with each failure in a row."""

REPORT_LAG = 3.0
"""Seconds by which an endpoint's own reports may be late."""


class Availability(Enum):
    """Whether an endpoint takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    EJECTED = "ejected"
    DAMPED = "damped"


@dataclass(kw_only=True)
class _Condition:
    """What is known of one endpoint."""

    endpoint: Endpoint
    joined_at: float
    damper: Damper
    breaker: Breaker = field(default_factory=Breaker)
    leaving_until: float = 0.0
    leaving_since: float = 0.0
    ejected_until: float = 0.0
    unreachable_until: float = 0.0
    unreachable_pause: float = FIRST_UNREACHABLE


class ShardHealth:
    """The condition of a shard's endpoints.

    Args:
        slow_start: Seconds over which a joining endpoint's share grows.
        max_ejected_share: Share of the endpoints that may be ejected at once.
    """

    def __init__(self, *, slow_start: float, max_ejected_share: float) -> None:
        self._slow_start = slow_start
        self._max_ejected_share = max_ejected_share
        self._conditions: dict[EndpointId, _Condition] = {}
        self._dampers: dict[EndpointId, Damper] = {}
        self._started = False
        self._version = 0

    @property
    def version(self) -> int:
        """Grows when an endpoint's condition may have changed."""
        return self._version

    def draining(self) -> frozenset[EndpointId]:
        """Endpoints that are to drain by their records."""
        return frozenset(
            name
            for name, condition in self._conditions.items()
            if condition.endpoint.intent is EndpointIntent.DRAIN
        )

    def sync(self, *, endpoints: Iterable[Endpoint], now: float) -> None:
        """Take over the catalog's endpoints; later ones start slowly."""
        self._version += 1
        known = self._conditions
        self._conditions = {
            endpoint.name: self._updated(
                old=known.pop(endpoint.name, None), endpoint=endpoint, now=now
            )
            for endpoint in endpoints
        }
        for name in known:
            self._damper(name=name, now=now).change(now=now)
        self._started = self._started or bool(self._conditions)

    def availability(self, *, name: EndpointId, now: float) -> Availability:
        """Tell whether an endpoint takes new work."""
        condition = self._conditions.get(name)
        if condition is None or self._is_leaving(condition=condition, now=now):
            return Availability.LEAVING
        if condition.unreachable_until > now:
            return Availability.UNREACHABLE
        if condition.breaker.state(now=now) is BreakerState.OPEN:
            return Availability.EJECTED
        if condition.ejected_until > now:
            return Availability.EJECTED
        if condition.damper.suppressed(now=now):
            return Availability.DAMPED
        return Availability.SERVING

    def serving(self, *, now: float) -> list[Endpoint]:
        """The endpoints that take new work.

        Unreachable, ejected and damped endpoints serve again when nothing else
        is left.
        """
        states = {
            name: self.availability(name=name, now=now) for name in self._conditions
        }
        chosen = [name for name in states if states[name] is Availability.SERVING]
        if not chosen:
            chosen = [
                name for name in states if states[name] is not Availability.LEAVING
            ]
        return [self._conditions[name].endpoint for name in chosen]

    def is_new(self, *, name: EndpointId, now: float) -> bool:
        """Tell whether an endpoint has joined so lately that few chats live there."""
        condition = self._conditions.get(name)
        return condition is not None and now - condition.joined_at < NEW_AGE

    def ramp(self, *, name: EndpointId, now: float) -> float:
        """The share of its capacity that an endpoint gets, from 0 to 1."""
        condition = self._conditions.get(name)
        if condition is None:
            return 0.0
        age = now - condition.joined_at
        if self._slow_start <= 0.0 or age >= self._slow_start:
            return 1.0
        return max(SLOW_START_FLOOR, age / self._slow_start)

    def succeed(self, *, name: EndpointId, latency: float, now: float) -> None:
        """Count an attempt that went well."""
        condition = self._conditions.get(name)
        if condition is None:
            return
        condition.unreachable_pause = FIRST_UNREACHABLE
        half_open = condition.breaker.state(now=now) is BreakerState.HALF_OPEN
        condition.breaker.succeed(latency=latency)
        if half_open:
            self._came_back(condition=condition, now=now)
        self._judge(condition=condition, now=now)

    def fail(self, *, name: EndpointId, now: float) -> None:
        """Count an attempt that failed."""
        condition = self._conditions.get(name)
        if condition is None:
            return
        condition.breaker.state(now=now)
        condition.breaker.fail()
        self._judge(condition=condition, now=now)

    def note_unreachable(self, *, name: EndpointId, now: float) -> None:
        """Leave an endpoint alone for a while, as no connection could be made.

        The cap on ejected endpoints does not count it: that cap keeps endpoints
        in use that answer badly, while this one can't be used at all.
        """
        condition = self._conditions.get(name)
        if condition is None or condition.unreachable_until > now:
            return
        self._version += 1
        condition.unreachable_until = now + condition.unreachable_pause
        longer = 2 * condition.unreachable_pause
        condition.unreachable_pause = min(longer, MAX_UNREACHABLE)

    def hear_leaving(self, *, name: EndpointId, until: float, now: float) -> bool:
        """Note that an endpoint is leaving; tell whether that is news."""
        condition = self._conditions.get(name)
        if condition is None:
            return False
        news = condition.leaving_until <= 0.0
        if news:
            condition.leaving_since = now
            self._version += 1
        condition.leaving_until = max(condition.leaving_until, until)
        return news

    def hear_staying(self, *, name: EndpointId, now: float) -> bool:
        """Note that an endpoint does not drain; tell whether that is news.

        Its reports lag, so what it says just after news of its leaving is older
        than the news.
        """
        condition = self._conditions.get(name)
        if condition is None or condition.leaving_until <= 0.0:
            return False
        if now - condition.leaving_since < REPORT_LAG:
            return False
        condition.leaving_until = 0.0
        self._came_back(condition=condition, now=now)
        return True

    def hear_new(self, *, name: EndpointId, now: float) -> None:
        """Note that an endpoint joined before this router did, but not long ago."""
        condition = self._conditions.get(name)
        if condition is not None and math.isinf(condition.joined_at):
            condition.joined_at = now - self._slow_start

    def hear_ejected(self, *, name: EndpointId, until: float) -> None:
        """Note that the shard's owner has ejected an endpoint."""
        condition = self._conditions.get(name)
        if condition is not None:
            condition.ejected_until = until
            self._version += 1

    def _updated(
        self, *, old: _Condition | None, endpoint: Endpoint, now: float
    ) -> _Condition:
        if old is None:
            return self._joined(endpoint=endpoint, now=now)
        before = old.endpoint.intent
        old.endpoint = endpoint
        if before is endpoint.intent:
            return old
        if endpoint.intent is EndpointIntent.SERVE:
            self._came_back(condition=old, now=now)
        else:
            old.damper.change(now=now)
        return old

    def _joined(self, *, endpoint: Endpoint, now: float) -> _Condition:
        returns = endpoint.name in self._dampers
        damper = self._damper(name=endpoint.name, now=now)
        if returns:
            damper.change(now=now)
        joined_at = now if self._started else -math.inf
        return _Condition(endpoint=endpoint, joined_at=joined_at, damper=damper)

    def _damper(self, *, name: EndpointId, now: float) -> Damper:
        return self._dampers.setdefault(name, Damper(now=now))

    def _came_back(self, *, condition: _Condition, now: float) -> None:
        self._version += 1
        condition.joined_at = now
        condition.damper.change(now=now)

    def _is_leaving(self, *, condition: _Condition, now: float) -> bool:
        if condition.endpoint.intent is EndpointIntent.DRAIN:
            return True
        if condition.leaving_until <= 0.0:
            return False
        if condition.leaving_until > now:
            return True
        condition.leaving_until = 0.0
        self._came_back(condition=condition, now=now)
        return False

    def _judge(self, *, condition: _Condition, now: float) -> None:
        typical = self._typical_latency(other_than=condition)
        if not condition.breaker.should_open(typical=typical):
            return
        if not self._may_eject(now=now):
            return
        self._version += 1
        condition.breaker.open(now=now)
        condition.damper.change(now=now)

    def _typical_latency(self, *, other_than: _Condition) -> float | None:
        latencies = [
            condition.breaker.latency
            for condition in self._conditions.values()
            if condition is not other_than
        ]
        known = [latency for latency in latencies if latency is not None]
        return median(known) if known else None

    def _may_eject(self, *, now: float) -> bool:
        """Tell whether the cap leaves room for one more ejected endpoint."""
        away = sum(
            1
            for name in self._conditions
            if self.availability(name=name, now=now)
            in (Availability.EJECTED, Availability.DAMPED)
        )
        cap = math.floor(self._max_ejected_share * len(self._conditions))
        return away < cap
