"""How much of a process's memory may be held for callers and endpoints."""

from __future__ import annotations

IDLE_PROCESS_BYTES = 32_000_000
"""Memory of an idle process: 29 MB were measured, and the smallest limit that the
settings allow is twice this figure."""

HELD_SHARE = 0.4
"""Share of the memory beyond an idle process that may be held for others.

Parts of bodies and of answers are joined, and the allocator keeps what the parts took:
in trials, 36 MB of bodies took up to 60 MB of resident memory, and 51 MB of answers
102 MB. So 0.8 may be in use; the rest is for the state of a fleet.
"""


def held_bytes_bound(*, memory_limit: int | None) -> int | None:
    """Return how many bytes may be held in a process with a memory limit.

    Args:
        memory_limit: Memory limit of the process in bytes, None for none.
    """
    if memory_limit is None:
        return None
    return round(HELD_SHARE * max(0, memory_limit - IDLE_PROCESS_BYTES))
