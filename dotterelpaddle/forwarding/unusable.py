"""Entries that name no usable endpoint, each logged once."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.exceptions import RecordError
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import EndpointName

log = get_logger(name=__name__)

MAX_REMEMBERED_ENTRIES = 1000
"""Maximum number of entries whose errors are remembered, 200 KB: a writer that renames
its entries with each write is logged again, but can't exhaust memory."""


class UnusableEntries:
    """Logs each unusable entry once, and again when its error changes.

    Heartbeats rewrite such an entry about once a second; logging every write would push
    other lines out of the logs.
    """

    def __init__(self) -> None:
        self._causes: OrderedDict[EndpointName, str] = OrderedDict()

    def record(
        self, *, name: EndpointName, revision: StoreRevision, error: RecordError
    ) -> None:
        """Log an unusable entry unless its error is already logged."""
        if self._causes.get(name) == error.message:
            return
        self._causes[name] = error.message
        self._causes.move_to_end(name)
        if len(self._causes) > MAX_REMEMBERED_ENTRIES:
            self._causes.popitem(last=False)
        log.error(
            "endpoint_unusable",
            endpoint=name,
            era=revision.era,
            revision=revision.number,
            field=error.field,
            cause=error.message,
        )

    def forget(self, *, name: EndpointName) -> None:
        """Forget the error of an entry that was removed or is usable."""
        self._causes.pop(name, None)
