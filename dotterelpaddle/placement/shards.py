"""Cutting pools into shards, and finding the owners of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.placement.rendezvous import Rendezvous, digest, tag

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.ids import EndpointId, FailureDomain, PoolId
    from dotterelpaddle.membership.view import Member
    from dotterelpaddle.records.model import Endpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class Shard:
    """Endpoints of a pool among which chats are hashed and load is compared.

    Attributes:
        pool: The pool.
        failure_domain: Where its endpoints are, None for the whole pool.
    """

    pool: PoolId
    failure_domain: FailureDomain | None = None

    @property
    def name(self) -> str:
        """Name that is unique over all pools."""
        if self.failure_domain is None:
            return self.pool
        return f"{self.pool}/{self.failure_domain}"

    @property
    def tag(self) -> int:
        """Name on the wire."""
        return tag(text=self.name)


def cut(
    *, pool: PoolId, endpoints: Iterable[Endpoint], shard_size: int
) -> dict[Shard, tuple[Endpoint, ...]]:
    """Cut a pool into shards: one while it is small, else one a failure domain."""
    members = tuple(endpoints)
    if len(members) <= shard_size:
        return {Shard(pool=pool): members}
    domains: dict[FailureDomain, list[Endpoint]] = {}
    for endpoint in members:
        domains.setdefault(endpoint.failure_domain, []).append(endpoint)
    return {
        Shard(pool=pool, failure_domain=domain): tuple(domains[domain])
        for domain in sorted(domains)
    }


def ring_of(*, shards: dict[Shard, tuple[Endpoint, ...]]) -> Rendezvous[Shard]:
    """The first level of the hash: shards weighted by their capacity."""
    weights = {
        shard: sum(endpoint.weight for endpoint in endpoints)
        for shard, endpoints in shards.items()
    }
    return Rendezvous(
        nodes=shards,
        name=lambda shard: shard.name,
        weight=lambda shard: weights[shard],
    )


def owner_ring(
    *, members: Iterable[Member], failure_domain: FailureDomain | None
) -> Rendezvous[Member]:
    """The routers among which the endpoints of a shard are shared out.

    Routers in the shard's failure domain go first, so that a shard stays whole
    when its failure domain is cut off.
    """
    everybody = list(members)
    near = [member for member in everybody if member.failure_domain == failure_domain]
    return Rendezvous(
        nodes=near or everybody,
        name=lambda member: member.router,
        weight=lambda _: 1.0,
    )


def owners_of(
    *, endpoints: Iterable[EndpointId], ring: Rendezvous[Member]
) -> dict[EndpointId, Member]:
    """The owner of each endpoint, by this router's list of members."""
    owners = {name: ring.home(key=digest(text=name)) for name in endpoints}
    return {name: owner for name, owner in owners.items() if owner is not None}
