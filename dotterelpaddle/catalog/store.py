"""The records that this router holds, and those of them that are in force."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.catalog.index import Index
from dotterelpaddle.catalog.state import CatalogState
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.catalog.delta import Delta
    from dotterelpaddle.catalog.settings import CatalogSettings
    from dotterelpaddle.ids import Revision

log = get_logger(name=__name__)


class Source(Enum):
    """Where a change came from."""

    COMMIT = "commit"
    PLATFORM = "platform"
    PEER = "peer"
    SNAPSHOT = "snapshot"


class RecordStore:
    """Joins deltas and brings what changed into force at once.

    Args:
        settings: How a router follows the records.
    """

    def __init__(self, *, settings: CatalogSettings) -> None:
        self._state = CatalogState(
            recent_changes=settings.recent_changes, tombstones=settings.tombstones
        )
        self._index = Index()
        self._generation = 0
        self._handlers: list[Callable[[], None]] = []
        self._ready = anyio.Event()
        self._loaded_from: Source | None = None

    @property
    def state(self) -> CatalogState:
        """What is known of the records table."""
        return self._state

    @property
    def index(self) -> Index:
        """The records in force."""
        return self._index

    @property
    def revision(self) -> Revision:
        """Newest revision that is wholly in force here."""
        return self._state.revision

    @property
    def generation(self) -> int:
        """Grows with each change here."""
        return self._generation

    @property
    def ready(self) -> bool:
        """Whether the records were loaded from anywhere."""
        return self._ready.is_set()

    @property
    def loaded_from(self) -> Source | None:
        """Where they were loaded from first, None if they were not."""
        return self._loaded_from

    def on_change(self, *, handler: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._handlers.append(handler)

    def apply(self, *, delta: Delta, source: Source) -> bool:
        """Take in a delta.

        Returns:
            Whether anything was new.
        """
        before = self._state.revision
        contents = {
            entry.key: self._state.entry(key=entry.key) for entry in delta.entries
        }
        changed = self._state.join(delta=delta)
        for entry in changed:
            self._index.apply(entry=entry, replaced=contents.get(entry.key))
            contents[entry.key] = entry
        revision = self._state.revision
        if changed:
            self._generation += 1
            log.debug(
                "catalog_applied",
                source=source.value,
                changes=len(changed),
                revision=revision,
            )
            self._notify()
        return bool(changed) or revision > before

    def full(self) -> Delta:
        """All that is known, for a router that starts."""
        return self._state.full(kept=self._index.kept())

    def set_ready(self, *, source: Source) -> None:
        """Note that the records were loaded."""
        if self.ready:
            return
        self._loaded_from = source
        self._ready.set()
        log.info("catalog_ready", source=source.value, revision=self.revision)

    async def wait_ready(self) -> None:
        """Wait until the records were loaded from anywhere."""
        await self._ready.wait()

    def _notify(self) -> None:
        for handler in self._handlers:
            try:
                handler()
            # One listener must not keep a change from the others.
            except Exception as error:
                log.error("catalog_listener", error=repr(error))
