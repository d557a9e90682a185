"""Queues the uses of prompt parts that the next reports to other routers contain."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.ids import EndpointId

REPORTS_PER_USE = 3
"""Reports that contain each use; several, because datagrams get lost."""

MAX_LOCAL_USES_PER_REPORT = 48
"""Uses by this router in one report, which keeps it within one or two packets."""

MAX_FORWARDED_USES_PER_REPORT = 160
"""Forwarded uses in one report, 4 KB: after a start, twenty routers place some hundred
uncached prompts per second."""

MAX_QUEUED_USES = 8_000
"""Uses in a queue, 2 MB: as many as reports contain within 100 s. Endpoints may have
evicted a part that was used earlier."""

PartTag = int
"""32-bit hash of a prompt part and the name of its model."""

PartUse = tuple[PartTag, "EndpointId"]
"""A prompt part and an endpoint that has read it."""


class UseQueue:
    """Queue of the uses that this router has yet to report.

    Args:
        max_per_report: Maximum number of uses in one report.
    """

    def __init__(self, *, max_per_report: int = MAX_LOCAL_USES_PER_REPORT) -> None:
        self._max_per_report = max_per_report
        self._reports_left: OrderedDict[PartUse, int] = OrderedDict()

    @property
    def size(self) -> int:
        """Number of uses that reports have yet to contain."""
        return len(self._reports_left)

    def put(self, *, use: PartUse) -> None:
        """Queue a use for the next reports; the one that waits longest gives way."""
        self._reports_left[use] = REPORTS_PER_USE
        self._reports_left.move_to_end(use)
        if len(self._reports_left) > MAX_QUEUED_USES:
            self._reports_left.popitem(last=False)

    def discard(self, *, use: PartUse) -> None:
        """Remove a use from the queue."""
        self._reports_left.pop(use, None)

    def take(self) -> list[PartUse]:
        """Return the uses for the next report; each goes into several reports."""
        uses = list(islice(self._reports_left, self._max_per_report))
        for use in uses:
            reports_left = self._reports_left.pop(use) - 1
            if reports_left:
                self._reports_left[use] = reports_left
        return uses
