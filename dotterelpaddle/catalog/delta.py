"""Parts of the change log, as routers hold and exchange them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.ids import Revision
from dotterelpaddle.records.keys import parse_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.backing.interface import Row


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """The newest content of one key, as far as known.

    Attributes:
        key: Key of the record's row.
        revision: Revision of the change.
        value: Encoded record, None once it is retired.
    """

    key: str
    revision: Revision
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """All changes of a range of revisions.

    Attributes:
        base: The range begins after this revision.
        head: The range ends with this revision.
        entries: Newest content of each key that changed in the range; keys
            that changed again later may be there with the later content.
        full: Whether it holds every record in force at `head`, so that a key
            that is missing is retired.
        floor: Of a full one, newest retirement that it does not list.
    """

    base: Revision
    head: Revision
    entries: tuple[Entry, ...]
    full: bool = False
    floor: Revision = Revision(0)


def entries_of(*, rows: Iterable[Row]) -> tuple[Entry, ...]:
    """Take from rows what routers hold; rows that are no records are left out."""
    return tuple(
        Entry(key=row.key, revision=row.revision, value=row.value)
        for row in rows
        if parse_key(text=row.key) is not None
    )
