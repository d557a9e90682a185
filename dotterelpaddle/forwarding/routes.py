"""Indexes of the routes of a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.forwarding.model import ForwardRoute
    from dotterelpaddle.ids import ServiceName


def routes_by_host(
    *, routes: Iterable[ForwardRoute]
) -> dict[str, tuple[ForwardRoute, ...]]:
    """Group routes by host, each group sorted by descending prefix length."""
    by_host: dict[str, list[ForwardRoute]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in by_host.items()
    }


def routed_services(*, routes: Iterable[ForwardRoute]) -> frozenset[ServiceName]:
    """Return the services to which any route sends requests."""
    return frozenset(each.service for route in routes for each in route.services)
