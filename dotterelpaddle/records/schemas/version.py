"""Schema versions of records of versions of a model's weights.

Version 1 gives the size in whole MiB; version 2 in bytes, see `weights`.
"""

from __future__ import annotations

from dotterelpaddle.ids import ModelId, VersionId
from dotterelpaddle.records.model import Version
from dotterelpaddle.records.schemas.common import Name, Spec
from dotterelpaddle.records.schemas.weights import (
    BYTES_PER_MIB,
    SizeMib,
    Weights,
    mib_of_bytes,
)


class VersionV1(Spec):
    """Schema version 1 of a version.

    Attributes:
        model: The model whose weights these are.
        size_mib: Size in the weight store, in MiB.
    """

    model: Name
    size_mib: SizeMib = 0


class VersionV2(Spec):
    """Schema version 2 of a version.

    Attributes:
        model: The model whose weights these are.
        weights: What the weight store holds.
    """

    model: Name
    weights: Weights = Weights()


def to_internal(*, name: str, spec: VersionV1 | VersionV2) -> Version:
    """Convert either schema version to the internal form."""
    match spec:
        case VersionV1():
            size = spec.size_mib * BYTES_PER_MIB
        case VersionV2():
            size = spec.weights.bytes
    return Version(name=VersionId(name), model=ModelId(spec.model), weight_bytes=size)


def to_v1(*, record: Version) -> VersionV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If the size is no whole number of MiB.
    """
    return VersionV1(
        model=record.model, size_mib=mib_of_bytes(size=record.weight_bytes)
    )


def to_v2(*, record: Version) -> VersionV2:
    """Write the internal form in schema version 2."""
    return VersionV2(model=record.model, weights=Weights(bytes=record.weight_bytes))
