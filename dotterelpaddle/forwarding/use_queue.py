"""News of where parts of prompts were read, until other routers were told."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.ids import EndpointId

REPORTS_PER_USE = 3
"""Reports in which a use is told to other routers, because datagrams get lost."""

MAX_LOCAL_USES_PER_REPORT = 48
"""Uses of a router's own in one report, so that it stays in one packet or two."""

MAX_FORWARDED_USES_PER_REPORT = 160
"""Uses of other routers in one report, 4 KB: after a start twenty of them place some
hundred prompts a second that nobody has read yet."""

PartTag = int
"""32 bits of a part's digest and its model's name."""

PartUse = tuple[PartTag, "EndpointId"]
"""A part, and an endpoint that has read it."""


class UseQueue:
    """Uses that are still to be told.

    Args:
        max_per_report: Uses that are told in one report.
    """

    def __init__(self, *, max_per_report: int = MAX_LOCAL_USES_PER_REPORT) -> None:
        self._max_per_report = max_per_report
        self._reports_left: OrderedDict[PartUse, int] = OrderedDict()

    def put(self, *, use: PartUse) -> None:
        """Let a use be told in the next reports."""
        self._reports_left[use] = REPORTS_PER_USE
        self._reports_left.move_to_end(use)

    def discard(self, *, use: PartUse) -> None:
        """Tell a use no more."""
        self._reports_left.pop(use, None)

    def take(self) -> list[PartUse]:
        """The uses for the next reports; each is told a few times."""
        told = list(islice(self._reports_left, self._max_per_report))
        for use in told:
            left = self._reports_left.pop(use) - 1
            if left:
                self._reports_left[use] = left
        return told
