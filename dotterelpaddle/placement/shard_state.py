"""All that one router keeps of one shard."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dotterelpaddle.ids import AccountId, RouterId
from dotterelpaddle.placement.chats import AwayChats, CacheKnowledge, chat_tag
from dotterelpaddle.placement.due import OwnerInShard
from dotterelpaddle.placement.health import ShardHealth
from dotterelpaddle.placement.interface import PlacementReason
from dotterelpaddle.placement.knowledge import Heard, Report
from dotterelpaddle.placement.loads import Refresh
from dotterelpaddle.placement.own_load import OwnLoad
from dotterelpaddle.placement.owner import AWAY_REASONS, ShardOwner
from dotterelpaddle.placement.rendezvous import tag
from dotterelpaddle.placement.rhythm import rhythm_of
from dotterelpaddle.placement.waiters import Waiters
from dotterelpaddle.placement.wishes import Wish

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.membership.view import Member
    from dotterelpaddle.placement.chats import ChatPlaces
    from dotterelpaddle.placement.due import DueTimes
    from dotterelpaddle.placement.interface import PlacementRequest
    from dotterelpaddle.placement.messages import SummaryMessage
    from dotterelpaddle.placement.patience import PatienceRule
    from dotterelpaddle.placement.settings import PlacementSettings
    from dotterelpaddle.placement.shards import Shard
    from dotterelpaddle.placement.wishes import Granted
    from dotterelpaddle.records.model import Endpoint, Pool

OTHERS = RouterId("(others)")
"""Stands for all other routers on endpoints that this router does not own."""

PASSING = 0.4
"""Seconds after which another owner speaks for a request that was sent to it."""

EXPIRY_INTERVAL = 0.5
"""Seconds between looks for what is too old to go by."""

LEARNED_REASONS = AWAY_REASONS | {PlacementReason.REMEMBERED}
"""Reasons of an owner from which a router learns where a chat lives."""


class ShardState:
    """A shard as one router sees it.

    Args:
        shard: The shard.
        pool: The pool's record.
        own_router: This router.
        settings: Settings of placement.
        patience: How long chats wait for their cache.
        due: Takes in when owners of the shard have to be looked at.
        places: Where chats are kept that live away from home.
        is_alive: Tells whether the membership believes a reporter alive.

    Attributes:
        shard: As above.
        health: Which endpoints serve.
        away: Chats away from their hash home.
        cache: What engines' cache events say.
        decider: Decides as owner, or for this router alone.
        own: This router's own load.
        owners: The router believed to own each endpoint.
        rhythm: How often routers speak of the shard.
        waiters: This router's requests that wait for a verdict.
        handed_over: Load on the endpoints owned before the last election.
        strangers: New owners that don't know of this router's load yet.
        summary_due: When the next summary is due, as owner.
        summarized: Versions of loads and health in the last summary, as owner.
        last_summary: The last summary, as owner.
    """

    def __init__(
        self,
        *,
        shard: Shard,
        pool: Pool,
        own_router: RouterId,
        settings: PlacementSettings,
        patience: PatienceRule,
        due: DueTimes,
        places: ChatPlaces,
        is_alive: Callable[[RouterId], bool],
    ) -> None:
        self.shard = shard
        self._tag = shard.tag
        self._due = due
        self._is_alive = is_alive
        self._own_router = own_router
        self._settings = settings
        self.away = AwayChats(places=places, shard=self._tag)
        self.cache = CacheKnowledge(limit=settings.remembered_chats)
        self.health = ShardHealth(
            slow_start=pool.slow_start, max_ejected_share=settings.max_ejected_share
        )
        self.own = OwnLoad()
        self.decider = ShardOwner(
            pool=pool,
            health=self.health,
            away=self.away,
            cache=self.cache,
            patience=patience,
            accounts=self.own.accounts,
            own_router=own_router,
        )
        self.owners: dict[EndpointId, Member] = {}
        self.rhythm = rhythm_of(settings=settings, sparse=False)
        self.waiters = Waiters()
        self.handed_over: dict[EndpointId, int] = {}
        self.strangers: set[RouterId] = set()
        self.summary_due = 0.0
        self.summarized: tuple[int, int] | None = None
        self.last_summary: SummaryMessage | None = None
        self._peers: dict[RouterId, tuple[Member, list[EndpointId]]] = {}
        self._expired_at = float("-inf")
        self._names: dict[int, EndpointId] = {}
        self._heard: dict[EndpointId, Heard] = {}
        self._reported: Counter[EndpointId] = Counter()
        self._reports: dict[RouterId, Report] = {}
        self._others_sequence = 0
        self._last_summaries: dict[int, tuple[int, int]] = {}

    @property
    def owned(self) -> frozenset[EndpointId]:
        """Endpoints that this router owns, as far as it knows."""
        return self.decider.owned

    def peers(self) -> dict[RouterId, tuple[Member, list[EndpointId]]]:
        """Other owners, each with the endpoints that it owns."""
        return self._peers

    def note_own(self, *, endpoint: EndpointId, now: float) -> None:
        """Note that this router's own load on an endpoint has changed."""
        owner = self.owners.get(endpoint)
        if owner is not None:
            self._look_at(router=owner.router, due=now)

    def name_of(self, *, endpoint: int) -> EndpointId | None:
        """The endpoint with a tag, None if this router doesn't know it."""
        return self._names.get(endpoint)

    def knows(self, *, endpoint: EndpointId, now: float) -> bool:
        """Tell whether the load of an endpoint is known and fresh."""
        if endpoint in self.owned:
            return True
        heard = self._heard.get(endpoint)
        return heard is not None and now - heard.at <= self._settings.summary_lifetime

    def is_backlogged(self, *, endpoint: EndpointId) -> bool:
        """Tell whether requests waited at an endpoint's owner."""
        heard = self._heard.get(endpoint)
        return heard is not None and heard.queued > 0

    def report_to(self, *, router: RouterId) -> Report:
        """What an owner was told last."""
        return self._reports.setdefault(router, Report())

    def configure(
        self,
        *,
        pool: Pool,
        endpoints: tuple[Endpoint, ...],
        patience: PatienceRule,
        now: float,
    ) -> None:
        """Take over records as they are in force now."""
        self._names = {tag(text=endpoint.name): endpoint.name for endpoint in endpoints}
        names = frozenset(self._names.values())
        self._heard = {name: self._heard[name] for name in names & set(self._heard)}
        self.decider.configure(
            pool=pool, endpoints=endpoints, patience=patience, now=now
        )

    def elect(
        self, *, owners: dict[EndpointId, Member], routers: int, now: float
    ) -> dict[RouterId, list[EndpointId]]:
        """Believe in owners of endpoints.

        Returns:
            Endpoints by the former owner that this router has told of its load
            and no longer believes in.
        """
        deposed: dict[RouterId, list[EndpointId]] = {}
        self.handed_over = {
            name: self.decider.book.load(endpoint=name) for name in self.owned
        }
        known = {}
        for name, owner in owners.items():
            before = self.owners.get(name)
            if before is not None and before.router == owner.router:
                if before.incarnation != owner.incarnation:
                    self._tell_anew(router=owner.router, now=now)
                continue
            if self.own.load(endpoint=name) > 0:
                self._look_at(router=owner.router, due=now)
            if before is None:
                continue
            if self.own.load(endpoint=name) > 0:
                self.strangers.add(owner.router)
            if self._reported[name] > 0:
                deposed.setdefault(before.router, []).append(name)
            known[name] = self._others_load(endpoint=name)
            self._reported[name] = 0
        self._keep_heard(names=known, now=now)
        self.owners = owners
        self._peers = self._find_peers()
        owned = frozenset(
            name for name, owner in owners.items() if owner.router == self._own_router
        )
        self.decider.own(endpoints=owned, known=known, now=now, routers=routers)
        self._count_others(now=now)
        return deposed

    def wish(self, *, request: PlacementRequest, routers: int, now: float) -> Wish:
        """Number a request of a caller of this router.

        Args:
            request: The request.
            routers: Routers that share an account's bound.
            now: Seconds on the monotonic clock.
        """
        bound = request.max_in_flight
        account = account_on_wire(account=tag(text=request.account))
        return Wish(
            router=self._own_router,
            number=self.own.open_request(),
            account=account,
            share=request.share,
            rank=request.rank,
            max_in_flight=-(-bound // max(routers, 1)),
            surging=self.own.accounts.is_over(account=account, now=now),
            affinity=request.affinity,
            cost=request.cost,
            prompt_tokens=request.prompt_tokens,
            deadline=request.deadline,
            excluded=request.excluded,
            wait=request.wait,
        )

    def count_own(self, *, now: float) -> None:
        """Let the decider know what this router has in flight."""
        self.decider.refresh(
            router=self._own_router, refresh=self.own.refresh(), now=now
        )

    def count_reported(
        self, *, router: RouterId, loads: Mapping[EndpointId, int], now: float
    ) -> None:
        """Note what an owner is being told of this router's load."""
        report = self.report_to(router=router)
        changed = self.own.changed_since(version=report.version, endpoints=loads)
        report.unchanged = 0 if changed else report.unchanged + 1
        report.at = now
        report.version = self.own.version
        self._reported.update(
            {name: load - self._reported[name] for name, load in loads.items()}
        )
        self._look_at(router=router, due=now + self.rhythm.keepalive)

    def forget_report(self, *, router: RouterId) -> None:
        """Note that an owner was not told after all."""
        report = self.report_to(router=router)
        report.version = -1
        report.unchanged = 0
        self._look_at(router=router, due=report.at)

    def learn_remote(self, *, granted: Granted, owner: RouterId, now: float) -> bool:
        """Learn from an owner's decision.

        Returns:
            Whether the owner has counted the request at its endpoint.
        """
        wish = granted.wish
        name = granted.endpoint.name
        self._learn_place(granted=granted)
        holder = self.owners.get(name)
        if holder is None or holder.router != owner:
            return False
        self._reported[name] += wish.cost
        self.hear_load(endpoint=name, load=granted.load + wish.cost, now=now)
        self._count_others(now=now)
        return True

    def is_news(self, *, owner: int, boot: int, sequence: int) -> bool:
        """Tell whether a summary is newer than its owner's last, and note it."""
        last_boot, last_sequence = self._last_summaries.get(owner, (0, 0))
        if boot == last_boot and sequence <= last_sequence:
            return False
        self._last_summaries[owner] = (boot, sequence)
        return True

    def hear_load(
        self, *, endpoint: EndpointId, load: int, now: float, queued: int | None = None
    ) -> None:
        """Take over what an endpoint's owner says."""
        self.decider.trust(endpoint=endpoint)
        heard = self._heard.setdefault(endpoint, Heard(load=load, at=now))
        heard.load = load
        heard.at = now
        if queued is not None:
            heard.queued = queued

    def count_heard(self, *, now: float) -> None:
        """Let the decider know what owners have said."""
        self._count_others(now=now)

    def follow_time(self, *, now: float) -> None:
        """Drop what is too old to go by, if that was not done lately.

        A shard in which this router owns nothing is looked at when a request of
        its own comes, and not before.
        """
        if now - self._expired_at < EXPIRY_INTERVAL:
            return
        self._expired_at = now
        self.count_own(now=now)
        self.expire(now=now)

    def expire(self, *, now: float) -> None:
        """Drop what is too old to go by."""
        self._count_others(now=now)
        gone = self.decider.book.expire(
            before=now - self.rhythm.silence,
            kept_before=now - self.rhythm.longest_silence,
            is_alive=self._is_alive,
        )
        for router in gone:
            self.decider.forget(router=router)
        self.decider.expire_reserved(now=now)
        self.decider.expire_passing(before=now - PASSING)

    def _tell_anew(self, *, router: RouterId, now: float) -> None:
        """Forget what an owner was told: it may be a new process that knows nothing."""
        if self._reports.pop(router, None) is not None:
            self._look_at(router=router, due=now)

    def _look_at(self, *, router: RouterId, due: float) -> None:
        if router != self._own_router:
            owner = OwnerInShard(shard=self._tag, router=router)
            self._due.schedule(owner=owner, due=due)

    def _find_peers(self) -> dict[RouterId, tuple[Member, list[EndpointId]]]:
        found: dict[RouterId, tuple[Member, list[EndpointId]]] = {}
        for name, owner in self.owners.items():
            if owner.router != self._own_router:
                found.setdefault(owner.router, (owner, []))[1].append(name)
        return found

    def _learn_place(self, *, granted: Granted) -> None:
        if granted.wish.affinity is None:
            return
        chat = chat_tag(affinity=granted.wish.affinity)
        if granted.reason in LEARNED_REASONS:
            self.away.remember(tag=chat, endpoint=granted.endpoint.name)
        elif granted.reason is PlacementReason.HOME:
            self.away.forget(tag=chat)

    def _others_load(self, *, endpoint: EndpointId) -> int:
        """Other routers' load on an endpoint, as far as it is known here."""
        own = self.decider.book.part(router=self._own_router, endpoint=endpoint)
        return max(self.decider.book.load(endpoint=endpoint) - own, 0)

    def _keep_heard(self, *, names: Iterable[EndpointId], now: float) -> None:
        """Go by what was known of endpoints until their new owners speak."""
        for name in names:
            load = self.decider.book.load(endpoint=name)
            self.hear_load(endpoint=name, load=load, now=now)
            self._reported[name] = self.own.load(endpoint=name)

    def _count_others(self, *, now: float) -> None:
        """Count other routers' load where this router has it from owners only."""
        old = now - self.rhythm.heard_lifetime
        others = {
            name: max(heard.load - self._reported[name], 0)
            for name, heard in self._heard.items()
            if name not in self.owned and heard.at >= old
        }
        if others:
            # Endpoints that nobody speaks of are taken for average ones: an
            # empty look would draw all overflow there.
            average = sum(others.values()) // len(others)
            for name in self.decider.chooser.names:
                if name not in self.owned:
                    others.setdefault(name, average)
        self._others_sequence += 1
        refresh = Refresh(sequence=self._others_sequence, loads=others)
        self.decider.refresh(router=OTHERS, refresh=refresh, now=now)


def account_on_wire(*, account: int) -> AccountId:
    """The name under which deciders know an account."""
    return AccountId(f"{account:08x}")
