"""The shards of all pools, kept in step with the catalog and the members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.membership.view import MemberState
from dotterelpaddle.placement.candidates import Candidates
from dotterelpaddle.placement.chats import ChatPlaces
from dotterelpaddle.placement.due import DueTimes
from dotterelpaddle.placement.patience import PatienceRule
from dotterelpaddle.placement.pool_records import PoolRecords
from dotterelpaddle.placement.reporters import address_of
from dotterelpaddle.placement.rhythm import rhythm_of
from dotterelpaddle.placement.shard_state import ShardState
from dotterelpaddle.placement.shards import cut, owners_of, ring_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.ids import (
        AffinityKey,
        EndpointId,
        ModelId,
        PoolId,
        RouterId,
    )
    from dotterelpaddle.membership.view import Member, View
    from dotterelpaddle.placement.meters import Meters
    from dotterelpaddle.placement.rendezvous import Rendezvous
    from dotterelpaddle.placement.rhythm import Rhythm
    from dotterelpaddle.placement.settings import PlacementSettings
    from dotterelpaddle.placement.shards import Shard
    from dotterelpaddle.records.model import Model, Pool

log = get_logger(name=__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class Deposed:
    """A router that owns some endpoints no longer.

    Attributes:
        state: The shard.
        owner: The router.
        endpoints: The endpoints.
    """

    state: ShardState
    owner: Member
    endpoints: tuple[EndpointId, ...]


DEFAULT_PREFILL_RATE = 8000.0
"""Prompt tokens a second where no model record says more."""


class Directory:
    """Finds the shard of a request.

    Args:
        catalog: Records in force.
        view: Members.
        own: This router.
        settings: Settings of placement.
        meters: Metrics of placement.

    Attributes:
        due: When owners have to be looked at.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        view: View,
        own: RouterId,
        settings: PlacementSettings,
        meters: Meters,
    ) -> None:
        self._catalog = catalog
        self._view = view
        self._own = own
        self._settings = settings
        self._meters = meters
        self._pools: dict[PoolId, PoolRecords] = {}
        self._candidates = Candidates()
        self._states: dict[Shard, ShardState] = {}
        self._configured: dict[Shard, ShardState] = {}
        self._unelected: set[Shard] = set()
        self._by_tag: dict[int, ShardState] = {}
        self._rings: dict[PoolId, Rendezvous[Shard]] = {}
        self._generation: int | None = None
        self._seen: tuple[int, bool] | None = None
        self._deposed: list[Deposed] = []
        self._routers = 1
        self._owned: tuple[ShardState, ...] = ()
        self._queues: dict[Shard, ShardState] = {}
        self._elections = 0
        self.due = DueTimes()
        self._rhythms = {
            sparse: rhythm_of(settings=settings, sparse=sparse)
            for sparse in (False, True)
        }
        self._alive: frozenset[str] = frozenset()
        self._places = ChatPlaces(limit=settings.remembered_chats)

    def __iter__(self) -> Iterator[ShardState]:
        return iter(tuple(self._states.values()))

    def __len__(self) -> int:
        return len(self._states)

    @property
    def generation(self) -> int | None:
        """The catalog's generation that the shards follow."""
        return self._generation

    @property
    def elections(self) -> int:
        """Grows when owners may have changed."""
        return self._elections

    @property
    def owned(self) -> tuple[ShardState, ...]:
        """Shards in which this router owns endpoints."""
        return self._owned

    @property
    def is_sparse(self) -> bool:
        """Whether there are so many shards that a router knows its own ones whole."""
        return len(self._states) > self._settings.shards_known_whole

    @property
    def rhythm(self) -> Rhythm:
        """How often routers speak of load."""
        return self._rhythms[self.is_sparse]

    @property
    def routers(self) -> int:
        """Routers that take part in placement."""
        return self._routers

    def find(self, *, tag: int) -> ShardState | None:
        """The shard with a tag."""
        return self._by_tag.get(tag)

    def of_request(
        self, *, pool: PoolId, affinity: AffinityKey | None, spread: int
    ) -> ShardState | None:
        """The shard of a request, None if the pool has no endpoint.

        Args:
            pool: The pool.
            affinity: The chat's key.
            spread: Number that spreads requests without a chat.
        """
        ring = self._rings.get(pool)
        if ring is None:
            return None
        shard = ring.home(key=affinity if affinity is not None else spread)
        return self._states[shard] if shard is not None else None

    def sync(self, *, now: float) -> None:
        """Follow the catalog and the members, if they have changed."""
        if self._generation != self._catalog.generation:
            self._generation = self._catalog.generation
            self._follow_catalog(now=now)
        seen = (self._view.version, is_stale(view=self._view))
        if self._seen != seen:
            self._seen = seen
            self._follow_members()
        if self._unelected:
            self._elect(now=now)

    def take_configured(self) -> list[ShardState]:
        """Shards whose records have changed since the last call."""
        configured = list(self._configured.values())
        self._configured = {}
        return configured

    def note_queue(self, *, state: ShardState) -> None:
        """Note that requests wait in a shard."""
        self._queues[state.shard] = state

    def attended(self) -> list[ShardState]:
        """Shards that need a look all the time: owned ones and those with a queue."""
        for shard, state in tuple(self._queues.items()):
            if not state.decider.unsettled:
                del self._queues[shard]
        queues = [state for state in self._queues.values() if not state.owned]
        return [*self._owned, *queues]

    def take_deposed(self) -> list[Deposed]:
        """Owners that this router has just stopped believing in."""
        deposed = self._deposed
        self._deposed = []
        return deposed

    def _follow_catalog(self, *, now: float) -> None:
        """Take over records; pools without a change cost a comparison."""
        was_sparse = self.is_sparse
        pools = self._catalog.pools()
        gone = self._pools.keys() - {pool.name for pool in pools}
        for name in gone:
            self._drop_pool(name=name)
        for pool in pools:
            records = self._records_of(pool=pool)
            if self._pools.get(pool.name) != records:
                self._follow_pool(records=records, now=now)
        if was_sparse is not self.is_sparse:
            self._unelected.update(self._states)

    def _records_of(self, *, pool: Pool) -> PoolRecords:
        endpoints = self._catalog.endpoints(pool=pool.name)
        before = self._pools.get(pool.name)
        if before is not None and before.endpoints is endpoints:
            models = before.models
        else:
            models = tuple(sorted({endpoint.model for endpoint in endpoints}))
        return PoolRecords(
            pool=pool,
            endpoints=endpoints,
            models=models,
            patience=self._patience(models=models),
        )

    def _drop_pool(self, *, name: PoolId) -> None:
        for shard in self._pools.pop(name).shards:
            self._drop_shard(shard=shard)
        del self._rings[name]

    def _drop_shard(self, *, shard: Shard) -> None:
        state = self._states.pop(shard)
        del self._by_tag[state.shard.tag]
        self._configured.pop(shard, None)
        self._queues.pop(shard, None)
        self._unelected.discard(shard)
        self._owned = tuple(each for each in self._owned if each is not state)

    def _follow_pool(self, *, records: PoolRecords, now: float) -> None:
        pool = records.pool
        before = self._pools.get(pool.name)
        records.shards = cut(
            pool=pool.name,
            endpoints=records.endpoints,
            shard_size=self._settings.shard_size,
        )
        known = before.shards if before is not None else {}
        for shard in known.keys() - records.shards.keys():
            self._drop_shard(shard=shard)
        same = before is not None and before.agrees(records=records)
        for shard, members in records.shards.items():
            if not same or known.get(shard) != members:
                self._configure(shard=shard, records=records, now=now)
        self._pools[pool.name] = records
        self._rings[pool.name] = ring_of(shards=records.shards)

    def _configure(self, *, shard: Shard, records: PoolRecords, now: float) -> None:
        state = self._states.get(shard)
        if state is None:
            state = ShardState(
                shard=shard,
                pool=records.pool,
                own_router=self._own,
                settings=self._settings,
                patience=records.patience,
                due=self.due,
                places=self._places,
                is_alive=self._is_alive,
            )
            self._states[shard] = state
            self._by_tag[shard.tag] = state
        state.configure(
            pool=records.pool,
            endpoints=records.shards[shard],
            patience=records.patience,
            now=now,
        )
        self._configured[shard] = state
        self._unelected.add(shard)

    def _patience(self, *, models: tuple[ModelId, ...]) -> PatienceRule:
        found = [self._find_model(name=name) for name in models]
        rates = [model.prefill_rate for model in found if model is not None]
        return PatienceRule(
            prefill_rate=min(rates, default=DEFAULT_PREFILL_RATE),
            longest=self._settings.max_patience,
        )

    def _find_model(self, *, name: ModelId) -> Model | None:
        return self._catalog.model(name=name) if name else None

    def _follow_members(self) -> None:
        """Find the shards whose owners may be others than before."""
        members = tuple(
            member
            for member in self._view.members()
            if member.state is MemberState.ALIVE
            and (member.router != self._own or not is_stale(view=self._view))
        )
        self._alive = frozenset(
            str(member.address)
            for member in self._view.members()
            if member.state is not MemberState.DEAD
        )
        changed = self._candidates.follow(members=members)
        self._unelected.update(
            shard for shard in self._states if shard.failure_domain in changed
        )
        if self._routers != max(len(members), 1):
            self._routers = max(len(members), 1)
            for state in self._states.values():
                state.decider.share_with(routers=self._routers)

    def _is_alive(self, router: RouterId) -> bool:
        """Tell whether the membership believes a reporting process alive."""
        return address_of(reporter=router) in self._alive

    def _elect(self, *, now: float) -> None:
        unelected = [shard for shard in self._states if shard in self._unelected]
        self._unelected = set()
        for shard in unelected:
            state = self._states[shard]
            ring = self._candidates.ring(failure_domain=shard.failure_domain)
            owners = owners_of(endpoints=state.decider.chooser.names, ring=ring)
            self._follow_owners(state=state, owners=owners, now=now)
            state.rhythm = self.rhythm
            state.away.keeps = bool(state.owned) or not self.is_sparse
            if state.decider.unsettled:
                self.note_queue(state=state)
        self._owned = tuple(state for state in self._states.values() if state.owned)
        self._elections += 1

    def _follow_owners(
        self, *, state: ShardState, owners: dict[EndpointId, Member], now: float
    ) -> None:
        before = state.owners
        deposed = state.elect(owners=owners, routers=self._routers, now=now)
        for router, endpoints in deposed.items():
            member = self._view.find(router=router)
            if member is None or router == self._own:
                continue
            self._deposed.append(
                Deposed(state=state, owner=member, endpoints=tuple(endpoints))
            )
        changed = [
            name
            for name, owner in owners.items()
            if name in before and before[name].router != owner.router
        ]
        self._meters.owners_changed(
            shard=state.shard.name, changed=len(changed), owned=len(state.owned)
        )
        for name in changed:
            log.info(
                "placement_owner_changed",
                shard=state.shard.name,
                endpoint=name,
                owner=owners[name].router,
            )


def is_stale(*, view: View) -> bool:
    """Tell whether this router was paused or cut off, so that its list is old."""
    return bool(getattr(view, "stale", False))
