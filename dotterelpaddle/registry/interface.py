"""The rows of the platform's store in which routers register themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.store_clock import StoreTime
    from dotterelpaddle.ids import Revision, RouterId


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryRow:
    """A router's row.

    Attributes:
        value: The encoded registration.
        revision: Revision of its last change.
    """

    value: bytes
    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryRows:
    """Rows as they were at one moment.

    Attributes:
        rows: The rows, by router.
        as_of: When the store read them, None if it does not say.
    """

    rows: Mapping[RouterId, RegistryRow]
    as_of: StoreTime | None


class RegistryStore(Protocol):
    """Reads and writes the rows of the routers.

    All calls raise `PlatformError` if the store returns no usable answer in time.
    """

    async def router_row(self, *, router: RouterId) -> RegistryRows:
        """Read the row of one router, if it has any."""

    async def router_rows(self) -> RegistryRows:
        """Read the rows of all routers."""

    async def put_router_row(self, *, router: RouterId, row: bytes) -> None:
        """Write the row of a router."""

    async def remove_router_rows(self, *, rows: Mapping[RouterId, RegistryRow]) -> None:
        """Remove rows, unless any of them has changed since it was read."""
