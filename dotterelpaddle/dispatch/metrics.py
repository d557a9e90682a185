"""Metrics of dispatch."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.exceptions import EndpointError
    from dotterelpaddle.metrics import Metrics


class ClaimResult(Enum):
    """What came of a request that runs at most once, before it is sent."""

    CLAIMED = "claimed"
    REPLAYED = "replayed"
    UNKNOWN = "unknown"
    REUSED = "reused"
    REFUSED = "refused"


class DispatchMetrics:
    """Counts retries, failed attempts and claims.

    Args:
        metrics: The router's metrics.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._retries = metrics.counter(
            name="retries_total", doc="Retries and hedges wanted, by permission."
        )
        self._failures = metrics.counter(
            name="attempts_failed_total", doc="Attempts without an answer, by cause."
        )
        self._claims = metrics.counter(
            name="claims_total", doc="Requests that run at most once, by result."
        )

    def count_retry(self, *, allowed: bool) -> None:
        """Count a wish to retry."""
        self._retries.inc({"allowed": "true" if allowed else "false"})

    def count_failure(self, *, error: EndpointError) -> None:
        """Count an attempt that brought no answer."""
        self._failures.inc({"cause": type(error).__name__})

    def count_claim(self, *, result: ClaimResult) -> None:
        """Count what came of a request that runs at most once."""
        self._claims.inc({"result": result.value})
