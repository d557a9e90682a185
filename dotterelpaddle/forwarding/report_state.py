"""Tracks how often and when an update was reported to other routers."""

from __future__ import annotations

from dataclasses import dataclass

REPORTS_PER_UPDATE = 3
"""Reports that contain each update; several, because datagrams get lost."""


@dataclass(kw_only=True, slots=True)
class ReportState:
    """Progress of reporting one update.

    Attributes:
        reports_left: Reports that still have to contain the update.
        reported_at: Time of the last report, seconds on the monotonic clock.
    """

    reports_left: int = REPORTS_PER_UPDATE
    reported_at: float = float("-inf")

    def is_due(self, *, now: float, interval: float) -> bool:
        """Return whether reports are left or the last one is `interval` seconds old."""
        return self.reports_left > 0 or now - self.reported_at >= interval

    def mark_reported(self, *, now: float) -> None:
        """Record that a report contains the update."""
        self.reports_left = max(0, self.reports_left - 1)
        self.reported_at = now

    def report_again(self) -> None:
        """Put the update into at least one more report."""
        self.reports_left = max(self.reports_left, 1)
