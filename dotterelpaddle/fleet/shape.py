"""What a deployment is made of: failure domains, pools, endpoints, accounts."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from dotterelpaddle.ids import (
    AccountId,
    EndpointId,
    FailureDomain,
    ModelId,
    PoolId,
    RouterId,
    ServiceName,
)
from dotterelpaddle.records.model import PoolKind

LARGE_SHARE = 4.0
"""Weight of a large client account in fair queueing."""

LARGE_ACCOUNTS = 3
"""How many of a shape's client accounts are large."""


class ShapeName(Enum):
    """Deployments that are known by name."""

    PRAIRIE = "prairie"
    CASCADIA = "cascadia"


@dataclass(frozen=True, kw_only=True, slots=True)
class RouterShape:
    """A router of a deployment.

    Attributes:
        name: Its name.
        failure_domain: Where it runs.
    """

    name: RouterId
    failure_domain: FailureDomain


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointShape:
    """An endpoint of a deployment.

    Attributes:
        name: Its name.
        pool: The pool it belongs to.
        failure_domain: Where it runs.
        checks_fencing: Whether it refuses orders with an old fencing number.
    """

    name: EndpointId
    pool: PoolId
    failure_domain: FailureDomain
    checks_fencing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolShape:
    """A pool of a deployment.

    Attributes:
        name: Its name.
        kind: What its endpoints are.
        service: Name under which client accounts call it.
        model: Model that its engines serve, empty for plain services.
        load_multiple: Bound on an endpoint's load over the pool's mean.
        max_in_flight: Requests that one endpoint takes at a time.
    """

    name: PoolId
    kind: PoolKind
    service: ServiceName
    model: ModelId
    load_multiple: float = 1.5
    max_in_flight: int = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountShape:
    """A client account of a deployment.

    Attributes:
        name: Its name.
        token: Its bearer token, made up for trials and never random.
        share: Weight in fair queueing, and share of the load tool's traffic.
    """

    name: AccountId
    token: str
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """A deployment.

    Attributes:
        name: Its name.
        failure_domains: Its failure domains.
        routers: Its routers.
        pools: Its pools.
        endpoints: Its endpoints.
        accounts: Its client accounts.
        step: Seconds that an engine takes for one decoding step.
        hop: Seconds one way between failure domains, for reference.
    """

    name: ShapeName
    failure_domains: tuple[FailureDomain, ...]
    routers: tuple[RouterShape, ...]
    pools: tuple[PoolShape, ...]
    endpoints: tuple[EndpointShape, ...]
    accounts: tuple[AccountShape, ...]
    step: float = 0.004
    hop: float = 0.0005

    @property
    def engine_pool(self) -> PoolShape:
        """The pool of model engines."""
        return self._pool_of(kind=PoolKind.ENGINE)

    @property
    def service_pool(self) -> PoolShape:
        """The pool of plain services."""
        return self._pool_of(kind=PoolKind.SERVICE)

    def endpoints_of(self, *, pool: PoolId) -> tuple[EndpointShape, ...]:
        """All endpoints of a pool."""
        return tuple(each for each in self.endpoints if each.pool == pool)

    def pool(self, *, name: PoolId) -> PoolShape:
        """Find a pool by name."""
        return next(each for each in self.pools if each.name == name)

    def failure_domain_of(self, *, name: str) -> FailureDomain | None:
        """Where a router or an endpoint runs, None for other names."""
        domains: dict[str, FailureDomain] = {}
        domains.update((each.name, each.failure_domain) for each in self.routers)
        domains.update((each.name, each.failure_domain) for each in self.endpoints)
        return domains.get(name)

    def pool_of(self, *, name: str) -> PoolId | None:
        """The pool of an endpoint, None for other names."""
        return next((each.pool for each in self.endpoints if each.name == name), None)

    def account(self, *, name: str) -> AccountShape:
        """Find a client account by name."""
        return next(each for each in self.accounts if each.name == name)

    def _pool_of(self, *, kind: PoolKind) -> PoolShape:
        return next(each for each in self.pools if each.kind is kind)


def resized(
    *,
    shape: Shape,
    routers: int | None = None,
    engines: int | None = None,
    services: int | None = None,
) -> Shape:
    """Return a shape with other numbers of routers and endpoints."""
    domains = shape.failure_domains
    endpoints: tuple[EndpointShape, ...] = ()
    for pool, count in ((shape.engine_pool, engines), (shape.service_pool, services)):
        present = shape.endpoints_of(pool=pool.name)
        wanted = len(present) if count is None else count
        endpoints += endpoints_in(pool=pool.name, domains=domains, count=wanted)
    count = len(shape.routers) if routers is None else routers
    return replace(
        shape, routers=routers_in(domains=domains, count=count), endpoints=endpoints
    )


def routers_in(
    *, domains: tuple[FailureDomain, ...], count: int
) -> tuple[RouterShape, ...]:
    """Spread routers over the failure domains."""
    return tuple(
        RouterShape(
            name=RouterId(f"router-{index + 1}"),
            failure_domain=domains[index % len(domains)],
        )
        for index in range(count)
    )


def endpoints_in(
    *, pool: PoolId, domains: tuple[FailureDomain, ...], count: int
) -> tuple[EndpointShape, ...]:
    """Spread endpoints over the failure domains; every other one checks fencing."""
    return tuple(
        EndpointShape(
            name=EndpointId(f"{pool}-{index + 1}"),
            pool=pool,
            failure_domain=domains[index % len(domains)],
            checks_fencing=index % 2 == 0,
        )
        for index in range(count)
    )


def accounts_named(*, names: tuple[str, ...]) -> tuple[AccountShape, ...]:
    """Make client accounts, the first few of them large."""
    return tuple(
        AccountShape(
            name=AccountId(name),
            token=f"{name}.secret-of-{name}",
            share=LARGE_SHARE if index < LARGE_ACCOUNTS else 1.0,
        )
        for index, name in enumerate(names)
    )
