"""Which schema versions of which kinds this release knows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from dotterelpaddle.records.model import InternalRecord, RecordKind
from dotterelpaddle.records.schemas import (
    account,
    adapter,
    endpoint,
    limit,
    model,
    pool,
    priority,
    route,
    version,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.records.schemas.common import Spec

NEWEST_SCHEMA = 2
"""Newest schema version that this release writes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Schema:
    """One schema version of a kind.

    Attributes:
        spec: Class of its content.
        read: Converts a content to the internal form.
        write: Converts the internal form to a content.
    """

    spec: type[Spec]
    read: Callable[..., InternalRecord]
    write: Callable[..., Spec]


def _versions(*, module: Any, name: str) -> dict[int, Schema]:
    return {
        1: Schema(
            spec=getattr(module, f"{name}V1"),
            read=module.to_internal,
            write=module.to_v1,
        ),
        2: Schema(
            spec=getattr(module, f"{name}V2"),
            read=module.to_internal,
            write=module.to_v2,
        ),
    }


SCHEMAS: dict[RecordKind, dict[int, Schema]] = {
    RecordKind.ACCOUNT: _versions(module=account, name="Account"),
    RecordKind.ROUTE: _versions(module=route, name="Route"),
    RecordKind.POOL: _versions(module=pool, name="Pool"),
    RecordKind.ENDPOINT: _versions(module=endpoint, name="Endpoint"),
    RecordKind.MODEL: _versions(module=model, name="Model"),
    RecordKind.ADAPTER: _versions(module=adapter, name="Adapter"),
    RecordKind.VERSION: _versions(module=version, name="Version"),
    RecordKind.PRIORITY: _versions(module=priority, name="Priority"),
    RecordKind.LIMIT: _versions(module=limit, name="Limit"),
}
"""All known schema versions."""


def find_spec(*, kind: str, schema: int) -> type[Spec] | None:
    """Find the class of a content, None if kind or schema version is unknown."""
    for known, versions in SCHEMAS.items():
        if known.value == kind and schema in versions:
            return versions[schema].spec
    return None
