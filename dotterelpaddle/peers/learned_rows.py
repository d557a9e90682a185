"""What the platform's store keeps of what routers have learned of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, kw_only=True, slots=True)
class LearnedRows:
    """Rows that routers write and read.

    Attributes:
        crashes: What crashes endpoints, None without a row.
        brittle: Services whose endpoints are brittle, None without a row.
    """

    crashes: bytes | None = None
    brittle: bytes | None = None


class LearnedStore(Protocol):
    """The rows of the platform's store that belong to this fleet."""

    async def learned_rows(self) -> LearnedRows:
        """Read all rows.

        Raises:
            PlatformError: If the store returns no usable answer in time.
        """

    async def put_learned_rows(self, *, rows: LearnedRows) -> None:
        """Write the given rows, all or none.

        Raises:
            PlatformError: If the store does not confirm them in time.
        """
