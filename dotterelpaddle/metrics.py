"""Metrics of one router, with aioprometheus.

Each router has a separate registry, so that several can run in one process.
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
"""Upper bounds of the default latency buckets."""


class Metrics:
    """Creates metrics and renders them as Prometheus text."""

    def __init__(self) -> None:
        self._registry = Registry()

    def counter(self, *, name: str, doc: str) -> Counter:
        """Create a counter; `inc(labels)` and `add(labels, value)` increase it."""
        return Counter(f"dotterelpaddle_{name}", doc, registry=self._registry)

    def gauge(self, *, name: str, doc: str) -> Gauge:
        """Create a gauge; `set(labels, value)` sets it."""
        return Gauge(f"dotterelpaddle_{name}", doc, registry=self._registry)

    def histogram(
        self,
        *,
        name: str,
        doc: str,
        buckets: tuple[float, ...] = LATENCY_BUCKETS_SECONDS,
    ) -> Histogram:
        """Create a histogram; `observe(labels, value)` adds an observation.

        Args:
            name: Name without the project's prefix.
            doc: What the histogram measures, with the unit.
            buckets: Upper bounds of all buckets but the last, which is unbounded.
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
