"""Metrics of callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.metrics import Metrics
    from dotterelpaddle.pipeline import Exchange, Outcome


class EntryMetrics:
    """Counts requests by outcome and measures how long they took.

    Args:
        metrics: The router's metrics.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._requests = metrics.counter(
            name="requests_total", doc="Requests ended, by account and outcome."
        )
        self._seconds = metrics.histogram(
            name="request_seconds", doc="Seconds from arrival to end of requests."
        )

    def count(self, *, exchange: Exchange, outcome: Outcome, seconds: float) -> None:
        """Count a request that ended."""
        account = exchange.account.name if exchange.account else ""
        self._requests.inc({"account": account, "outcome": outcome.value})
        self._seconds.observe({"outcome": outcome.value}, seconds)
