"""Groups endpoints' entries by the service that they belong to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import ServiceName


def group_by_service(
    *, entries: Iterable[EndpointEntry]
) -> dict[ServiceName, tuple[EndpointEntry, ...]]:
    """Return the entries of each service, sorted by endpoint."""
    groups: dict[ServiceName, list[EndpointEntry]] = {}
    for entry in sorted(entries, key=lambda entry: entry.endpoint):
        groups.setdefault(entry.service, []).append(entry)
    return {service: tuple(group) for service, group in groups.items()}
