"""Format of the row that keeps crashes in the platform's store.

Crashes name a point in the store's own time, so that they don't grow younger when
another router reads the row and writes it again.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.exceptions import MALFORMED_DOCUMENT, ControlError
from dotterelpaddle.forwarding.store_clock import StoreTime
from dotterelpaddle.peers.crash_notes import decode_notes, encode_notes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.crashes.note import CrashNote
    from dotterelpaddle.forwarding.store_clock import StoreClock


def encode_row(*, notes: Sequence[CrashNote], time: StoreTime) -> bytes:
    """Encode crashes.

    Args:
        notes: The crashes.
        time: Time on the store's clock to which their ages refer.
    """
    return orjson.dumps(
        {
            "era": time.era,
            "seconds": time.seconds,
            "crashes": encode_notes(notes=notes),
        }
    )


def decode_row(*, row: bytes, store_clock: StoreClock) -> list[CrashNote]:
    """Decode crashes; those of another era of the store count as new.

    Raises:
        ControlError: If the row is malformed.
    """
    try:
        fields = orjson.loads(row)
        time = StoreTime.stated(era=fields["era"], seconds=fields["seconds"])
        notes = decode_notes(fields=fields["crashes"])
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"row has no crashes: {error!r}") from error
    elapsed = store_clock.age(of=time)
    if math.isinf(elapsed):
        return [replace(note, age=0.0) for note in notes]
    return [replace(note, age=note.age + elapsed) for note in notes]
