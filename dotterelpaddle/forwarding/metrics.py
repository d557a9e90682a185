"""What a forwarding router counts, for those who look for the cause of trouble."""

from __future__ import annotations

import math
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.model import RequestKind
from dotterelpaddle.metrics import Metrics

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.forwarding.crashes import CrashTracker
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.follower import Follower
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.retry_budget import RetryBudget
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.peers.directory import PeerDirectory

MEMORY_FILE = Path("/proc/self/statm")
"""Where the system tells a process's memory, in pages; the second field is what is
resident."""

PAGE_BYTES = 4096


class ForwardMetrics:
    """Counts what happens to requests and to calls of the platform."""

    def __init__(self) -> None:
        self.registry = Metrics()
        counter, histogram = self.registry.counter, self.registry.histogram
        self._requests = counter(
            name="requests_total",
            doc="Callers' requests that ended, by kind, status and outcome.",
        )
        self._seconds = histogram(
            name="request_seconds",
            doc="Seconds from a request's arrival to its end, by kind.",
        )
        self._pauses = histogram(
            name="longest_pause_seconds",
            doc="Longest pause between two events of a stream, by route's objective.",
        )
        self._begins = histogram(
            name="first_byte_seconds",
            doc="Seconds from an attempt's begin to its answer's, by service.",
        )
        self._choices = counter(
            name="choices_total",
            doc="Endpoints chosen by an owner (''), or here and why, by service.",
        )
        self._failures = counter(
            name="attempts_failed_total",
            doc="Attempts that brought no answer, by service and error.",
        )
        self._blocked = counter(
            name="requests_blocked_total",
            doc="Requests that were sent to no endpoint as others ended under them.",
        )
        self._calls = counter(
            name="platform_calls_total",
            doc="Calls to the platform's store, by what was asked and result.",
        )

    def count_request(self, *, exchange: ForwardExchange, seconds: float) -> None:
        """Count a request that ended."""
        kind = exchange.route.kind.value if exchange.route else ""
        self._requests.inc(
            {
                "kind": kind,
                "status": str(exchange.reply.status or ""),
                "outcome": exchange.attempts.outcome.value,
            }
        )
        self._seconds.observe({"kind": kind}, seconds)
        route = exchange.route
        if route is not None and route.kind is RequestKind.STREAM:
            objective = f"{route.gap_objective:g}"
            self._pauses.observe({"objective": objective}, exchange.reply.longest_pause)

    def observe_first_byte(self, *, service: str, seconds: float) -> None:
        """Count an answer that began."""
        self._begins.observe({"service": service}, seconds)

    def count_choice(self, *, choice: Choice) -> None:
        """Count an endpoint that was chosen, by why this router chose it itself."""
        alone = choice.local_reason.value if choice.local_reason is not None else ""
        self._choices.inc({"service": choice.entry.service, "alone_because": alone})

    def count_failed_attempt(self, *, service: str, error: str) -> None:
        """Count an attempt that brought no answer."""
        self._failures.inc({"service": service, "error": error})

    def count_blocked_request(self, *, service: str) -> None:
        """Count a request that was not sent as endpoints end under it."""
        self._blocked.inc({"service": service})

    def count_platform_call(self, *, call: str, result: str) -> None:
        """Count a call to the platform."""
        self._calls.inc({"what": call, "result": result})


@dataclass(frozen=True, kw_only=True, slots=True)
class MetricsSources:
    """What is read when metrics are asked for.

    Attributes:
        view: Configuration and endpoints in force.
        loads: Requests in flight.
        repeats: What repeats cost.
        crashes: Under which requests endpoints ended.
        directory: The other routers.
        follower: Knows how long ago the platform was heard from.
    """

    view: FleetView
    loads: LoadTracker
    repeats: RetryBudget
    crashes: CrashTracker
    directory: PeerDirectory
    follower: Follower


class MetricsPage:
    """Renders the counts, and the state at that moment, as Prometheus text.

    Args:
        metrics: What was counted.
        sources: Whose state is told.
    """

    def __init__(self, *, metrics: ForwardMetrics, sources: MetricsSources) -> None:
        self._registry = metrics.registry
        self._sources = sources
        gauge = self._registry.gauge
        self._version = gauge(
            name="configuration_version", doc="Version of the configuration in force."
        )
        self._age = gauge(
            name="platform_word_age_seconds",
            doc="Seconds since this router heard from the platform, by what it told.",
        )
        self._endpoints = gauge(name="endpoints", doc="Endpoints known, by service.")
        self._in_flight = gauge(
            name="endpoint_in_flight",
            doc="Requests in flight at an endpoint, of all routers as far as known.",
        )
        self._repeats_left = gauge(
            name="repeats_left",
            doc="Repeats that this router may make now, by service.",
        )
        self._suspects = gauge(
            name="requests_suspected",
            doc="Requests under which an endpoint ended of late, and those blocked.",
        )
        self._peers = gauge(name="peers", doc="Other routers that are heard.")
        self._memory = gauge(name="memory_bytes", doc="Resident memory.")

    def render(self) -> bytes:
        """Return the page."""
        observed = self._sources
        self._version.set({}, observed.view.version)
        ages = {
            "configuration": observed.follower.configuration_age,
            "endpoints": observed.follower.endpoints_age,
        }
        for what, age in ages.items():
            self._age.set({"what": what}, age if math.isfinite(age) else math.nan)
        self._set_endpoints()
        self._suspects.set({"state": "suspected"}, observed.crashes.suspect_count)
        self._suspects.set({"state": "blocked"}, observed.crashes.blocked_count)
        self._peers.set({}, len(observed.directory.alive))
        self._memory.set({}, _resident_bytes())
        return self._registry.render()

    def _set_endpoints(self) -> None:
        observed = self._sources
        # Endpoints come and go; what is told is only of those that are there.
        self._in_flight.values.clear()
        self._endpoints.values.clear()
        counts: dict[str, int] = {}
        loads = observed.loads.loads()
        for entry in observed.view.entries:
            counts[entry.service] = counts.get(entry.service, 0) + 1
            labels = {"service": entry.service, "endpoint": entry.endpoint}
            self._in_flight.set(labels, loads[entry.endpoint])
        for service, count in counts.items():
            self._endpoints.set({"service": service}, count)
        for service in observed.repeats.counts():
            room = max(0.0, observed.repeats.room(service=service))
            self._repeats_left.set({"service": service}, math.floor(room))


def _resident_bytes() -> int:
    """Resident memory; 0 where the system does not tell it, as under macOS."""
    if not MEMORY_FILE.exists():
        return 0
    return int(MEMORY_FILE.read_text().split()[1]) * PAGE_BYTES
