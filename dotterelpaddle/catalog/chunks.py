"""Packs large deltas piece by piece, so that a router goes on serving meanwhile.

The pieces of a full delta are only meaningful together: the first one says that
it is full and up to which revision, the others bring more entries.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio.lowlevel

from dotterelpaddle.catalog.delta_codec import pack_delta, unpack_delta
from dotterelpaddle.exceptions import ControlError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.catalog.delta import Delta, Entry

CHUNK_ENTRIES = 200
"""Entries that are packed at a time; about a millisecond's work."""


async def pack_chunks(*, delta: Delta) -> tuple[bytes, ...]:
    """Pack a delta of any size."""
    chunks: list[bytes] = []
    for start in range(0, max(1, len(delta.entries)), CHUNK_ENTRIES):
        entries = delta.entries[start : start + CHUNK_ENTRIES]
        chunks.append(pack_delta(delta=replace(delta, entries=entries)))
        await anyio.lowlevel.checkpoint()
    return tuple(chunks)


async def unpack_chunks(*, chunks: Sequence[bytes]) -> Delta:
    """Put a packed delta together.

    Raises:
        ControlError: If the bytes are no delta, or parts of different ones.
    """
    if not chunks:
        raise ControlError("a delta has at least one chunk")
    first = unpack_delta(chunks[0])
    entries: list[Entry] = list(first.entries)
    for chunk in chunks[1:]:
        part = unpack_delta(chunk)
        if replace(part, entries=()) != replace(first, entries=()):
            raise ControlError("chunks of different deltas are mixed")
        entries.extend(part.entries)
        await anyio.lowlevel.checkpoint()
    return replace(first, entries=tuple(entries))
