"""Decodes rows of the platform's store and ignores those of unknown writers."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, Any

from dotterelpaddle.exceptions import PlatformUnavailable, RecordError
from dotterelpaddle.forwarding.revisions import StoreRevision
from dotterelpaddle.forwarding.unusable import UnusableEntries
from dotterelpaddle.ids import EndpointName, Revision
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dotterelpaddle.forwarding.interface import DocumentDecoder
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import StoreEra

log = get_logger(name=__name__)

MAX_LOGGED_KEYS = 3
"""Keys of ignored rows in one log line."""

Row = dict[str, Any]
"""A row as the store returns it: key, version, and value or `removed`."""


class EntryRowDecoder:
    """Decodes the rows with endpoints' entries.

    Args:
        documents: Decodes the values of rows.
    """

    def __init__(self, *, documents: DocumentDecoder) -> None:
        self._documents = documents
        self._unusable = UnusableEntries()

    def decode(
        self, *, rows: Iterable[Row], era: StoreEra
    ) -> tuple[tuple[EndpointEntry, ...], dict[EndpointName, StoreRevision]]:
        """Return the entries, and the names without a valid entry.

        If several rows have one name, returns the entries of all of them, because the
        last row may be a late one of an earlier incarnation.
        """
        entries: list[EndpointEntry] = []
        removed: dict[EndpointName, StoreRevision] = {}
        for row in rows:
            name, revision = EndpointName(row["key"]), row_revision(row=row, era=era)
            entry = None if row.get("removed") else self._entry(row, name, revision)
            if entry is None:
                removed[name] = revision
            else:
                entries.append(entry)
        return tuple(entries), removed

    def _entry(
        self, row: Row, name: EndpointName, revision: StoreRevision
    ) -> EndpointEntry | None:
        try:
            entry = self._documents.endpoint(
                name=name, document=row_value(row=row), revision=revision
            )
        except RecordError as error:
            self._unusable.record(name=name, revision=revision, error=error)
            return None
        self._unusable.forget(name=name)
        return entry


def rows_of_platform(*, rows: Sequence[Row]) -> list[Row]:
    """Return the rows in the empty part of a table, where those of the platform are.

    A listing names the part, a feed has the changes of all of them.
    """
    kept = [row for row in rows if row.get("part", "") == ""]
    if len(kept) < len(rows):
        log.info(
            "rows_of_other_parts_ignored",
            count=len(rows) - len(kept),
            keys=[row["key"] for row in rows if row not in kept][:MAX_LOGGED_KEYS],
        )
    return kept


def check_rows(*, rows: Sequence[object], peer: str) -> None:
    """Check the parts of rows that the store itself writes: key and version.

    Raises:
        PlatformUnavailable: If a key or a version is missing.
    """
    for row in rows:
        if (
            not isinstance(row, dict)
            or not isinstance(row.get("key"), str)
            or not isinstance(row.get("ver"), int)
        ):
            raise PlatformUnavailable(
                "the store returned a row without key or version", peer=peer
            )


def row_revision(*, row: Row, era: StoreEra) -> StoreRevision:
    """Return the revision of a row that was read in an era."""
    return StoreRevision(era=era, number=Revision(row["ver"]))


def row_value(*, row: Row) -> bytes:
    """Return the value of a row.

    Raises:
        RecordError: If the row has no valid value.
    """
    try:
        return base64.b64decode(row["value"])
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise RecordError(
            f"the row has no valid value: {error}", field="value"
        ) from error


def values_of_rows(*, rows: Iterable[Row]) -> dict[str, bytes]:
    """Return the values of rows, by key, without rows that have no valid value."""
    values = {}
    for row in rows:
        try:
            values[row["key"]] = row_value(row=row)
        except RecordError as error:
            log.warning("row_unusable", key=row["key"], cause=error.message)
    return values
