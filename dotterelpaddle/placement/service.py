"""Placement of one router: from a request to an endpoint."""

from __future__ import annotations

import secrets
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import NoEndpoint, Overloaded
from dotterelpaddle.ids import PermitId
from dotterelpaddle.logs import get_logger
from dotterelpaddle.placement.baselines import choose_baseline
from dotterelpaddle.placement.codec import MESSAGE_TYPES
from dotterelpaddle.placement.directory import Directory
from dotterelpaddle.placement.duties import OwnerDuties
from dotterelpaddle.placement.history import History, PastDecision
from dotterelpaddle.placement.interface import (
    AttemptResult,
    Decision,
    PlacementPath,
)
from dotterelpaddle.placement.leaving import LeavingNews
from dotterelpaddle.placement.meters import Meters
from dotterelpaddle.placement.migration import Migration
from dotterelpaddle.placement.pace import Pace, fast_share
from dotterelpaddle.placement.policies import OwnerPolicy
from dotterelpaddle.placement.probes import Engines, LoadSeen, Prober, open_engines
from dotterelpaddle.placement.remote import RemoteOwner
from dotterelpaddle.placement.reporting import Reporting
from dotterelpaddle.placement.upkeep import Upkeep
from dotterelpaddle.placement.wishes import Granted, Queued, RefusalCause, Refused

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup

    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.ids import AffinityKey, EndpointId, RequestId, RouterId
    from dotterelpaddle.links import Links
    from dotterelpaddle.membership.view import View
    from dotterelpaddle.metrics import Metrics
    from dotterelpaddle.placement.interface import PlacementRequest
    from dotterelpaddle.placement.settings import PlacementSettings
    from dotterelpaddle.placement.shard_state import ShardState
    from dotterelpaddle.placement.wishes import Wish
    from dotterelpaddle.records.model import Endpoint

log = get_logger(name=__name__)

TICK = 0.02
"""Seconds between looks at what is due."""

PERMIT_BURST = 6.0
"""Permit requests that may be sent at once."""

SURGE_LEVEL = 0.5
"""How full the bucket of permit requests must be for a surging account."""

