"""Everything, cut in parts that different routers can give.

A router may send only so much over TCP at a time. So one that starts takes the
records of a large fleet in parts, each from another router.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import xxhash

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.ids import Revision

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.catalog.delta import Delta


def take_part(*, delta: Delta, part: int, parts: int) -> Delta:
    """Cut one part out of everything; keys are dealt out by their hash."""
    if parts == 1:
        return delta
    entries = tuple(
        entry
        for entry in delta.entries
        if xxhash.xxh64_intdigest(entry.key.encode()) % parts == part
    )
    return replace(delta, entries=entries)


def join_parts(*, parts: Sequence[Delta]) -> Delta:
    """Put everything together again.

    The routers that gave the parts may have been at different revisions; what
    is whole is only what all of them had.

    Raises:
        ControlError: If a retirement may be missing, so the parts don't fit.
    """
    head = Revision(min(part.head for part in parts))
    floor = Revision(max(part.floor for part in parts))
    if floor > head:
        raise ControlError("parts of everything are of too different age")
    entries = tuple(entry for part in parts for entry in part.entries)
    return replace(parts[0], head=head, floor=floor, entries=entries)
