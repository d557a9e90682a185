"""All records of the table by name, by user and by claim.

The index follows the table; a state adds a change that isn't made yet, without
copying or searching the rest.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, TypeVar

from dotterelpaddle.records.codec import Understood
from dotterelpaddle.records.model import RecordKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from dotterelpaddle.records.keys import RecordKey
    from dotterelpaddle.records.relations import Claim, Entry

T = TypeVar("T")

REFERRING_KINDS = frozenset(
    {
        RecordKind.ACCOUNT.value,
        RecordKind.ROUTE.value,
        RecordKind.ENDPOINT.value,
        RecordKind.ADAPTER.value,
        RecordKind.VERSION.value,
    }
)
"""Kinds of record that use other records."""

KNOWN_KINDS = frozenset(kind.value for kind in RecordKind)


class RecordIndex:
    """The records as they are."""

    def __init__(self) -> None:
        self._entries: dict[RecordKey, Entry] = {}
        self._users: defaultdict[RecordKey, set[RecordKey]] = defaultdict(set)
        self._holders: defaultdict[Claim, set[RecordKey]] = defaultdict(set)
        self._unreadable: set[RecordKey] = set()

    def __iter__(self) -> Iterator[RecordKey]:
        return iter(self._entries)

    def find(self, *, key: RecordKey) -> Entry | None:
        """Find a record."""
        return self._entries.get(key)

    def users_of(self, *, key: RecordKey) -> frozenset[RecordKey]:
        """Find the records that use a record."""
        return frozenset(self._users.get(key, ()))

    def holders_of(self, *, claim: Claim) -> frozenset[RecordKey]:
        """Find the records that make a claim."""
        return frozenset(self._holders.get(claim, ()))

    def unreadable(self) -> frozenset[RecordKey]:
        """Find records that this release can't read and that may use others."""
        return frozenset(self._unreadable)

    def put(self, *, key: RecordKey, entry: Entry) -> None:
        """Take a new value of a record."""
        self.remove(key=key)
        self._entries[key] = entry
        for reference in entry.references:
            self._users[reference.target].add(key)
        for claim in entry.claims:
            self._holders[claim].add(key)
        if may_use_others(key=key, entry=entry):
            self._unreadable.add(key)

    def remove(self, *, key: RecordKey) -> None:
        """Take note that a record is retired."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        for reference in entry.references:
            _discard(index=self._users, at=reference.target, key=key)
        for claim in entry.claims:
            _discard(index=self._holders, at=claim, key=key)
        self._unreadable.discard(key)


class State:
    """The records as they would be after a change.

    Args:
        index: The records as they are.
        changes: What the change makes of some of them, None for a retired one.
    """

    def __init__(
        self, *, index: RecordIndex, changes: Mapping[RecordKey, Entry | None]
    ) -> None:
        self._index = index
        self._changed = changes.keys()
        self._changes = RecordIndex()
        for key, entry in changes.items():
            if entry is not None:
                self._changes.put(key=key, entry=entry)

    def __iter__(self) -> Iterator[RecordKey]:
        yield from (key for key in self._index if key not in self._changed)
        yield from self._changes

    def find(self, *, key: RecordKey) -> Entry | None:
        """Find a record."""
        index = self._changes if key in self._changed else self._index
        return index.find(key=key)

    def users_of(self, *, key: RecordKey) -> tuple[RecordKey, ...]:
        """Find the records that use a record, sorted."""
        return self._merged(
            untouched=self._index.users_of(key=key),
            changed=self._changes.users_of(key=key),
        )

    def holders_of(self, *, claim: Claim) -> tuple[RecordKey, ...]:
        """Find the records that make a claim, sorted."""
        return self._merged(
            untouched=self._index.holders_of(claim=claim),
            changed=self._changes.holders_of(claim=claim),
        )

    def unreadable(self) -> tuple[RecordKey, ...]:
        """Find records that this release can't read and that may use others."""
        return self._merged(
            untouched=self._index.unreadable(), changed=self._changes.unreadable()
        )

    def _merged(
        self, *, untouched: frozenset[RecordKey], changed: frozenset[RecordKey]
    ) -> tuple[RecordKey, ...]:
        return tuple(sorted((untouched - self._changed) | changed))


def may_use_others(*, key: RecordKey, entry: Entry) -> bool:
    """Tell whether a record may use others in a way that can't be read here."""
    if isinstance(entry.interpretation, Understood):
        return False
    return key.kind in REFERRING_KINDS or key.kind not in KNOWN_KINDS


def _discard(*, index: defaultdict[T, set[RecordKey]], at: T, key: RecordKey) -> None:
    index[at].discard(key)
    if not index[at]:
        del index[at]