FAILURES = frozenset(
    {AttemptResult.FAILED, AttemptResult.TIMED_OUT, AttemptResult.UNREACHABLE}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Placed:
    """A granted wish and who granted it."""

    granted: Granted
    path: PlacementPath
    decided_by: RouterId
    counted: bool = False


class HeldGrant:
    """A decision that is in force.

    Args:
        decision: The decision.

    Attributes:
        result: How the attempt went, as reported.
        latency: Seconds to the first token.
        cached_tokens: Prompt tokens found in the engine's cache.
    """

    def __init__(self, *, decision: Decision) -> None:
        self._decision = decision
        self.result = AttemptResult.CANCELLED
        self.latency = 0.0
        self.cached_tokens = 0

    @property
    def decision(self) -> Decision:
        """The decision."""
        return self._decision

    def report(
        self,
        *,
        result: AttemptResult,
        latency: float = 0.0,
        cached_tokens: int = 0,
    ) -> None:
        """Tell how the attempt went; without it the result is CANCELLED.

        Args:
            result: How it went.
            latency: Seconds to the first token or the whole short answer.
            cached_tokens: Prompt tokens that the engine found in its cache.
        """
        self.result = result
        self.latency = latency
        self.cached_tokens = cached_tokens


class PlacementService:
    """Chooses endpoints.

    Args:
        catalog: Records in force.
        view: Members.
        channel: The way to other routers.
        engines: The client of engines.
        settings: Settings of placement.
        metrics: Where metrics are registered.
        clock: Monotonic clock.
        own: This router.
        tasks: Where caches are moved.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        view: View,
        channel: Channel,
        engines: Engines,
        settings: PlacementSettings,
        metrics: Metrics,
        clock: Clock,
        own: RouterId,
        tasks: TaskGroup,
    ) -> None:
        self._own = own
        self._settings = settings
        self._clock = clock
        self._tasks = tasks
        self._meters = Meters(metrics=metrics)
        self._history = History(length=settings.explain_length)
        self._reported: dict[EndpointId, float] = {}
        self._requests = 0
        self._boot = secrets.randbits(32)
        self._permits = Pace(
            rate=settings.permits_per_second, burst=PERMIT_BURST, now=clock()
        )
        for message_type in MESSAGE_TYPES:
            channel.register(message_type=message_type)
        self._directory = Directory(
            catalog=catalog,
            view=view,
            own=own,
            settings=settings,
            meters=self._meters,
        )
        self._remote = RemoteOwner(
            channel=channel,
            directory=self._directory,
            settings=settings,
            clock=clock,
            boot=self._boot,
        )
        self._duties = OwnerDuties(
            channel=channel,
            directory=self._directory,
            view=view,
            own=own,
            settings=settings,
            meters=self._meters,
            clock=clock,
            boot=self._boot,
        )
        self._reporting = Reporting(
            channel=channel,
            directory=self._directory,
            view=view,
            own=own,
            settings=settings,
            clock=clock,
            boot=self._boot,
        )
        self._news = LeavingNews(
            view=view,
            directory=self._directory,
            settings=settings,
            clock=clock,
            on_leaving=self._start_migration,
        )
        self._upkeep = Upkeep(
            directory=self._directory,
            reporting=self._reporting,
            duties=self._duties,
            news=self._news,
            clock=clock,
        )
        self._prober = Prober(
            engines=engines,
            directory=self._directory,
            settings=settings,
            clock=clock,
            on_load=self._saw_load,
        )
        self._migration = Migration(
            engines=engines,
            meters=self._meters,
            clock=clock,
            bytes_per_second=settings.export_bytes_per_second,
        )

    @property
    def directory(self) -> Directory:
        """The shards, for status pages and benches."""
        return self._directory

    def explain(self, *, affinity: AffinityKey) -> tuple[PastDecision, ...]:
        """The last decisions for a chat, newest first."""
        return self._history.of_chat(affinity=affinity)

    def explain_request(self, *, request_id: RequestId) -> tuple[PastDecision, ...]:
        """The decisions for the attempts of a request, newest first."""
        return self._history.of_request(request_id=request_id)

    @asynccontextmanager
    async def grant(self, *, request: PlacementRequest) -> AsyncIterator[HeldGrant]:
        """Choose an endpoint and count the request there until the context ends.

        Raises:
            Overloaded: If no capacity is expected before the deadline.
            NoEndpoint: If the pool has no endpoint that takes work.
        """
        self._directory.sync(now=self._clock())
        self._requests += 1
        state = self._directory.of_request(
            pool=request.pool.name, affinity=request.affinity, spread=self._requests
        )
        if state is None:
            raise NoEndpoint(f"pool {request.pool.name} has no endpoint")
        placed = await self._place(state=state, request=request)
        began_at = self._clock()
        grant = HeldGrant(decision=self._decision(placed=placed))
        self._record(request=request, decision=grant.decision)
        try:
            yield grant
        finally:
            state.decider.residence.observe(seconds=self._clock() - began_at)
            self._finish(state=state, request=request, placed=placed, grant=grant)

    async def run(self) -> None:
        """Do what is due, until cancelled."""
        while True:
            self._upkeep.tick()
            await anyio.sleep(TICK)

    async def probe(self) -> None:
        """Probe endpoints until cancelled."""
        await self._prober.run()

    async def _place(self, *, state: ShardState, request: PlacementRequest) -> _Placed:
        wish = state.wish(
            request=request, routers=self._directory.routers, now=self._clock()
        )
        state.follow_time(now=self._clock())
        state.count_own(now=self._clock())
        try:
            placed = await self._decide(state=state, wish=wish)
            # From here on this router's own load includes the request.
            state.own.begin(
                endpoint=placed.granted.endpoint.name,
                account=wish.account,
                share=wish.share,
                cost=wish.cost,
                permitted=placed.counted,
            )
            state.note_own(endpoint=placed.granted.endpoint.name, now=self._clock())
        finally:
            state.own.close_request(number=wish.number)
            state.decider.give_up(router=self._own, number=wish.number)
            state.count_own(now=self._clock())
        return placed

    async def _decide(self, *, state: ShardState, wish: Wish) -> _Placed:
        if not isinstance(self._settings.policy, OwnerPolicy):
            return self._decide_baseline(state=state, wish=wish)
        endpoint = state.decider.preferred(wish=wish, now=self._clock())
        owner = state.owners.get(endpoint) if endpoint is not None else None
        if endpoint is None or owner is None:
            return await self._decide_here(
                state=state, wish=wish, path=PlacementPath.FALLBACK
            )
        if owner.router == self._own:
            return await self._decide_here(
                state=state, wish=wish, path=PlacementPath.LOCAL_OWNER
            )
        fast = self._decide_fast(state=state, wish=wish, endpoint=endpoint)
        if fast is not None:
            return fast
        remote = await self._decide_remote(
            state=state, wish=wish, endpoint=endpoint, owner=owner.router
        )
        if remote is not None:
            return remote
        return await self._decide_here(
            state=state, wish=wish, path=PlacementPath.FALLBACK
        )

    def _decide_baseline(self, *, state: ShardState, wish: Wish) -> _Placed:
        now = self._clock()
        choice = choose_baseline(
            policy=self._settings.policy,
            state=state,
            wish=wish,
            reported=self._reported,
            now=now,
        )
        if choice is None:
            raise NoEndpoint(f"shard {state.shard.name} has no endpoint in service")
        load = state.decider.book.load(endpoint=choice.endpoint.name)
        granted = Granted(
            wish=wish,
            endpoint=choice.endpoint,
            reason=choice.reason,
            load=load,
            mean=state.decider.chooser.bound(cost=wish.cost, now=now).mean,
        )
        return _Placed(
            granted=granted, path=PlacementPath.FALLBACK, decided_by=self._own
        )

    def _decide_fast(
        self, *, state: ShardState, wish: Wish, endpoint: EndpointId
    ) -> _Placed | None:
        now = self._clock()
        if not state.knows(endpoint=endpoint, now=now):
            return None
        if wish.surging and state.is_backlogged(endpoint=endpoint):
            return None
        share = fast_share(level=self._permits.level(now=now))
        granted = state.decider.ask_fast(wish=wish, share=share, now=now)
        if granted is None:
            return None
        return _Placed(granted=granted, path=PlacementPath.FAST, decided_by=self._own)

    async def _decide_remote(
        self, *, state: ShardState, wish: Wish, endpoint: EndpointId, owner: RouterId
    ) -> _Placed | None:
        if wish.max_in_flight or not self._may_ask(wish=wish):
            return None
        hinted = replace(wish, hint=state.decider.hint(wish=wish))
        verdict = await self._remote.ask(state=state, wish=hinted, endpoint=endpoint)
        match verdict:
            case Granted():
                counted = state.learn_remote(
                    granted=verdict, owner=owner, now=self._clock()
                )
                return _Placed(
                    granted=verdict,
                    path=PlacementPath.OWNER,
                    decided_by=owner,
                    counted=counted,
                )
            case Refused(cause=RefusalCause.OVERLOADED):
                raise self._refusal(state=state, refused=verdict, peer=owner)
        return None

    def _may_ask(self, *, wish: Wish) -> bool:
        """Take a permit request; a surging account leaves some to others."""
        now = self._clock()
        if self._directory.is_sparse:
            # Nobody but the owner knows the loads; the channel's bytes bound this.
            return True
        if wish.surging and self._permits.level(now=now) < SURGE_LEVEL:
            return False
        return self._permits.take(now=now)

    async def _decide_here(
        self, *, state: ShardState, wish: Wish, path: PlacementPath
    ) -> _Placed:
        with state.waiters.open(wish=wish) as waiter:
            verdict = state.decider.ask(wish=wish, now=self._clock())
            if isinstance(verdict, Queued):
                self._directory.note_queue(state=state)
                while waiter.verdict is None and self._clock() < wish.deadline:
                    await waiter.wait(timeout=wish.deadline - self._clock())
                verdict = waiter.verdict
        match verdict:
            case Granted():
                return _Placed(granted=verdict, path=path, decided_by=self._own)
            case Refused():
                raise self._refusal(state=state, refused=verdict, peer="")
        raise Overloaded("the deadline passed in the admission queue", retry_after=1.0)

    def _refusal(
        self, *, state: ShardState, refused: Refused, peer: str
    ) -> Overloaded | NoEndpoint:
        pool = state.shard.pool
        self._meters.refused(pool=pool, cause=refused.cause)
        log.info(
            "placement_refused",
            shard=state.shard.name,
            account=refused.wish.account,
            cause=refused.cause.value,
            retry_after=refused.retry_after,
            decided_by=peer or self._own,
        )
        if refused.cause is RefusalCause.NO_ENDPOINT:
            return NoEndpoint(
                f"pool {pool} has no endpoint in service",
                peer=peer,
                retry_after=refused.retry_after,
            )
        return Overloaded(
            f"pool {pool} expects no capacity before the deadline",
            peer=peer,
            retry_after=refused.retry_after,
        )

    def _decision(self, *, placed: _Placed) -> Decision:
        granted = placed.granted
        return Decision(
            permit=PermitId(granted.wish.number),
            endpoint=granted.endpoint,
            reason=granted.reason,
            path=placed.path,
            decided_by=placed.decided_by,
            load=granted.load / 1000,
            mean_load=granted.mean / 1000,
            waited=granted.waited,
            alternatives=granted.alternatives,
        )

    def _record(self, *, request: PlacementRequest, decision: Decision) -> None:
        self._meters.decided(pool=request.pool.name, decision=decision)
        self._history.add(
            past=PastDecision(
                at=self._clock(),
                request_id=request.request_id,
                account=request.account,
                pool=request.pool.name,
                affinity=request.affinity,
                decision=decision,
            )
        )
        log.info(
            "placement_decided",
            request_id=request.request_id,
            account=request.account,
            chat_key=f"{request.affinity:016x}" if request.affinity is not None else "",
            pool=request.pool.name,
            endpoint=decision.endpoint.name,
            reason=decision.reason.value,
            path=decision.path.value,
            decided_by=decision.decided_by,
            load=round(decision.load, 3),
            mean_load=round(decision.mean_load, 3),
            waited=round(decision.waited, 4),
            alternatives=[
                f"{each.endpoint}: {each.why}, load {each.load:.2f}"
                for each in decision.alternatives
            ],
        )

    def _finish(
        self,
        *,
        state: ShardState,
        request: PlacementRequest,
        placed: _Placed,
        grant: HeldGrant,
    ) -> None:
        wish = placed.granted.wish
        name = placed.granted.endpoint.name
        state.own.end(
            endpoint=name,
            account=wish.account,
            cost=wish.cost,
        )
        state.note_own(endpoint=name, now=self._clock())
        state.count_own(now=self._clock())
        self._take_result(state=state, name=name, grant=grant)
        if request.affinity is not None and grant.result is AttemptResult.OK:
            self._meters.served(
                pool=request.pool.name,
                prompt=request.prompt_tokens,
                cached=grant.cached_tokens,
            )
        self._duties.settle(state=state)

    def _take_result(
        self, *, state: ShardState, name: EndpointId, grant: HeldGrant
    ) -> None:
        now = self._clock()
        if grant.result is AttemptResult.LEAVING:
            self._news.saw_leaving(state=state, name=name)
        if grant.result is AttemptResult.UNREACHABLE:
            state.health.note_unreachable(name=name, now=now)
        if grant.result is AttemptResult.OK:
            state.health.succeed(name=name, latency=grant.latency, now=now)
            state.own.count_result(endpoint=name, succeeded=True, latency=grant.latency)
        elif grant.result in FAILURES:
            state.health.fail(name=name, now=now)
            state.own.count_result(endpoint=name, succeeded=False, latency=0.0)

    def _saw_load(self, state: ShardState, seen: LoadSeen) -> None:
        self._reported[seen.endpoint] = seen.requests
        self._news.saw_load(state=state, seen=seen)

    def _start_migration(self, state: ShardState, name: EndpointId) -> None:
        leaving = state.decider.chooser.endpoint(name=name)
        if leaving is not None and name in state.owned:
            self._tasks.start_soon(self._migrate, state, leaving)

    async def _migrate(self, state: ShardState, leaving: Endpoint) -> None:
        await self._migration.move_all(state=state, leaving=leaving)


@asynccontextmanager
async def run_placement(
    *,
    catalog: Catalog,
    view: View,
    channel: Channel,
    links: Links,
    settings: PlacementSettings,
    metrics: Metrics,
    clock: Clock,
    own: RouterId,
    engines: Engines | None = None,
) -> AsyncIterator[PlacementService]:
    """Run placement until the context ends.

    Args:
        catalog: Records in force.
        view: Members; rumours of endpoints too, if it carries them.
        channel: The way to other routers.
        links: The process's links.
        settings: Settings of placement.
        metrics: Where metrics are registered.
        clock: Monotonic clock.
        own: This router.
        engines: The client of engines; one with own connections by default.

    Yields:
        The service.
    """
    async with anyio.create_task_group() as tasks:
        service = PlacementService(
            catalog=catalog,
            view=view,
            channel=channel,
            engines=engines or open_engines(links=links, clock=clock),
            settings=settings,
            metrics=metrics,
            clock=clock,
            own=own,
            tasks=tasks,
        )
        tasks.start_soon(service.run)
        tasks.start_soon(service.probe)
        yield service
        tasks.cancel_scope.cancel()
