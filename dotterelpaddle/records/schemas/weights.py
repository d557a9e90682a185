"""Sizes in the weight store, for adapter and version records.

Schema version 1 rounds up to whole MiB, which made the pacing of transfers
of many small adapters far too slow. Version 2 counts bytes.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.records.schemas.common import Count, Spec

BYTES_PER_MIB = 2**20

SizeMib = Annotated[int, Field(ge=0, le=2**33)]
"""Size in MiB, as schema version 1 has it."""


class Weights(Spec):
    """What the weight store holds, in schema version 2.

    Attributes:
        bytes: Size in bytes.
    """

    bytes: Count = 0


def mib_of_bytes(*, size: int) -> int:
    """Turn bytes into the MiB of schema version 1.

    Raises:
        RecordError: If it is no whole number of MiB.
    """
    mib, rest = divmod(size, BYTES_PER_MIB)
    if rest:
        raise RecordError(
            "schema 1 holds whole MiB; round the size", field="spec.weights.bytes"
        )
    return mib
