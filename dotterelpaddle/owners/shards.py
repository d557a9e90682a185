"""Splits the endpoints of a service into shards, and ranks shards for a prompt."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.service_groups import group_by_service
from dotterelpaddle.placement.rendezvous import digest

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, ServiceName

MIN_ENDPOINTS_PER_SHARD = 4
"""Mean endpoints per failure domain from which each domain is a shard of its own. With
fewer there is little to choose from, and one owner counts them all."""

_DIGEST_SCALE = 2.0**-64


def split_into_shards(
    *, entries: Collection[EndpointEntry]
) -> tuple[FailureDomain | None, ...]:
    """Return the shards of a service: its failure domains, or None for a single shard.

    Args:
        entries: Its endpoints that take work.
    """
    domains = {entry.failure_domain for entry in entries}
    if len(entries) < MIN_ENDPOINTS_PER_SHARD * len(domains):
        return (None,)
    return tuple(sorted(domains))


def shard_entries(
    *, entries: Collection[EndpointEntry], shard: FailureDomain | None
) -> list[EndpointEntry]:
    """Return the endpoints of a service that belong to one of its shards."""
    return [entry for entry in entries if shard in (None, entry.failure_domain)]


def ranked_shards(
    *,
    shards: Collection[FailureDomain | None],
    entries: Collection[EndpointEntry],
    key: int,
) -> Sequence[FailureDomain | None]:
    """Rank the shards of a service for a prompt, the preferred one first.

    The function uses rendezvous hashing weighted by endpoint count: all routers send a
    prompt to the same shard, and a shard that joins or leaves moves only its share
    of the prompts.

    Args:
        shards: The shards of the service.
        entries: Usable endpoints; the result leaves out shards without any.
        key: Digest that identifies the prompt.
    """
    scores = {
        shard: _score(shard, weight, key)
        for shard in shards
        if (weight := len(shard_entries(entries=entries, shard=shard)))
    }
    return sorted(scores, key=lambda shard: scores[shard], reverse=True)


def owning_domain(
    *, service: ServiceName, domains: Collection[FailureDomain]
) -> FailureDomain:
    """Return the failure domain whose owner counts a service with a single shard."""
    return max(domains, key=lambda domain: digest(text=f"{service}/{domain}"))


def _score(shard: FailureDomain | None, weight: int, key: int) -> float:
    share = (digest(text=f"{key}/{shard}") + 0.5) * _DIGEST_SCALE
    return -weight / math.log(share)


class ShardMap:
    """The shards of all services, recomputed when endpoints come or go.

    Args:
        view: The current endpoints.
    """

    def __init__(self, *, view: FleetView) -> None:
        self._view = view
        self._endpoints_tag: int | None = None
        self._shards: dict[ServiceName, tuple[FailureDomain | None, ...]] = {}
        self._owning_domains: dict[EndpointId, FailureDomain] = {}
        self._services: dict[EndpointId, ServiceName] = {}

    def shards(self, *, service: ServiceName) -> tuple[FailureDomain | None, ...]:
        """The shards of a service."""
        self._refresh()
        return self._shards.get(service, ())

    def owning_domain(self, *, endpoint: EndpointId) -> FailureDomain | None:
        """Failure domain of the owner that counts an endpoint, None if unknown."""
        self._refresh()
        return self._owning_domains.get(endpoint)

    def service(self, *, endpoint: EndpointId) -> ServiceName | None:
        """Service of an endpoint, None if unknown."""
        self._refresh()
        return self._services.get(endpoint)

    def _refresh(self) -> None:
        tag = self._view.endpoints_tag
        if tag == self._endpoints_tag:
            return
        self._endpoints_tag = tag
        self._shards, self._owning_domains, self._services = {}, {}, {}
        by_service = group_by_service(entries=self._view.entries)
        for service, entries in by_service.items():
            shards = split_into_shards(entries=entries)
            self._shards[service] = shards
            domains = {entry.failure_domain for entry in entries}
            single_domain = owning_domain(service=service, domains=domains)
            for entry in entries:
                domain = entry.failure_domain if None not in shards else single_domain
                self._owning_domains[entry.endpoint] = domain
                self._services[entry.endpoint] = service
