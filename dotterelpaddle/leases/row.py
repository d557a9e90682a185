"""How a lease is written in its table row."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import TypeAdapter, ValidationError

from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Row

log = get_logger(name=__name__)

KEY_PREFIX = "lease/"
NOBODY = ""
"""Holder of a lease that was released."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseContent:
    """What a lease's row says.

    Attributes:
        holder: Who holds it, `NOBODY` once released.
        epoch: How often it has changed hands.
        duration: Seconds that the others must wait after the last renewal.
    """

    holder: str
    epoch: int
    duration: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """A lease's row as it was read.

    Attributes:
        revision: The row's revision, 0 if there is none.
        content: What it says.
    """

    revision: Revision
    content: LeaseContent


_ADAPTER = TypeAdapter(LeaseContent)


def key_of(*, name: str) -> str:
    """Return the row's key of a lease."""
    return KEY_PREFIX + name


def encode(*, content: LeaseContent) -> bytes:
    """Write a row's value."""
    return _ADAPTER.dump_json(content)


def decode(*, rows: tuple[Row, ...]) -> LeaseRow:
    """Read the lease from the rows found under its key, at most one.

    A row that was deleted or can't be read counts as released. Its epoch is then
    the revision: no epoch before was higher, as each took a revision of its own.
    """
    if not rows:
        return LeaseRow(revision=Revision(0), content=_released(epoch=0))
    row = rows[0]
    if row.value is not None:
        try:
            content = _ADAPTER.validate_json(row.value)
        except ValidationError:
            log.warning("lease_unreadable", key=row.key, revision=row.revision)
        else:
            return LeaseRow(revision=row.revision, content=content)
    return LeaseRow(revision=row.revision, content=_released(epoch=row.revision))


def _released(*, epoch: int) -> LeaseContent:
    return LeaseContent(holder=NOBODY, epoch=epoch, duration=0.0)
