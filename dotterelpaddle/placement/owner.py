"""The decider of one shard.

Every router has one per shard and owns some of the shard's endpoints. It counts
all routers' load exactly on the endpoints that it owns. On the others it counts
its own load exactly and the rest as their owners said last; it needs that for the
mean, for overflow, for the fast path and for the fallback. Pure: verdicts come
back as values and time goes in as `now`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.admission.fair_queue import Entry, FairQueue
from dotterelpaddle.ids import RouterId
from dotterelpaddle.placement.chats import chat_tag
from dotterelpaddle.placement.choice import Choice, Chooser
from dotterelpaddle.placement.fairness import AccountShares
from dotterelpaddle.placement.interface import PlacementReason
from dotterelpaddle.placement.loads import LoadBook, Permit, Refresh
from dotterelpaddle.placement.reservations import Reservations
from dotterelpaddle.placement.residence import Residence
from dotterelpaddle.placement.wishes import (
    Granted,
    Queued,
    RefusalCause,
    Refused,
    Verdict,
    Wish,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.placement.chats import AwayChats, CacheKnowledge
    from dotterelpaddle.placement.health import ShardHealth
    from dotterelpaddle.placement.interface import Alternative
    from dotterelpaddle.placement.patience import PatienceRule
    from dotterelpaddle.records.model import Endpoint, Pool

RESERVED = RouterId("(reserved)")
"""Stands for routers that report to another owner for the moment."""

MAX_PATIENT = 64
"""Requests that may wait for an endpoint with their cache."""

OWN_SLACK = 2000
"""Load that a router may have over the bound of its own part on the fast path."""

MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 30.0

AWAY_REASONS = frozenset(
    {
        PlacementReason.MOVED_OVER_BOUND,
        PlacementReason.CACHED,
        PlacementReason.LEAST_LOADED,
    }
)
"""Reasons after which a chat lives away from its hash home."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """A chat that was sent to live elsewhere.

    Attributes:
        tag: The chat's tag.
        endpoint: Where it lives now.
    """

    tag: int
    endpoint: EndpointId


@dataclass(kw_only=True, slots=True, eq=False)
class _Waiting:
    """A wish in one of the queues."""

    wish: Wish
    since: float
    patience_until: float = 0.0
    preferred: Endpoint | None = None


class ShardOwner:
    """Grants, queues and refuses wishes for a shard.

    Args:
        pool: The pool's record.
        health: Which endpoints serve.
        away: Chats away from their hash home.
        cache: What cache events say.
        patience: How long chats wait for their cache.
        own_router: This router.
        accounts: What accounts have in flight from this router.
    """

    def __init__(
        self,
        *,
        pool: Pool,
        health: ShardHealth,
        away: AwayChats,
        cache: CacheKnowledge,
        patience: PatienceRule,
        own_router: RouterId,
        accounts: AccountShares | None = None,
    ) -> None:
        self._accounts = accounts or AccountShares()
        self._own_router = own_router
        self._health = health
        self._away = away
        self._patience = patience
        self._book = LoadBook()
        self._reservations = Reservations()
        self._reserved_sequence = 0
        self._owned: frozenset[EndpointId] = frozenset()
        self._chooser = Chooser(
            pool=pool,
            health=health,
            book=self._book,
            away=away,
            cache=cache,
            reservations=self._reservations,
        )
        self._queue: FairQueue[_Waiting] = FairQueue(limit=pool.queue_length)
        self._patient: list[_Waiting] = []
        self._ready: list[Verdict] = []
        self._residence = Residence()
        self._moves: deque[Move] = deque(maxlen=256)

    @property
    def book(self) -> LoadBook:
        """The load in flight."""
        return self._book

    @property
    def owned(self) -> frozenset[EndpointId]:
        """Endpoints whose load is counted exactly here."""
        return self._owned

    @property
    def residence(self) -> Residence:
        """How long requests stay at the shard's endpoints."""
        return self._residence

    @property
    def chooser(self) -> Chooser:
        """The choice among endpoints."""
        return self._chooser

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue) + len(self._patient)

    @property
    def unsettled(self) -> bool:
        """Whether requests wait, or have verdicts that were not handed out yet."""
        return self.queued > 0 or len(self._ready) > 0

    @property
    def is_backlogged(self) -> bool:
        """Whether requests wait for capacity."""
        return len(self._queue) > 0

    def configure(
        self,
        *,
        pool: Pool,
        endpoints: Iterable[Endpoint],
        patience: PatienceRule,
        now: float,
    ) -> None:
        """Take over records as they are in force now."""
        chosen = tuple(endpoints)
        self._health.sync(endpoints=chosen, now=now)
        self._chooser.pool = pool
        self._chooser.sync(endpoints=chosen)
        self._queue.limit = pool.queue_length
        self._patience = patience

    def own(
        self,
        *,
        endpoints: frozenset[EndpointId],
        known: Mapping[EndpointId, int],
        now: float,
        routers: int = 1,
    ) -> None:
        """Own some endpoints from now on.

        Args:
            endpoints: The endpoints.
            known: Other routers' load on endpoints, as last heard; an endpoint
                without an owner so far is missing, its load comes with the
                first reports.
            now: Seconds on the monotonic clock.
            routers: Routers that ask for the shard's endpoints.
        """
        self._reservations.routers = routers
        for name in self._owned - endpoints:
            self._reservations.drop(endpoint=name)
            self._book.strip(endpoint=name, keep=self._own_router)
        for name in (endpoints - self._owned) & known.keys():
            base = known[name] + self._own_part(endpoint=name)
            self._reservations.gain(endpoint=name, load=known[name], base=base, now=now)
        self._owned = endpoints
        self._chooser.owned = endpoints
        self._count_reserved(now=now)

    def share_with(self, *, routers: int) -> None:
        """Note how many routers ask for the shard's endpoints."""
        self._reservations.routers = routers

    def refresh(self, *, router: RouterId, refresh: Refresh, now: float) -> None:
        """Take over what a router has in flight."""
        if not self._book.refresh(router=router, refresh=refresh, now=now):
            return
        for name in refresh.loads:
            self._note_report(router=router, endpoint=name)
        if self._reserved_sequence:
            self._count_reserved(now=now)
        if self.queued:
            self._drop_settled(router=router)

    def _note_report(self, *, router: RouterId, endpoint: EndpointId) -> None:
        load = self._book.part(router=router, endpoint=endpoint)
        self._reservations.report(endpoint=endpoint, router=router, load=load)

    def release(
        self, *, router: RouterId, endpoints: Iterable[EndpointId], now: float
    ) -> None:
        """Note that a router reports some endpoints to another owner.

        Its load there stays reserved for a while, because the other owner has
        to know of the load that is reported here, and the other way round.
        """
        for name in endpoints:
            if name not in self._owned:
                continue
            load = self._book.part(router=router, endpoint=name)
            base = self._book.load(endpoint=name)
            self._reservations.release(
                endpoint=name, router=router, load=load, base=base, now=now
            )
        self._count_reserved(now=now)

    def doubt(self, *, endpoints: Iterable[EndpointId], now: float) -> None:
        """Note that the owner of some endpoints does not answer."""
        for name in endpoints:
            if name in self._owned:
                continue
            self._reservations.doubt(
                endpoint=name,
                router=self._own_router,
                base=self._book.load(endpoint=name),
                now=now,
            )

    def trust(self, *, endpoint: EndpointId) -> None:
        """Note that an endpoint's owner speaks."""
        if endpoint not in self._owned:
            self._reservations.drop(endpoint=endpoint)

    def inherit(self, *, endpoint: EndpointId, load: int, now: float) -> None:
        """Take in what another router counts on an endpoint owned here.

        It has just stopped owning the endpoint, or believes that it still does.
        What is not counted here yet stays reserved for a while. Who counts
        nothing, such as a router that has just started, changes nothing.
        """
        if endpoint not in self._owned or load <= 0:
            return
        reserved = self._book.part(router=RESERVED, endpoint=endpoint)
        counted = self._book.load(endpoint=endpoint) - reserved
        missing = max(load - counted, 0)
        reporters = {
            router
            for router in self._book.routers
            if self._book.part(router=router, endpoint=endpoint) > 0
        }
        self._reservations.gain(
            endpoint=endpoint,
            load=missing,
            base=counted + missing,
            now=now,
            here=reporters,
        )
        self._count_reserved(now=now)

    def forget(self, *, router: RouterId) -> None:
        """Stop counting a router and drop its waiting wishes."""
        self._book.forget(router=router)
        for waiting in self._all_waiting():
            if waiting.wish.router == router:
                self._drop(waiting=waiting)

    def expire_passing(self, *, before: float) -> None:
        """Stop counting what was sent to endpoints that other routers own."""
        self._book.drop_permits(
            before=before, kept=self._owned, router=self._own_router
        )

    def expire_reserved(self, *, now: float) -> None:
        """Drop reservations that are over."""
        self._reservations.expire(now=now)
        self._count_reserved(now=now)

    def ask(self, *, wish: Wish, now: float) -> Verdict | None:
        """Decide on a wish.

        Returns:
            The verdict, the same one again for a repeated wish, or None if the
            router has given the wish up or had its answer.
        """
        known = self._repeated(wish=wish, now=now)
        if known is not None:
            return known
        if self._book.is_settled(router=wish.router, number=wish.number):
            return None
        preference = self._chooser.preference(wish=wish, now=now)
        if preference is None:
            return _no_endpoint(wish=wish)
        self._note_report(router=wish.router, endpoint=preference.endpoint.name)
        waiting = _Waiting(wish=wish, since=now)
        if not self._queue and self._account_has_room(wish=wish):
            verdict = self._place(waiting=waiting, now=now, patient=wish.wait)
            if verdict is not None:
                return verdict
        return self._enqueue(waiting=waiting, now=now)

    def ask_fast(self, *, wish: Wish, share: float, now: float) -> Granted | None:
        """Grant a wish where its cache is, if that is clearly within the bound.

        Args:
            wish: The wish.
            share: Part of the bound that counts as clearly within.
            now: Seconds on the monotonic clock.
        """
        if wish.max_in_flight or (self.queued and wish.surging):
            return None
        if wish.affinity is None:
            return self._light(wish=wish, now=now)
        preference = self._chooser.preference(wish=wish, now=now)
        if preference is None or preference.gone or preference.former is not None:
            return None
        bound = self._chooser.bound(cost=wish.cost, now=now, surging=wish.surging)
        endpoint = preference.endpoint
        limit = self._chooser.limit(endpoint=endpoint, bound=bound, now=now)
        load = self._book.load(endpoint=endpoint.name)
        if load + wish.cost > share * limit:
            return None
        if not self._own_part_fits(endpoint=endpoint, wish=wish):
            return None
        choice = Choice(endpoint=endpoint, reason=preference.reason)
        return self._grant(wish=wish, choice=choice, waited=0.0, now=now)

    def _own_part_fits(self, *, endpoint: Endpoint, wish: Wish) -> bool:
        """Tell whether this router's own load is within the bound, or nearly.

        If each router's part is, so is the whole. With little load of its own a
        router can't tell, so two requests more are let through.
        """
        names = self._chooser.names
        parts = [self._own_part(endpoint=name) for name in names]
        fair = self._chooser.pool.load_multiple * sum(parts) / max(len(names), 1)
        own = self._own_part(endpoint=endpoint.name)
        return own + wish.cost <= fair * endpoint.weight + OWN_SLACK

    def _light(self, *, wish: Wish, now: float) -> Granted | None:
        choice = self._chooser.choose_light(wish=wish, now=now)
        if choice is None:
            return None
        return self._grant(wish=wish, choice=choice, waited=0.0, now=now)

    def preferred(self, *, wish: Wish, now: float) -> EndpointId | None:
        """The endpoint whose owner should decide, None without endpoints."""
        preference = self._chooser.preference(wish=wish, now=now)
        if preference is None:
            return None
        return (preference.former or preference.endpoint).name

    def hint(self, *, wish: Wish) -> EndpointId | None:
        """Where a chat lives away from its hash home, as far as known here."""
        if wish.affinity is None:
            return None
        return self._away.find(tag=chat_tag(affinity=wish.affinity))

    def settle(self, *, now: float) -> list[Verdict]:
        """Serve what waits, after loads or time have changed."""
        self._expire_waiting(now=now)
        self._serve_patient(now=now)
        self._serve_queue(now=now)
        ready = self._ready
        self._ready = []
        return ready

    def give_up(self, *, router: RouterId, number: int) -> None:
        """Drop a waiting wish whose caller is gone."""
        for waiting in self._all_waiting():
            if waiting.wish.router == router and waiting.wish.number == number:
                self._drop(waiting=waiting)

    def hear_moves(self, *, moves: Iterable[Move], pass_on: bool) -> None:
        """Take over where other routers have sent chats."""
        for move in moves:
            news = self._away.remember(tag=move.tag, endpoint=move.endpoint)
            if news and pass_on:
                self._moves.append(move)

    def take_moves(self, *, limit: int) -> tuple[Move, ...]:
        """The oldest moves that have not been passed on, once."""
        count = min(limit, len(self._moves))
        return tuple(self._moves.popleft() for _ in range(count))

    def _repeated(self, *, wish: Wish, now: float) -> Verdict | None:
        permit = self._book.find(router=wish.router, number=wish.number)
        if permit is not None:
            endpoint = self._chooser.endpoint(name=permit.endpoint)
            if endpoint is None:
                return _no_endpoint(wish=wish)
            return self._granted(
                wish=wish,
                choice=Choice(endpoint=endpoint, reason=PlacementReason.REMEMBERED),
                waited=0.0,
                load=self._book.load(endpoint=endpoint.name),
                now=now,
            )
        for waiting in self._all_waiting():
            same_router = waiting.wish.router == wish.router
            if same_router and waiting.wish.number == wish.number:
                return Queued(wish=wish, expected=self._expected_wait(wish=wish))
        return None

    def _account_has_room(self, *, wish: Wish) -> bool:
        if not wish.max_in_flight:
            return True
        load = self._accounts.load(account=wish.account)
        return load + wish.cost <= wish.max_in_flight * 1000

    def _place(self, *, waiting: _Waiting, now: float, patient: bool) -> Verdict | None:
        """Place a wish, None if no endpoint has capacity left."""
        wish = waiting.wish
        exact = len(self._owned) == len(self._chooser.names)
        choice = self._chooser.choose(wish=wish, exact=exact, now=now)
        if choice is None:
            return None
        overflow = choice.reason is PlacementReason.MOVED_OVER_BOUND
        if patient and overflow and self._would_wait(waiting=waiting, now=now):
            self._patient.append(waiting)
            return Queued(wish=wish, expected=waiting.patience_until - now)
        return self._grant(
            wish=wish, choice=choice, waited=now - waiting.since, now=now
        )

    def _would_wait(self, *, waiting: _Waiting, now: float) -> bool:
        """Decide between waiting for the cache and a cold start."""
        wish = waiting.wish
        if wish.affinity is None or len(self._patient) >= MAX_PATIENT:
            return False
        preference = self._chooser.preference(wish=wish, now=now)
        if preference is None or preference.gone:
            return False
        patience = self._patience.patience(
            prompt_tokens=wish.prompt_tokens,
            cached=preference.cached,
            time_left=wish.deadline - now,
        )
        expected = self._expected_room(endpoint=preference.endpoint, wish=wish, now=now)
        if patience <= 0.0 or expected is None or expected > patience:
            return False
        waiting.preferred = preference.endpoint
        waiting.patience_until = now + patience
        return True

    def _expected_room(
        self, *, endpoint: Endpoint, wish: Wish, now: float
    ) -> float | None:
        """Seconds until an endpoint has room for a wish, None if unknown."""
        load = self._book.load(endpoint=endpoint.name)
        ahead = sum(
            waiting.wish.cost
            for waiting in self._patient
            if waiting.preferred is not None and waiting.preferred.name == endpoint.name
        )
        bound = self._chooser.bound(cost=wish.cost, now=now, surging=wish.surging)
        limit = self._chooser.limit(endpoint=endpoint, bound=bound, now=now)
        excess = load + wish.cost + ahead - limit
        return self._residence.time_for(excess=excess, load=load)

    def _grant(
        self, *, wish: Wish, choice: Choice, waited: float, now: float
    ) -> Granted:
        load = self._book.load(endpoint=choice.endpoint.name)
        granted = self._granted(
            wish=wish, choice=choice, waited=waited, load=load, now=now
        )
        permit = Permit(
            number=wish.number,
            endpoint=choice.endpoint.name,
            cost=wish.cost,
            at=now,
        )
        self._book.add(router=wish.router, permit=permit, now=now)
        self._remember(wish=wish, choice=choice)
        return granted

    def _granted(
        self, *, wish: Wish, choice: Choice, waited: float, load: int, now: float
    ) -> Granted:
        return Granted(
            wish=wish,
            endpoint=choice.endpoint,
            reason=choice.reason,
            load=load,
            mean=self._chooser.bound(
                cost=wish.cost, now=now, surging=wish.surging
            ).mean,
            waited=waited,
            alternatives=self._alternatives(wish=wish, choice=choice, now=now),
        )

    def _alternatives(
        self, *, wish: Wish, choice: Choice, now: float
    ) -> tuple[Alternative, ...]:
        """Endpoints passed over; another router names them by itself."""
        if wish.router != self._own_router:
            return ()
        return self._chooser.alternatives(
            chosen=choice.endpoint, cost=wish.cost, now=now
        )

    def _remember(self, *, wish: Wish, choice: Choice) -> None:
        if wish.affinity is None:
            return
        tag = chat_tag(affinity=wish.affinity)
        name = choice.endpoint.name
        if choice.reason in AWAY_REASONS:
            news = self._away.remember(tag=tag, endpoint=name)
        elif choice.reason is PlacementReason.HOME:
            news = self._away.forget(tag=tag)
        else:
            news = False
        if news:
            self._moves.append(Move(tag=tag, endpoint=name))

    def _enqueue(self, *, waiting: _Waiting, now: float) -> Verdict:
        wish = waiting.wish
        expected = self._expected_wait(wish=wish)
        late = now + expected >= wish.deadline
        if late or not wish.wait:
            return self._overloaded(wish=wish, expected=expected)
        entry = Entry(
            account=wish.account,
            share=wish.share,
            rank=wish.rank,
            cost=wish.cost,
            deadline=wish.deadline,
            item=waiting,
        )
        evicted = self._queue.push(entry=entry)
        if evicted is not None and evicted.item is waiting:
            return self._overloaded(wish=wish, expected=expected)
        if evicted is not None:
            self._refuse(waiting=evicted.item)
        self._serve_queue(now=now)
        return self._taken_from_ready(wish=wish) or Queued(wish=wish, expected=expected)

    def _taken_from_ready(self, *, wish: Wish) -> Verdict | None:
        for verdict in self._ready:
            if verdict.wish is wish:
                self._ready.remove(verdict)
                return verdict
        return None

    def _expected_wait(self, *, wish: Wish) -> float:
        """Seconds that a new wish would wait for capacity, 0 if unknown."""
        ahead = self._queue.cost_ahead(
            account=wish.account, share=wish.share, rank=wish.rank
        )
        load = self._book.total
        return self._residence.time_for(excess=ahead + wish.cost, load=load) or 0.0

    def _serve_patient(self, *, now: float) -> None:
        if not self._patient:
            return
        remaining = []
        for waiting in self._patient:
            verdict = self._serve_one_patient(waiting=waiting, now=now)
            if verdict is None:
                remaining.append(waiting)
            else:
                self._ready.append(verdict)
        self._patient = remaining

    def _serve_one_patient(self, *, waiting: _Waiting, now: float) -> Verdict | None:
        wish = waiting.wish
        preferred = waiting.preferred
        assert preferred is not None
        if preferred.name in self._chooser.serving(now=now):
            bound = self._chooser.bound(cost=wish.cost, now=now, surging=wish.surging)
            if self._chooser.has_room(
                endpoint=preferred, cost=wish.cost, bound=bound, now=now
            ):
                choice = Choice(endpoint=preferred, reason=PlacementReason.WAITED)
                waited = now - waiting.since
                return self._grant(wish=wish, choice=choice, waited=waited, now=now)
            if now < waiting.patience_until:
                return None
        verdict = self._place(waiting=waiting, now=now, patient=False)
        return verdict or self._enqueue(waiting=waiting, now=now)

    def _serve_queue(self, *, now: float) -> None:
        def _admit(entry: Entry[_Waiting]) -> bool:
            if not self._account_has_room(wish=entry.item.wish):
                return False
            verdict = self._place(waiting=entry.item, now=now, patient=False)
            if verdict is None:
                return False
            self._ready.append(verdict)
            return True

        while self._queue and self._queue.pop(admit=_admit) is not None:
            pass

    def _expire_waiting(self, *, now: float) -> None:
        for entry in self._queue.expire(now=now):
            self._refuse(waiting=entry.item)

    def _refuse(self, *, waiting: _Waiting) -> None:
        expected = self._expected_wait(wish=waiting.wish)
        self._ready.append(self._overloaded(wish=waiting.wish, expected=expected))

    def _overloaded(self, *, wish: Wish, expected: float) -> Refused:
        retry_after = min(max(expected, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
        return Refused(
            wish=wish, cause=RefusalCause.OVERLOADED, retry_after=retry_after
        )

    def _drop_settled(self, *, router: RouterId) -> None:
        """Drop wishes that a router has given up, as its refresh tells."""
        for waiting in self._all_waiting():
            wish = waiting.wish
            if wish.router != router:
                continue
            if self._book.is_settled(router=router, number=wish.number):
                self._drop(waiting=waiting)

    def _drop(self, *, waiting: _Waiting) -> None:
        if waiting in self._patient:
            self._patient.remove(waiting)
            return
        for entry in list(self._queue):
            if entry.item is waiting:
                self._queue.remove(entry=entry)

    def _own_part(self, *, endpoint: EndpointId) -> int:
        return self._book.part(router=self._own_router, endpoint=endpoint)

    def _count_reserved(self, *, now: float) -> None:
        """Count reserved load as that of one more router."""
        loads = self._reservations.loads(now=now)
        if not loads and not self._reserved_sequence:
            return
        self._reserved_sequence += 1
        refresh = Refresh(sequence=self._reserved_sequence, loads=loads)
        self._book.refresh(router=RESERVED, refresh=refresh, now=now)

    def _all_waiting(self) -> list[_Waiting]:
        return [*self._patient, *(entry.item for entry in self._queue)]


def _no_endpoint(*, wish: Wish) -> Refused:
    return Refused(wish=wish, cause=RefusalCause.NO_ENDPOINT, retry_after=1.0)
