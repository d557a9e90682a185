"""What comes of writes to the claims' table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Row, Write
    from dotterelpaddle.ids import Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class Written:
    """The write took effect.

    Attributes:
        revision: The row's revision now.
    """

    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class Met:
    """The row has another revision; nothing took effect.

    Attributes:
        row: The row as it is, None if there is none.
    """

    row: Row | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The table could not be reached; nothing is known to have taken effect.

    Attributes:
        message: Why.
    """

    message: str


WriteResult = Written | Met | Refused
"""What came of a write."""


class WritesClaims(Protocol):
    """Writes rows of the claims' table."""

    async def write(self, *, write: Write, undo: bool = False) -> WriteResult:
        """Write one row; see `ClaimWriter.write`."""

    async def clear_strays(self) -> None:
        """Delete claims that took effect though nobody learnt it in time."""
