"""Keys of the records table.

A record's row has the key ``KIND/NAME``. Rows whose key starts with a tilde
are bookkeeping of the operator interface, such as reference guards; they are
no records and never reach a catalog.
"""

from __future__ import annotations

from dataclasses import dataclass

SEPARATOR = "/"
"""Stands between kind and name."""

INTERNAL_PREFIX = "~"
"""First character of keys that are no records."""

GUARD_PREFIX = f"{INTERNAL_PREFIX}users{SEPARATOR}"
"""Start of the keys of reference guards."""

CLAIM_PREFIX = f"{INTERNAL_PREFIX}claims{SEPARATOR}"
"""Start of the keys of rows for what only one record may have."""


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class RecordKey:
    """Which record a row holds.

    Attributes:
        kind: Its kind as written, perhaps one that this release doesn't know.
        name: Its name.
    """

    kind: str
    name: str

    @property
    def guard(self) -> str:
        """Key of the row that changes whenever a record starts to use this one."""
        return f"{GUARD_PREFIX}{self}"

    def __str__(self) -> str:
        return f"{self.kind}{SEPARATOR}{self.name}"


def parse_key(*, text: str) -> RecordKey | None:
    """Read a row's key.

    Returns:
        Which record the row holds, or None if it is no record.
    """
    if text.startswith(INTERNAL_PREFIX):
        return None
    kind, separator, name = text.partition(SEPARATOR)
    if not separator:
        return None
    return RecordKey(kind=kind, name=name)


def claim_row(*, kind: str, attribute: str, value: str) -> str:
    """Key of the row that changes whenever a record claims a value for itself."""
    return f"{CLAIM_PREFIX}{kind}{SEPARATOR}{attribute}{SEPARATOR}{value}"
