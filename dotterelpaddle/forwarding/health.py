"""Ejects endpoints whose requests fail.

Only results of requests count: a health check can pass while requests fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)

MIN_EJECTION_SECONDS = 1.0
"""Seconds of the first ejection after a hard failure.

A dead endpoint stays registered for three heartbeats, about four seconds; a few
attempts in that time cost a few requests a retry.
"""

MAX_EJECTION_SECONDS = 4.0
"""Maximum seconds of an ejection, after which the endpoint is tried again."""

IN_TRANSIT_SECONDS = 0.05
"""Seconds after a broken connection from which a complete answer proves that the
endpoint is alive: bytes that it sent before it died arrive within some milliseconds.
An endpoint that loses a fifth of its answers delivers the next one by then and keeps
its share of the load. If all such endpoints were ejected at once, the few others would
get the whole load of the service."""

TIMEOUT_MEMORY_SECONDS = 3.0
"""Seconds after a timeout within which a second one ejects the endpoint: a single one
may be due to a long queue."""

ERROR_EJECTION_SECONDS = 2.0
"""Seconds of an ejection for a high error rate."""

ERROR_SMOOTHING_FACTOR = 0.15
"""Weight of one result in the smoothed error rate."""

HIGH_ERROR_RATE = 0.35
"""Smoothed error rate from which an endpoint is ejected.

Some services fail up to a seventh of their requests in normal operation.
"""

HIGH_ERROR_RATIO = 2.0
"""Multiple of its service's mean error rate from which an endpoint is ejected: if all
endpoints fail alike, ejecting some gains nothing."""

MIN_RESULTS = 6
"""Minimum number of results before an endpoint's error rate counts."""


@dataclass(kw_only=True, slots=True)
class _Record:
    """Results and ejections of one endpoint."""

    hard_failures: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    broke_off: bool = False
    timed_out_at: float = float("-inf")
    error_rate: float = 0.0
    results: int = 0
    replaced: bool = False


class HealthTracker:
    """Tracks results of requests by endpoint.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[EndpointId, _Record] = {}

    def error_rate(self, *, endpoint: EndpointId) -> float:
        """Smoothed error rate of an endpoint's requests."""
        record = self._records.get(endpoint)
        return record.error_rate if record is not None else 0.0

    def record_success(self, *, endpoint: EndpointId, started_at: float) -> None:
        """Record a complete answer to a request that was sent at `started_at`."""
        record = self._record(endpoint)
        self._add_result(record, failed=False)
        alive = record.broke_off and self._clock() >= (
            record.ejected_at + IN_TRANSIT_SECONDS
        )
        if alive or started_at >= record.ejected_at:
            record.hard_failures = 0
            record.ejected_until = 0.0

    def record_error_answer(self, *, entry: EndpointEntry) -> None:
        """Record an answer by which the endpoint reports a failure of the request."""
        self._add_result(self._record(entry.endpoint), failed=True)

    def record_hard_failure(self, *, entry: EndpointEntry, cause: str) -> None:
        """Record a broken connection, or an endpoint that could not be used at all."""
        self._eject(entry=entry, cause=cause, broke_off=True)

    def _eject(self, *, entry: EndpointEntry, cause: str, broke_off: bool) -> None:
        record = self._record(entry.endpoint)
        self._add_result(record, failed=True)
        now = self._clock()
        if record.ejected_until > now:
            return
        seconds = min(
            MIN_EJECTION_SECONDS * 2**record.hard_failures, MAX_EJECTION_SECONDS
        )
        record.hard_failures += 1
        record.ejected_at = now
        record.ejected_until = now + seconds
        record.broke_off = broke_off
        log.warning(
            "endpoint_ejected",
            endpoint=entry.endpoint,
            service=entry.service,
            cause=cause,
            failures=record.hard_failures,
            seconds=seconds,
        )

    def record_timeout(self, *, entry: EndpointEntry) -> None:
        """Record a timeout; only repeated timeouts eject the endpoint."""
        record = self._record(entry.endpoint)
        now = self._clock()
        repeated = now - record.timed_out_at < TIMEOUT_MEMORY_SECONDS
        record.timed_out_at = now
        if repeated:
            self._eject(entry=entry, cause="silent again and again", broke_off=False)
        else:
            self._add_result(record, failed=True)

    def record_replaced(self, *, entry: EndpointEntry) -> None:
        """Record that another endpoint has taken over this endpoint's address."""
        self._record(entry.endpoint).replaced = True
        log.warning("endpoint_replaced", endpoint=entry.endpoint)

    def is_replaced(self, *, endpoint: EndpointId) -> bool:
        """Return whether another endpoint has taken over the address."""
        record = self._records.get(endpoint)
        return record is not None and record.replaced

    def is_healthy(self, *, endpoint: EndpointId) -> bool:
        """Return whether an endpoint is not replaced and has no hard failure.

        A success that proves the endpoint alive resets the hard failures.
        """
        record = self._records.get(endpoint)
        return record is None or not (record.replaced or record.hard_failures)

    def usable(self, *, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Return the endpoints that are not ejected."""
        now = self._clock()
        candidates = [
            entry
            for entry in entries
            if (record := self._records.get(entry.endpoint)) is None
            or record.ejected_until <= now
        ]
        return self._exclude_failing(candidates)

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Delete the records of all endpoints except these."""
        for endpoint in self._records.keys() - endpoints:
            del self._records[endpoint]

    def _exclude_failing(self, entries: list[EndpointEntry]) -> list[EndpointEntry]:
        """Eject endpoints with an error rate far above the mean; return the others."""
        rates = [self._significant_error_rate(entry.endpoint) for entry in entries]
        if not rates or max(rates) < HIGH_ERROR_RATE:
            return entries
        bound = max(HIGH_ERROR_RATE, HIGH_ERROR_RATIO * sum(rates) / len(rates))
        kept = []
        for entry, rate in zip(entries, rates, strict=True):
            if rate < bound:
                kept.append(entry)
                continue
            record = self._record(entry.endpoint)
            # Reset the error rate, so that only new results count after the ejection.
            record.ejected_at = self._clock()
            record.ejected_until = record.ejected_at + ERROR_EJECTION_SECONDS
            record.broke_off = False
            record.error_rate = HIGH_ERROR_RATE / 2
            record.results = 0
            log.warning(
                "endpoint_ejected",
                endpoint=entry.endpoint,
                service=entry.service,
                cause="failed answers",
                share=round(rate, 3),
                seconds=ERROR_EJECTION_SECONDS,
            )
        return kept

    def _significant_error_rate(self, endpoint: EndpointId) -> float:
        record = self._records.get(endpoint)
        if record is None or record.results < MIN_RESULTS:
            return 0.0
        return record.error_rate

    def _add_result(self, record: _Record, *, failed: bool) -> None:
        record.results += 1
        record.error_rate += ERROR_SMOOTHING_FACTOR * (
            float(failed) - record.error_rate
        )

    def _record(self, endpoint: EndpointId) -> _Record:
        return self._records.setdefault(endpoint, _Record())
