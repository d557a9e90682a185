"""The memory that the process takes, as the kernel counts it."""

from __future__ import annotations

import os
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MEMORY_FILE = Path("/proc/self/statm")
"""Memory of the process in pages; the second field is the resident size."""

PAGE_BYTES = 4096
MAX_LINE_BYTES = 256


def resident_bytes() -> int:
    """Return the resident memory, 0 on systems without procfs such as macOS."""
    with memory_reader() as read:
        return read()


@contextmanager
def memory_reader() -> Iterator[Callable[[], int]]:
    """Return a function that reads the resident memory while the context lasts.

    It needs no further descriptor, so that it works when the process has none left. On
    systems without procfs it returns 0.
    """
    if not MEMORY_FILE.exists():
        yield lambda: 0
        return
    descriptor = os.open(MEMORY_FILE, os.O_RDONLY)

    def _read() -> int:
        fields = os.pread(descriptor, MAX_LINE_BYTES, 0).split()
        return int(fields[1]) * PAGE_BYTES

    try:
        yield _read
    finally:
        os.close(descriptor)
