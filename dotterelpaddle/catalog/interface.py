"""What other services ask of the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.ids import (
        AccountId,
        EndpointId,
        ModelId,
        PoolId,
        Revision,
        ServiceName,
    )
    from dotterelpaddle.records.model import (
        Account,
        Adapter,
        Endpoint,
        Limit,
        Model,
        Pool,
        Priority,
        Route,
        Version,
    )


class Catalog(Protocol):
    """Read access to the records in force; lookups never wait."""

    @property
    def revision(self) -> Revision:
        """Newest revision that is wholly in force here."""

    @property
    def generation(self) -> int:
        """Grows with each change here, for caches built on the catalog."""

    def account_of_token(self, *, token: str) -> Account | None:
        """Find the client account of a bearer token."""

    def account(self, *, name: AccountId) -> Account | None:
        """Find a client account."""

    def route(self, *, account: AccountId, service: ServiceName) -> Route | None:
        """Find the route of a client account's service."""

    def pool(self, *, name: PoolId) -> Pool | None:
        """Find a pool."""

    def pools(self) -> tuple[Pool, ...]:
        """All pools."""

    def endpoints(self, *, pool: PoolId) -> tuple[Endpoint, ...]:
        """All endpoints of a pool, sorted by name."""

    def endpoint(self, *, name: EndpointId) -> Endpoint | None:
        """Find an endpoint."""

    def model(self, *, name: ModelId) -> Model | None:
        """Find a model."""

    def models(self) -> tuple[Model, ...]:
        """All models."""

    def adapters(self) -> tuple[Adapter, ...]:
        """All adapters."""

    def versions(self) -> tuple[Version, ...]:
        """All versions."""

    def priority(self, *, name: str) -> Priority | None:
        """Find a priority."""

    def limit(self, *, name: str) -> Limit | None:
        """Find a limit."""

    def on_change(self, *, handler: Callable[[], None]) -> None:
        """Call a function after each change."""
