"""Schema versions of adapter records.

Version 1 gives the size in whole MiB; version 2 in bytes, see `weights`.
"""

from __future__ import annotations

from dotterelpaddle.ids import AdapterId, ModelId
from dotterelpaddle.records.model import Adapter
from dotterelpaddle.records.schemas.common import Name, Spec
from dotterelpaddle.records.schemas.weights import (
    BYTES_PER_MIB,
    SizeMib,
    Weights,
    mib_of_bytes,
)


class AdapterV1(Spec):
    """Schema version 1 of an adapter.

    Attributes:
        model: The model it changes.
        size_mib: Size in the weight store, in MiB.
    """

    model: Name
    size_mib: SizeMib = 0


class AdapterV2(Spec):
    """Schema version 2 of an adapter.

    Attributes:
        model: The model it changes.
        weights: What the weight store holds.
    """

    model: Name
    weights: Weights = Weights()


def to_internal(*, name: str, spec: AdapterV1 | AdapterV2) -> Adapter:
    """Convert either schema version to the internal form."""
    match spec:
        case AdapterV1():
            size = spec.size_mib * BYTES_PER_MIB
        case AdapterV2():
            size = spec.weights.bytes
    return Adapter(name=AdapterId(name), model=ModelId(spec.model), weight_bytes=size)


def to_v1(*, record: Adapter) -> AdapterV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If the size is no whole number of MiB.
    """
    return AdapterV1(
        model=record.model, size_mib=mib_of_bytes(size=record.weight_bytes)
    )


def to_v2(*, record: Adapter) -> AdapterV2:
    """Write the internal form in schema version 2."""
    return AdapterV2(model=record.model, weights=Weights(bytes=record.weight_bytes))
