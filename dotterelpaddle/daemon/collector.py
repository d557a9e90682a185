"""Collects garbage whenever the memory of the process has grown.

What refers to itself, such as a closed connection of asyncio, is released only by the
garbage collector. Its oldest generation is collected by the number of new objects, of
which small ones may take hundreds of megabytes first.
"""

from __future__ import annotations

import gc
import time
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

log = get_logger(name=__name__)

CHECK_INTERVAL_SECONDS = 1.0

GROWTH_SHARE = 1 / 8
"""Growth of the memory, as a share of the limit of the process, after which garbage is
collected. A collection stops the process for a tenth of a second with a thousand open
connections, so that usual growth has to cause none."""

DEFAULT_GROWTH_BYTES = 32 * 1024 * 1024
"""The growth where memory is not limited."""


class GarbageCollector:
    """Collects garbage by the growth of the process.

    Args:
        memory: Returns the memory of the process, bytes.
        limit: Memory limit of the process in bytes, None for none.
    """

    def __init__(self, *, memory: Callable[[], int], limit: int | None) -> None:
        self._memory = memory
        self._growth = DEFAULT_GROWTH_BYTES if limit is None else GROWTH_SHARE * limit
        self._least = memory()

    async def run(self) -> None:
        """Check the memory until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Collect garbage if the memory has grown since it was least."""
        before = self._memory()
        self._least = min(self._least, before)
        if before - self._least < self._growth:
            return
        started_at = time.perf_counter()
        found = gc.collect()
        after = self._memory()
        # What is in use, or left to the allocator, is no reason to collect again.
        self._least = after
        log.info(
            "garbage_collected",
            objects=found,
            before=before,
            after=after,
            seconds=round(time.perf_counter() - started_at, 4),
        )
