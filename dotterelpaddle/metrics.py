"""Metrics of one router, by aioprometheus.

Each router has a registry of its own, so that several can run in one process.
"""

from __future__ import annotations

import math

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.004,
    0.008,
    0.016,
    0.032,
    0.064,
    0.128,
    0.256,
    0.512,
    1.024,
    4.096,
    16.384,
)
"""Upper bounds of latency buckets, seconds."""


class Metrics:
    """Makes metrics and renders them as Prometheus text."""

    def __init__(self) -> None:
        self._registry = Registry()

    def counter(self, *, name: str, doc: str) -> Counter:
        """Make a counter; `inc(labels)` and `add(labels, value)` raise it."""
        return Counter(f"dotterelpaddle_{name}", doc, registry=self._registry)

    def gauge(self, *, name: str, doc: str) -> Gauge:
        """Make a gauge; `set(labels, value)` changes it."""
        return Gauge(f"dotterelpaddle_{name}", doc, registry=self._registry)

    def histogram(
        self,
        *,
        name: str,
        doc: str,
        buckets: tuple[float, ...] = LATENCY_BUCKETS_SECONDS,
    ) -> Histogram:
        """Make a histogram; `observe(labels, value)` adds to it.

        Args:
            name: Its name without the project's prefix.
            doc: What it measures, with the unit.
            buckets: Upper bounds of all buckets but the last, which takes the rest.
        """
        return Histogram(
            f"dotterelpaddle_{name}",
            doc,
            buckets=[*buckets, math.inf],
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return all metrics as Prometheus text."""
        content: bytes = text.TextFormatter().marshall(self._registry)
        return content
