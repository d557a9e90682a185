"""Endpoints that are passed over because requests to them fail.

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
"""Seconds that an endpoint is passed over after its first hard failure.

A dead endpoint stays listed for three heartbeats, about four seconds; a few
trials in that time cost a few requests a retry.
"""

MAX_EJECTION_SECONDS = 4.0
"""Seconds that an endpoint is passed over at most, before it is tried again."""

IN_TRANSIT_SECONDS = 0.05
"""Seconds after an endpoint broke off from which a whole answer shows that it lives:
what it sent before it died is there within some milliseconds. One that loses a fifth
of its answers brings the next one by then and keeps its share of the load; all such
endpoints passed over at once leave the load of a service to the few others."""

TIMEOUT_MEMORY_SECONDS = 3.0
"""Seconds within which a second silent request means more than a long queue."""

ERROR_EJECTION_SECONDS = 2.0
"""Seconds that an endpoint is passed over for a high share of failed answers."""

ERROR_SMOOTHING_FACTOR = 0.15
"""Weight of one result in the smoothed share of failed answers."""

HIGH_ERROR_RATE = 0.35
"""Smoothed share of failed answers from which an endpoint is passed over.

Some services fail up to a seventh of their requests when all is well.
"""

HIGH_ERROR_RATIO = 2.0
"""Times the mean share of its service from which an endpoint is passed over:
where all fail alike there is nothing to choose."""

MIN_RESULTS = 6
"""Results of an endpoint before its share of failed answers counts."""


@dataclass(kw_only=True, slots=True)
class _Record:
    """What is known of one endpoint."""

    hard_failures: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    broke_off: bool = False
    timed_out_at: float = float("-inf")
    error_rate: float = 0.0
    results: int = 0
    replaced: bool = False


class HealthTracker:
    """Results of requests, by endpoint.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[EndpointId, _Record] = {}

    def error_rate(self, *, endpoint: EndpointId) -> float:
        """Smoothed share of an endpoint's requests that failed."""
        record = self._records.get(endpoint)
        return record.error_rate if record is not None else 0.0

    def record_success(self, *, endpoint: EndpointId, started_at: float) -> None:
        """Note a whole answer to a request that was sent at some time."""
        record = self._record(endpoint)
        self._smooth(record, failed=False)
        lives = record.broke_off and self._clock() >= (
            record.ejected_at + IN_TRANSIT_SECONDS
        )
        if lives or started_at >= record.ejected_at:
            record.hard_failures = 0
            record.ejected_until = 0.0

    def record_error_answer(self, *, entry: EndpointEntry) -> None:
        """Note an answer that says the endpoint failed on the request."""
        self._smooth(self._record(entry.endpoint), failed=True)

    def record_hard_failure(self, *, entry: EndpointEntry, cause: str) -> None:
        """Note an endpoint that broke off, or could not be used at all."""
        self._eject(entry=entry, cause=cause, broke_off=True)

    def _eject(self, *, entry: EndpointEntry, cause: str, broke_off: bool) -> None:
        record = self._record(entry.endpoint)
        self._smooth(record, failed=True)
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
        """Note an endpoint that was given up on; one that is slow once stays."""
        record = self._record(entry.endpoint)
        now = self._clock()
        repeated = now - record.timed_out_at < TIMEOUT_MEMORY_SECONDS
        record.timed_out_at = now
        if repeated:
            self._eject(entry=entry, cause="silent again and again", broke_off=False)
        else:
            self._smooth(record, failed=True)

    def record_replaced(self, *, entry: EndpointEntry) -> None:
        """Note that another endpoint has the address; this one is gone for good."""
        self._record(entry.endpoint).replaced = True
        log.warning("endpoint_replaced", endpoint=entry.endpoint)

    def is_replaced(self, *, endpoint: EndpointId) -> bool:
        """Tell whether another endpoint has an endpoint's address."""
        record = self._records.get(endpoint)
        return record is not None and record.replaced

    def is_healthy(self, *, endpoint: EndpointId) -> bool:
        """Tell whether nothing but whole answers came from an endpoint of late."""
        record = self._records.get(endpoint)
        return record is None or not (record.replaced or record.hard_failures)

    def usable(self, *, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Return the endpoints that are not passed over."""
        now = self._clock()
        candidates = [
            entry
            for entry in entries
            if (record := self._records.get(entry.endpoint)) is None
            or record.ejected_until <= now
        ]
        return self._without_failing(candidates)

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Forget all endpoints but some."""
        for endpoint in self._records.keys() - endpoints:
            del self._records[endpoint]

    def _without_failing(self, entries: list[EndpointEntry]) -> list[EndpointEntry]:
        """Leave out endpoints that fail far more often than their service does."""
        shares = [self._proven_share(entry.endpoint) for entry in entries]
        if not shares or max(shares) < HIGH_ERROR_RATE:
            return entries
        bound = max(HIGH_ERROR_RATE, HIGH_ERROR_RATIO * sum(shares) / len(shares))
        kept = []
        for entry, share in zip(entries, shares, strict=True):
            if share < bound:
                kept.append(entry)
                continue
            record = self._record(entry.endpoint)
            # Its share starts afresh, so that it is judged anew when tried again.
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
                share=round(share, 3),
                seconds=ERROR_EJECTION_SECONDS,
            )
        return kept

    def _proven_share(self, endpoint: EndpointId) -> float:
        record = self._records.get(endpoint)
        if record is None or record.results < MIN_RESULTS:
            return 0.0
        return record.error_rate

    def _smooth(self, record: _Record, *, failed: bool) -> None:
        record.results += 1
        record.error_rate += ERROR_SMOOTHING_FACTOR * (
            float(failed) - record.error_rate
        )

    def _record(self, endpoint: EndpointId) -> _Record:
        return self._records.setdefault(endpoint, _Record())
