"""Digests of what a member knows, so that two members find what differs.

All that is known is spread over buckets by name. A bucket's digest is the XOR
of its entries' hashes, so it does not depend on their order and each change
costs one hash. Comparing two short lists of digests finds the buckets that
differ, and only these are sent.
"""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

BUCKETS = 128
"""Buckets over which names are spread."""

DIGEST_BITS = 32
"""Size of a digest on the wire."""

_MASK = (1 << DIGEST_BITS) - 1


def bucket_of(*, topic: str) -> int:
    """Tell the bucket of a topic."""
    return xxh3_64_intdigest(topic.encode()) % BUCKETS


class Digests:
    """The digests of all buckets."""

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS
        self._entries: dict[str, int] = {}
        self._whole = 0

    @property
    def whole(self) -> int:
        """One digest over all buckets."""
        return self._whole

    @property
    def buckets(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._buckets)

    def set(self, *, topic: str, content: str | None) -> None:
        """Enter what is known on a topic, None to take it out."""
        entry = 0
        if content is not None:
            entry = xxh3_64_intdigest(f"{topic}={content}".encode()) & _MASK
        known = self._entries.pop(topic, 0)
        if entry:
            self._entries[topic] = entry
        self._buckets[bucket_of(topic=topic)] ^= known ^ entry
        self._whole ^= known ^ entry

    def differing(self, *, others: tuple[int, ...]) -> frozenset[int]:
        """Find the buckets whose digest another member has otherwise."""
        pairs = zip(self._buckets, others, strict=False)
        return frozenset(
            index for index, (own, other) in enumerate(pairs) if own != other
        )
