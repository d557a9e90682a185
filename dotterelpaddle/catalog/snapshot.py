"""Snapshots of all records in the platform's object store.

A router that starts while the table is down begins with one; one that starts
later reads only the change log's tail.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.catalog.chunks import pack_chunks, unpack_chunks
from dotterelpaddle.catalog.message_classes import Bulk
from dotterelpaddle.catalog.messages import decode_bulk, encode_bulk
from dotterelpaddle.catalog.store import Source
from dotterelpaddle.exceptions import ControlError, PlatformError
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import ObjectStore
    from dotterelpaddle.catalog.context import CatalogContext

log = get_logger(name=__name__)

OBJECT_NAME = "catalog/snapshot"


class Snapshots:
    """Reads and writes the snapshot.

    Args:
        context: State and resources of the catalog.
        objects: The platform's object store.
    """

    def __init__(self, *, context: CatalogContext, objects: ObjectStore) -> None:
        self._objects = objects
        self._store = context.store
        self._topology = context.topology
        self._settings = context.settings
        self._written = Revision(0)

    @property
    def written(self) -> Revision:
        """Newest revision of a snapshot, as far as known here."""
        return self._written

    async def load(self) -> bool:
        """Take in the snapshot, if there is one that can be read."""
        try:
            content = await self._objects.get(name=OBJECT_NAME)
            if content is None:
                return False
            delta = await unpack_chunks(chunks=decode_bulk(content).chunks)
        except (PlatformError, ControlError) as error:
            log.warning("catalog_snapshot_unreadable", error=str(error))
            return False
        self._written = max(self._written, delta.head)
        self._store.apply(delta=delta, source=Source.SNAPSHOT)
        return True

    async def write_forever(self) -> None:
        """Write a snapshot when enough has changed, if this is up to this router."""
        while True:
            await anyio.sleep(self._settings.snapshot_interval)
            if self._is_due() and self._topology.writes_snapshots:
                await self.write()

    async def write(self) -> None:
        """Write a snapshot."""
        delta = self._store.full()
        chunks = await pack_chunks(delta=delta)
        content = encode_bulk(Bulk(ready=True, age=None, chunks=chunks))
        try:
            await self._objects.put(name=OBJECT_NAME, content=content)
        except PlatformError as error:
            log.warning("catalog_snapshot_failed", error=str(error))
            return
        self._written = delta.head
        log.info("catalog_snapshot", revision=delta.head, size=len(content))

    def _is_due(self) -> bool:
        behind = self._store.revision - self._written
        return self._store.ready and behind >= self._settings.snapshot_changes
