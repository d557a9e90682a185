"""The memory that the process takes, as the kernel counts it."""

from __future__ import annotations

from pathlib import Path

MEMORY_FILE = Path("/proc/self/statm")
"""Memory of the process in pages; the second field is the resident size."""

PAGE_BYTES = 4096


def resident_bytes() -> int:
    """Return the resident memory, 0 on systems without procfs such as macOS."""
    if not MEMORY_FILE.exists():
        return 0
    return int(MEMORY_FILE.read_text().split()[1]) * PAGE_BYTES
