"""Prometheus metrics of a forwarding router."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.model import RequestKind
from dotterelpaddle.memory.resident import resident_bytes
from dotterelpaddle.metrics import Metrics

if TYPE_CHECKING:
    from aioprometheus import Gauge

    from dotterelpaddle.crashes.tracker import CrashTracker
    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.follower import Follower
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.slowdowns import Slowdowns
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.memory.held_bytes import HeldBytes
    from dotterelpaddle.peers.directory import PeerDirectory
    from dotterelpaddle.retries.budget import RetryBudget


class ForwardMetrics:
    """Counters and histograms of requests and of calls to the platform."""

    def __init__(self) -> None:
        self.registry = Metrics()
        counter, histogram = self.registry.counter, self.registry.histogram
        self._requests = counter(
            name="requests_total",
            doc="Callers' requests that ended, by kind, status and outcome.",
        )
        self._request_seconds = histogram(
            name="request_seconds",
            doc="Seconds from a request's arrival to its end, by kind.",
        )
        self._longest_pauses = histogram(
            name="longest_pause_seconds",
            doc="Longest pause between two events of a stream, by route's objective.",
        )
        self._first_byte_seconds = histogram(
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
        self._silences = counter(
            name="attempts_silent_total",
            doc="Attempts whose endpoint sent nothing for long, by service.",
        )
        self._blocked = counter(
            name="requests_blocked_total",
            doc="Requests that were sent to no endpoint as others ended under them.",
        )
        self._streams_resumed = counter(
            name="streams_resumed_total",
            doc="Streams that callers resumed, by what told where they began.",
        )
        self._platform_calls = counter(
            name="platform_calls_total",
            doc="Calls to the platform's store, by what was asked and result.",
        )

        self._task_failures = counter(
            name="task_failures_total",
            doc="Unexpected errors of tasks that last as long as the process, by task.",
        )
        self._waiting = self.registry.gauge(
            name="admission_waiting",
            doc="Requests of this router that wait for a slot, by service.",
        )
        self._admitted = self.registry.counter(
            name="admission_grants_total",
            doc="Requests granted a slot, by service and whether they waited.",
        )
        self._refused = self.registry.counter(
            name="admission_refusals_total",
            doc="Requests refused a slot, by service and reason.",
        )
        self._admission_seconds = self.registry.histogram(
            name="admission_wait_seconds",
            doc="Seconds from the question for a slot to its grant, by service.",
        )

    def count_request(self, *, exchange: ForwardExchange, seconds: float) -> None:
        """Record a finished request and its duration in seconds."""
        kind = exchange.route.kind.value if exchange.route else ""
        self._requests.inc(
            {
                "kind": kind,
                "status": str(exchange.reply.status or ""),
                "outcome": exchange.attempts.outcome.value,
            }
        )
        self._request_seconds.observe({"kind": kind}, seconds)
        route = exchange.route
        if route is not None and route.kind is RequestKind.STREAM:
            objective = f"{route.gap_objective:g}"
            self._longest_pauses.observe(
                {"objective": objective}, exchange.reply.longest_pause
            )

    def observe_first_byte(self, *, service: str, seconds: float) -> None:
        """Record the seconds from the start of an attempt to its answer."""
        self._first_byte_seconds.observe({"service": service}, seconds)

    def count_choice(self, *, choice: Choice) -> None:
        """Count a selected endpoint, by the reason why no owner selected it."""
        local_reason = (
            choice.local_reason.value if choice.local_reason is not None else ""
        )
        self._choices.inc(
            {"service": choice.entry.service, "alone_because": local_reason}
        )

    def count_task_failure(self, task: str) -> None:
        """Count an unexpected error of a task that lasts as long as the process."""
        self._task_failures.inc({"task": task})

    def add_waiting(self, *, service: str, count: int) -> None:
        """Add to the number of requests that wait for a slot."""
        self._waiting.add({"service": service}, count)

    def count_admission(self, *, service: str, waited: bool, seconds: float) -> None:
        """Count a slot that was granted, with the seconds that the grant took."""
        self._admitted.inc({"service": service, "waited": str(waited).lower()})
        self._admission_seconds.observe({"service": service}, seconds)

    def count_admission_refusal(self, *, service: str, reason: str) -> None:
        """Count a request that was refused a slot."""
        self._refused.inc({"service": service, "reason": reason})

    def count_failed_attempt(self, *, service: str, error: str) -> None:
        """Count an attempt without a successful answer."""
        self._failures.inc({"service": service, "error": error})

    def count_silent_attempt(self, *, service: str) -> None:
        """Count an attempt whose endpoint has sent nothing for longer than usual."""
        self._silences.inc({"service": service})

    def count_blocked_request(self, *, service: str) -> None:
        """Count a request blocked because endpoints crashed during it."""
        self._blocked.inc({"service": service})

    def count_resumed_stream(self, *, source: str) -> None:
        """Count a stream that a caller resumed, by what told where it began."""
        self._streams_resumed.inc({"source": source})

    def count_platform_call(self, *, call: str, result: str) -> None:
        """Count a call to the platform."""
        self._platform_calls.inc({"what": call, "result": result})


@dataclass(frozen=True, kw_only=True, slots=True)
class MetricsSources:
    """Components whose state a scrape reads.

    Attributes:
        view: Active configuration and endpoints.
        loads: Requests in flight.
        slowdowns: How much longer work currently takes at endpoints.
        retry_budget: Provides the retries left to this router.
        crashes: Requests suspected to crash endpoints.
        directory: The other routers.
        follower: Provides the age of the last update from the platform.
        held: What is held for callers and endpoints.
    """

    view: FleetView
    loads: LoadTracker
    slowdowns: Slowdowns
    retry_budget: RetryBudget
    crashes: CrashTracker
    directory: PeerDirectory
    follower: Follower
    held: HeldBytes


class MetricsPage:
    """Renders the metrics and the current state as Prometheus text.

    Args:
        metrics: Counters and histograms.
        sources: Components whose state is rendered.
    """

    def __init__(self, *, metrics: ForwardMetrics, sources: MetricsSources) -> None:
        self._registry = metrics.registry
        self._sources = sources
        gauge = self._registry.gauge
        self._version = gauge(
            name="configuration_version", doc="Version of the configuration in force."
        )
        self._platform_age = gauge(
            name="platform_word_age_seconds",
            doc="Seconds since this router heard from the platform, by what it told.",
        )
        self._data_age = gauge(
            name="platform_data_age_seconds",
            doc="Seconds since the platform confirmed the data to any router, by data.",
        )
        self._endpoints = gauge(name="endpoints", doc="Endpoints known, by service.")
        self._in_flight = gauge(
            name="endpoint_in_flight",
            doc="Requests in flight at an endpoint, of all routers as far as known.",
        )
        self._slowdowns = gauge(
            name="endpoint_slowdown",
            doc="Factor on the usual time of work at an endpoint that reports it.",
        )
        self._retries_left = gauge(
            name="repeats_left",
            doc="Repeats that this router may make now, by service.",
        )
        self._suspected_requests = gauge(
            name="requests_suspected",
            doc="Requests and parts of prompts under which an endpoint ended of late, "
            "and those blocked.",
        )
        self._peers = gauge(name="peers", doc="Other routers that are heard.")
        self._memory = gauge(name="memory_bytes", doc="Resident memory.")
        self._held = self._registry.gauge(
            name="held_bytes",
            doc="Bytes held for callers and endpoints, and their bound, if any.",
        )
        self._held_by_use = self._registry.gauge(
            name="held_bytes_by_use",
            doc="Bytes held by service and by what they are held for.",
        )
        self._answers_waiting = self._registry.gauge(
            name="answers_waiting_for_memory",
            doc="Plain answers that wait for room, half read or not begun.",
        )
        self._memory_refusals = self._registry.counter(
            name="memory_refusals_total",
            doc="Requests refused because of the bytes held for others.",
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        sources = self._sources
        self._version.set({}, sources.view.version)
        follower = sources.follower
        _set_ages(
            gauge=self._platform_age,
            configuration=follower.configuration_age,
            endpoints=follower.endpoints_age,
        )
        _set_ages(
            gauge=self._data_age,
            configuration=follower.confirmed_configuration_age,
            endpoints=follower.confirmed_endpoints_age,
        )
        self._set_endpoints()
        self._suspected_requests.set(
            {"state": "suspected"}, sources.crashes.suspect_count
        )
        self._suspected_requests.set(
            {"state": "blocked"}, sources.crashes.blocked_count
        )
        self._suspected_requests.set(
            {"state": "blocked_parts"}, sources.crashes.blocked_part_count
        )
        self._peers.set({}, len(sources.directory.alive))
        self._memory.set({}, resident_bytes())
        self._held.set({"state": "held"}, sources.held.held)
        for (service, kind), size in sources.held.by_use().items():
            labels = {"service": service or "", "kind": kind.value}
            self._held_by_use.set(labels, size)
        self._answers_waiting.set({}, sources.held.waiting)
        if sources.held.bound is not None:
            self._held.set({"state": "bound"}, sources.held.bound)
            self._memory_refusals.set({}, sources.held.refused)
        return self._registry.render()

    def _set_endpoints(self) -> None:
        sources = self._sources
        # Drop the series of endpoints that no longer exist.
        self._in_flight.values.clear()
        self._slowdowns.values.clear()
        self._endpoints.values.clear()
        counts: dict[str, int] = {}
        loads = sources.loads.loads()
        for entry in sources.view.entries:
            counts[entry.service] = counts.get(entry.service, 0) + 1
            labels = {"service": entry.service, "endpoint": entry.endpoint}
            self._in_flight.set(labels, loads[entry.endpoint])
            if sources.slowdowns.is_told(endpoint=entry.endpoint):
                slowdown = sources.slowdowns.expected(endpoint=entry.endpoint)
                self._slowdowns.set(labels, slowdown)
        for service, count in counts.items():
            self._endpoints.set({"service": service}, count)
        for service in sources.retry_budget.counts():
            retries_left = max(0.0, sources.retry_budget.room(service=service))
            self._retries_left.set({"service": service}, math.floor(retries_left))


def _set_ages(*, gauge: Gauge, configuration: float, endpoints: float) -> None:
    """Set the ages of both kinds of data; an infinite one is shown as NaN."""
    for what, age in (("configuration", configuration), ("endpoints", endpoints)):
        gauge.set({"what": what}, age if math.isfinite(age) else math.nan)
