"""The catalog that the other parts of a router use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.catalog import tokens
from dotterelpaddle.catalog.publishing import PublishingTable
from dotterelpaddle.catalog.status import CatalogStatus
from dotterelpaddle.catalog.store import Source
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

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.backing.interface import Table
    from dotterelpaddle.catalog.context import CatalogContext
    from dotterelpaddle.catalog.delta import Delta, Entry
    from dotterelpaddle.catalog.exchange import Exchange
    from dotterelpaddle.catalog.poller import Poller
    from dotterelpaddle.catalog.snapshot import Snapshots
    from dotterelpaddle.catalog.watch import CatalogWatch
    from dotterelpaddle.ids import (
        AccountId,
        EndpointId,
        ModelId,
        PoolId,
        Revision,
        ServiceName,
    )


class LiveCatalog:
    """Implements `dotterelpaddle.catalog.interface.Catalog`.

    Args:
        context: State and resources of the catalog.
        table: The platform's records table.
        exchange: Tells other routers.
        poller: Reads the platform.
        snapshots: Reads and writes the snapshot.
        watch: Tells when a revision is in force everywhere.
    """

    def __init__(
        self,
        *,
        context: CatalogContext,
        table: Table,
        exchange: Exchange,
        poller: Poller,
        snapshots: Snapshots,
        watch: CatalogWatch,
    ) -> None:
        self._store = context.store
        self._index = context.store.index
        self._exchange = exchange
        self._poller = poller
        self._topology = context.topology
        self._schedule = context.schedule
        self._snapshots = snapshots
        self._watch = watch
        self._clock = context.clock
        self._records = PublishingTable(table=table, publish=self._publish)

    @property
    def revision(self) -> Revision:
        """Newest revision that is wholly in force here."""
        return self._store.revision

    @property
    def generation(self) -> int:
        """Grows with each change here, for caches built on the catalog."""
        return self._store.generation

    @property
    def ready(self) -> bool:
        """Whether the records were loaded."""
        return self._store.ready

    @property
    def records(self) -> Table:
        """The records table; what is committed through it is spread at once."""
        return self._records

    @property
    def watch(self) -> CatalogWatch:
        """Tells when a revision is in force everywhere."""
        return self._watch

    @property
    def snapshots(self) -> Snapshots:
        """Reads and writes the snapshot."""
        return self._snapshots

    async def wait_ready(self) -> None:
        """Wait until the records were loaded."""
        await self._store.wait_ready()

    def entry(self, *, key: str) -> Entry | None:
        """Find a record's newest content as stored, readable here or not."""
        return self._store.state.entry(key=key)

    def status(self) -> CatalogStatus:
        """Describe this catalog for operators."""
        state = self._store.state
        fresh_at = self._schedule.fresh_at
        return CatalogStatus(
            ready=self._store.ready,
            loaded_from=self._store.loaded_from,
            revision=state.revision,
            records=state.live,
            tombstones=state.tombstones,
            settled=state.settled,
            diverged=self._exchange.diverged,
            is_poller=self._topology.is_poller,
            platform_reachable=self._poller.reachable,
            platform_age=None if fresh_at is None else self._clock() - fresh_at,
            snapshot=self._snapshots.written,
            unreadable=self._index.unreadable,
        )

    def account_of_token(self, *, token: str) -> Account | None:
        """Find the client account of a bearer token."""
        name = tokens.account_of(token=token)
        account = None if name is None else self.account(name=name)
        if account is None or not tokens.is_valid(token=token, account=account):
            return None
        return account

    def account(self, *, name: AccountId) -> Account | None:
        """Find a client account."""
        return self._index.named(record_type=Account, name=name)

    def route(self, *, account: AccountId, service: ServiceName) -> Route | None:
        """Find the route of a client account's service."""
        return self._index.route(account=account, service=service)

    def pool(self, *, name: PoolId) -> Pool | None:
        """Find a pool."""
        return self._index.named(record_type=Pool, name=name)

    def pools(self) -> tuple[Pool, ...]:
        """All pools."""
        return self._index.all_of(record_type=Pool)

    def endpoints(self, *, pool: PoolId) -> tuple[Endpoint, ...]:
        """All endpoints of a pool, sorted by name."""
        return self._index.endpoints(pool=pool)

    def endpoint(self, *, name: EndpointId) -> Endpoint | None:
        """Find an endpoint."""
        return self._index.named(record_type=Endpoint, name=name)

    def model(self, *, name: ModelId) -> Model | None:
        """Find a model."""
        return self._index.named(record_type=Model, name=name)

    def models(self) -> tuple[Model, ...]:
        """All models."""
        return self._index.all_of(record_type=Model)

    def adapters(self) -> tuple[Adapter, ...]:
        """All adapters."""
        return self._index.all_of(record_type=Adapter)

    def versions(self) -> tuple[Version, ...]:
        """All versions."""
        return self._index.all_of(record_type=Version)

    def priority(self, *, name: str) -> Priority | None:
        """Find a priority."""
        return self._index.named(record_type=Priority, name=name)

    def limit(self, *, name: str) -> Limit | None:
        """Find a limit."""
        return self._index.named(record_type=Limit, name=name)

    def on_change(self, *, handler: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._store.on_change(handler=handler)

    def _publish(self, delta: Delta) -> None:
        self._store.apply(delta=delta, source=Source.COMMIT)
        self._exchange.spread(delta=delta)
