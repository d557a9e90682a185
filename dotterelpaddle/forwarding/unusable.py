"""Entries that name no endpoint to use, each told in the logs once."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.exceptions import RecordError
    from dotterelpaddle.ids import EndpointName, Revision

log = get_logger(name=__name__)

MAX_REMEMBERED_ENTRIES = 1000
"""Entries whose faults are remembered, 200 KB at most: a writer that renames its
entries with each write is told of again, and fills no memory."""


class UnusableEntries:
    """Tells of each entry that can't be used, and again when its fault changes.

    Such an entry is written anew with each heartbeat, once a second or so; to tell
    of it each time would push other lines out of the logs.
    """

    def __init__(self) -> None:
        self._causes: OrderedDict[EndpointName, str] = OrderedDict()

    def record(
        self, *, name: EndpointName, revision: Revision, error: RecordError
    ) -> None:
        """Note an entry that can't be used."""
        if self._causes.get(name) == error.message:
            return
        self._causes[name] = error.message
        self._causes.move_to_end(name)
        if len(self._causes) > MAX_REMEMBERED_ENTRIES:
            self._causes.popitem(last=False)
        log.error(
            "endpoint_unusable",
            endpoint=name,
            revision=revision,
            field=error.field,
            cause=error.message,
        )

    def forget(self, *, name: EndpointName) -> None:
        """Note that an entry is gone or can be used."""
        self._causes.pop(name, None)
