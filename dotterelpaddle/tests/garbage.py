"""What only the garbage collector would release."""

from __future__ import annotations

import gc
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def without_collector() -> Iterator[None]:
    """Keep the garbage collector from running until the context ends."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def modules_in_cycles() -> set[str]:
    """Return the modules of the objects that only the collector would release."""
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        gc.collect()
        return {type(kept).__module__ for kept in gc.garbage}
    finally:
        gc.set_debug(0)
        gc.garbage.clear()


def bytes_in_cycles() -> int:
    """Return the bytes that only the garbage collector would release."""
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        gc.collect()
        return sum(
            len(each)
            for kept in gc.garbage
            for each in gc.get_referents(kept)
            if isinstance(each, bytes | bytearray)
        )
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
