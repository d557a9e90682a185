"""Garbage is collected by the growth of the process."""

from __future__ import annotations

import gc
import os
import resource

import pytest

from dotterelpaddle.daemon.collector import GROWTH_SHARE, GarbageCollector
from dotterelpaddle.memory.resident import memory_reader

START, LIMIT = 40_000_000, 240_000_000
GROWTH_BYTES = round(GROWTH_SHARE * LIMIT)


class _Process:
    """A process whose memory a test sets; a collection releases some of it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, garbage: int = 0) -> None:
        self.memory = START
        self.garbage = garbage
        self.collections = 0
        monkeypatch.setattr(gc, "collect", self._collect)
        self.collector = GarbageCollector(memory=lambda: self.memory, limit=LIMIT)

    def _collect(self) -> int:
        self.collections += 1
        self.memory -= self.garbage
        return 1

    def grow(self, size: int) -> None:
        self.memory += size
        self.collector.check()


def test_process_that_does_not_grow_is_left_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    process = _Process(monkeypatch)
    for size in (0, 1, GROWTH_BYTES - 2, -GROWTH_BYTES // 2, 0):
        process.grow(size)

    assert process.collections == 0


# Guards against garbage that waits for millions of new objects while it grows by
# hundreds of megabytes.
def test_garbage_is_collected_each_time_the_process_has_grown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    process = _Process(monkeypatch, garbage=GROWTH_BYTES)
    for _ in range(20):
        process.grow(GROWTH_BYTES // 2)

    assert process.collections == 10
    assert process.memory <= START + GROWTH_BYTES


def test_memory_in_use_is_no_reason_to_collect_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    process = _Process(monkeypatch)
    process.grow(2 * GROWTH_BYTES)
    for _ in range(10):
        process.grow(0)

    assert process.collections == 1


def test_growth_counts_from_the_least_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    process = _Process(monkeypatch)
    process.grow(-GROWTH_BYTES)
    process.grow(GROWTH_BYTES)

    assert process.collections == 1


# Guards against a router that ends, or whose memory nobody looks at, while callers hold
# all its descriptors.
def test_memory_is_read_without_a_descriptor_left() -> None:
    with memory_reader() as read:
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (0, limits[1]))
        try:
            with pytest.raises(OSError, match="Too many open files"):
                os.open(os.devnull, os.O_RDONLY)
            assert read() > 0
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
