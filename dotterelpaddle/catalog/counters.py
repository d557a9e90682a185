"""Metrics of the catalog."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.metrics import Metrics


class CatalogCounters:
    """Counters and gauges of one router's catalog.

    Args:
        metrics: Where they are registered.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.revision = metrics.gauge(
            name="catalog_revision", doc="Newest revision wholly in force here."
        )
        self.records = metrics.gauge(
            name="catalog_records", doc="Records held, retired ones left out."
        )
        self.unreadable = metrics.gauge(
            name="catalog_unreadable_records",
            doc="Records of a kind or schema version unknown to this release.",
        )
        self.age = metrics.gauge(
            name="catalog_platform_age_seconds",
            doc="Time since the platform's state is known here.",
        )
        self.polls = metrics.counter(
            name="catalog_polls_total", doc="Reads of the platform's change log."
        )
        self.pushes = metrics.counter(
            name="catalog_pushes_total", doc="Changes sent to other routers."
        )
        self.fetches = metrics.counter(
            name="catalog_fetches_total", doc="Changes fetched from routers over TCP."
        )
        self.divergences = metrics.counter(
            name="catalog_divergences_total",
            doc="Times two routers of one revision held different records.",
        )
