"""The table of the platform's store in which routers register themselves."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from dotterelpaddle.ids import Revision, RouterId
from dotterelpaddle.platform.names import Table
from dotterelpaddle.platform.rows import values_of_rows
from dotterelpaddle.registry.interface import RegistryRow, RegistryRows

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.platform.store import StoreSource
    from dotterelpaddle.platform.store_answers import StoreAnswer

MAX_REMOVED_ROWS = 40
"""Rows removed at a time. A transaction holds 100 entries, and each row takes two."""


class RouterRowsSource:
    """Reads and writes the rows of the routers.

    Args:
        source: Calls the store.
    """

    def __init__(self, *, source: StoreSource) -> None:
        self._source = source

    async def router_row(self, *, router: RouterId) -> RegistryRows:
        """Read the row of one router, if it has any."""
        return _registry_rows(
            await self._source.read_rows(table=Table.ROUTERS, key=router)
        )

    async def router_rows(self) -> RegistryRows:
        """Read the rows of all routers."""
        return _registry_rows(await self._source.read_rows(table=Table.ROUTERS))

    async def put_router_row(self, *, router: RouterId, row: bytes) -> None:
        """Write the row of a router."""
        await self._source.write_rows(table=Table.ROUTERS, put={router: row})

    async def remove_router_rows(self, *, rows: Mapping[RouterId, RegistryRow]) -> None:
        """Remove rows, unless any of them has changed since it was read."""
        remove = {
            router: row.revision
            for router, row in islice(rows.items(), MAX_REMOVED_ROWS)
        }
        await self._source.write_rows(table=Table.ROUTERS, remove=remove)


def _registry_rows(answer: StoreAnswer) -> RegistryRows:
    values = values_of_rows(rows=answer.rows)
    revisions = {row["key"]: Revision(row["ver"]) for row in answer.rows}
    return RegistryRows(
        rows={
            RouterId(key): RegistryRow(value=value, revision=revisions[key])
            for key, value in values.items()
        },
        as_of=answer.time,
    )
