"""Compares endpoints' entries and computes a digest of them.

Both ignore the revision and what changes with each heartbeat.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.placement.rendezvous import tag

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.forwarding.model import EndpointEntry


def same_content(one: EndpointEntry, other: EndpointEntry) -> bool:
    """Tell whether two entries have the same content, whatever their revisions."""
    return one.endpoint == other.endpoint and _content(one) == _content(other)


def entries_tag(*, entries: Iterable[EndpointEntry]) -> int:
    """Return a digest of entries, equal on all routers that know the same endpoints."""
    contents = sorted((entry.endpoint, _content(entry)) for entry in entries)
    return tag(text=repr(contents))


def _content(entry: EndpointEntry) -> tuple[object, ...]:
    """Return the fields to compare, without those that change with each heartbeat."""
    models = sorted(entry.models)
    cold = ("cold",) if entry.cold_left else ()
    return (
        entry.service,
        str(entry.address),
        entry.software_version,
        entry.state.value,
        entry.slots,
        models,
        *cold,
    )
