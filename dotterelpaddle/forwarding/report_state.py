"""How often news is told to other routers."""

from __future__ import annotations

from dataclasses import dataclass

REPORTS_PER_UPDATE = 3
"""Reports in which news is told, because datagrams get lost."""


@dataclass(kw_only=True, slots=True)
class ReportState:
    """How often something was told, and when last.

    Attributes:
        reports_left: Times that it is still to be told as news.
        reported_at: When it was told last, seconds on the monotonic clock.
    """

    reports_left: int = REPORTS_PER_UPDATE
    reported_at: float = float("-inf")

    def is_due(self, *, now: float, interval: float) -> bool:
        """Tell whether it is news, or was told some seconds ago or more."""
        return self.reports_left > 0 or now - self.reported_at >= interval

    def mark_reported(self, *, now: float) -> None:
        """Note that it is told now."""
        self.reports_left = max(0, self.reports_left - 1)
        self.reported_at = now

    def report_again(self) -> None:
        """Let it be told once more at least."""
        self.reports_left = max(self.reports_left, 1)
