"""The records as a join of per-key maxima; no I/O and no decoding.

Whatever the order in which deltas arrive, however often, and from whichever
source, a key's content only moves to higher revisions, and the revision up to
which everything is known only grows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from sortedcontainers import SortedList

from dotterelpaddle.catalog.delta import Delta, Entry
from dotterelpaddle.ids import Revision

if TYPE_CHECKING:
    from collections.abc import Iterable

NOTHING = Revision(0)
"""Revision of an empty table."""


class CatalogState:
    """What one router knows of the records table.

    Args:
        recent_changes: Changes kept in order for peers that are behind.
        tombstones: Retired keys that are remembered one by one.
    """

    def __init__(self, *, recent_changes: int = 1024, tombstones: int = 1024) -> None:
        self._entries: dict[str, Entry] = {}
        self._recent_limit = recent_changes
        self._recent: SortedList = SortedList()
        self._recent_floor = NOTHING
        self._tombstone_limit = tombstones
        self._tombstones = 0
        self._floor = NOTHING
        self._revision = NOTHING
        self._ahead: list[tuple[Revision, Revision]] = []
        self._newest = NOTHING
        self._checksum = 0

    @property
    def revision(self) -> Revision:
        """Revision up to which every change is known."""
        return self._revision

    @property
    def floor(self) -> Revision:
        """Newest retirement that is no longer remembered by its key."""
        return self._floor

    @property
    def settled(self) -> bool:
        """Whether nothing is known beyond `revision`."""
        return self._newest <= self._revision

    @property
    def checksum(self) -> int:
        """Digest of all live keys with their revisions, 64 bits.

        Settled states of one revision have equal ones unless one has missed a
        change.
        """
        return self._checksum

    @property
    def live(self) -> int:
        """Number of keys that are not retired."""
        return len(self._entries) - self._tombstones

    @property
    def tombstones(self) -> int:
        """Number of retired keys that are remembered."""
        return self._tombstones

    def entry(self, *, key: str) -> Entry | None:
        """Find a key's newest content."""
        return self._entries.get(key)

    def entries(self) -> tuple[Entry, ...]:
        """All keys' newest contents in order of revision."""
        return tuple(sorted(self._entries.values(), key=_by_revision))

    def join(self, *, delta: Delta) -> tuple[Entry, ...]:
        """Take in a delta.

        Returns:
            What changed here, in order of revision.
        """
        trusted = delta.full and delta.head >= self._floor
        changed = [
            entry
            for entry in sorted(delta.entries, key=_by_revision)
            if self._put(entry=entry, trusted=trusted)
        ]
        if delta.full:
            changed += self._retire_missing(delta=delta)
        self._advance(base=delta.base, head=delta.head)
        self._compact()
        return tuple(changed)

    def since(self, *, base: Revision) -> Delta | None:
        """All changes after a revision, None if some may be forgotten."""
        if base < self._floor:
            return None
        if base >= self._recent_floor:
            entries = self._recent_since(base=base)
        else:
            entries = tuple(entry for entry in self.entries() if entry.revision > base)
        return Delta(base=base, head=max(base, self._revision), entries=entries)

    def full(self, *, kept: Iterable[Entry] = ()) -> Delta:
        """All that is known.

        Args:
            kept: Older contents that are still in force somewhere because
                newer ones can't be read there.
        """
        entries = (*kept, *self._entries.values())
        return Delta(
            base=NOTHING,
            head=self._revision,
            entries=tuple(sorted(entries, key=_by_revision)),
            full=True,
            floor=self._floor,
        )

    def _put(self, *, entry: Entry, trusted: bool) -> bool:
        old = self._entries.get(entry.key)
        if old is None and entry.revision <= self._floor and not trusted:
            # The key may have been retired since and the retirement forgotten.
            return False
        if old is not None and old.revision >= entry.revision:
            return False
        self._count(entry=old, step=-1)
        self._count(entry=entry, step=1)
        self._entries[entry.key] = entry
        self._newest = max(self._newest, entry.revision)
        if old is not None:
            self._recent.discard((old.revision, old.key))
        self._recent.add((entry.revision, entry.key))
        return True

    def _count(self, *, entry: Entry | None, step: int) -> None:
        if entry is None:
            return
        if entry.value is None:
            self._tombstones += step
        else:
            self._checksum ^= _digest(entry)

    def _retire_missing(self, *, delta: Delta) -> list[Entry]:
        present = {entry.key for entry in delta.entries}
        missing = [
            entry
            for key, entry in self._entries.items()
            if key not in present
            and entry.value is not None
            and entry.revision <= delta.head
        ]
        retired = [
            Entry(key=entry.key, revision=delta.head, value=None) for entry in missing
        ]
        for entry in retired:
            self._put(entry=entry, trusted=True)
        self._floor = max(self._floor, delta.floor)
        return retired

    def _advance(self, *, base: Revision, head: Revision) -> None:
        self._ahead.append((base, head))
        self._ahead.sort()
        waiting: list[tuple[Revision, Revision]] = []
        for start, end in self._ahead:
            if start <= self._revision:
                self._revision = max(self._revision, end)
            else:
                waiting.append((start, end))
        self._ahead = waiting

    def _recent_since(self, *, base: Revision) -> tuple[Entry, ...]:
        newer = self._recent.irange(minimum=(base + 1, ""))
        return tuple(self._entries[key] for _, key in newer)

    def _compact(self) -> None:
        while len(self._recent) > self._recent_limit:
            revision, _ = self._recent.pop(0)
            self._recent_floor = max(self._recent_floor, revision)
        if self._tombstones > 2 * self._tombstone_limit:
            self._forget_tombstones()

    def _forget_tombstones(self) -> None:
        """Forget the oldest half of the retired keys; amortized over many."""
        retired = sorted(
            (entry for entry in self._entries.values() if entry.value is None),
            key=_by_revision,
        )
        for entry in retired[: len(retired) - self._tombstone_limit]:
            if entry.revision > self._revision:
                break
            del self._entries[entry.key]
            self._recent.discard((entry.revision, entry.key))
            self._tombstones -= 1
            self._floor = max(self._floor, entry.revision)


def _by_revision(entry: Entry) -> tuple[Revision, str]:
    return (entry.revision, entry.key)


def _digest(entry: Entry) -> int:
    return xxhash.xxh64_intdigest(entry.key.encode(), seed=entry.revision & (2**64 - 1))
