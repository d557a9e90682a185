"""The choice of an endpoint for one request, given the loads of a shard."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from dotterelpaddle.placement.bound import Bound
from dotterelpaddle.placement.chats import chat_tag
from dotterelpaddle.placement.health import Availability
from dotterelpaddle.placement.interface import Alternative, PlacementReason
from dotterelpaddle.placement.rendezvous import Rendezvous, digest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from dotterelpaddle.ids import AffinityKey, EndpointId
    from dotterelpaddle.placement.chats import AwayChats, CacheKnowledge
    from dotterelpaddle.placement.health import ShardHealth
    from dotterelpaddle.placement.loads import LoadBook
    from dotterelpaddle.placement.reservations import Reservations
    from dotterelpaddle.placement.wishes import Wish
    from dotterelpaddle.records.model import Endpoint, Pool

MAX_ALTERNATIVES = 4
"""Endpoints passed over that a decision names."""

SERVING_LIFETIME = 0.1
"""Seconds for which the set of serving endpoints is kept."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An endpoint chosen for a wish.

    Attributes:
        endpoint: The endpoint.
        reason: Why.
    """

    endpoint: Endpoint
    reason: PlacementReason


@dataclass(frozen=True, kw_only=True, slots=True)
class Preference:
    """Where a chat would go if load didn't matter.

    Attributes:
        endpoint: The endpoint that has, or by hash should have, its cache.
        reason: Why.
        cached: Whether the cache is known to be there.
        gone: Whether the cache is known to be nowhere.
        former: Where the chat lived before its home joined, and may still do, as
            only the owner of that endpoint knows.
    """

    endpoint: Endpoint
    reason: PlacementReason
    cached: bool = False
    gone: bool = False
    former: Endpoint | None = None


class Chooser:
    """Chooses endpoints of one shard.

    Args:
        pool: The pool's record.
        health: Which endpoints serve.
        book: The loads.
        away: Chats away from their hash home.
        cache: What cache events say.
        reservations: Lower limits while an endpoint's owner is in doubt.

    Attributes:
        pool: As above.
        cache: As above.
        owned: Endpoints whose cache events this router reads.
    """

    def __init__(
        self,
        *,
        pool: Pool,
        health: ShardHealth,
        book: LoadBook,
        away: AwayChats,
        cache: CacheKnowledge,
        reservations: Reservations,
    ) -> None:
        self.pool = pool
        self._health = health
        self._book = book
        self._away = away
        self.cache = cache
        self._reservations = reservations
        self.owned: frozenset[EndpointId] = frozenset()
        self._ring: Rendezvous[Endpoint] = _ring(endpoints=())
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._serving: dict[EndpointId, Endpoint] = {}
        self._resting: list[EndpointId] = []
        self._weight = 0.0
        self._serving_until = -1.0
        self._health_version = -1

    def sync(self, *, endpoints: Iterable[Endpoint]) -> None:
        """Take over the shard's endpoints."""
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._ring = _ring(endpoints=self._endpoints.values())
        self._serving_until = -1.0

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """The shard's endpoints' records."""
        return tuple(self._endpoints.values())

    @property
    def names(self) -> tuple[EndpointId, ...]:
        """The shard's endpoints."""
        return tuple(self._endpoints)

    def endpoint(self, *, name: EndpointId) -> Endpoint | None:
        """One of the shard's endpoints."""
        return self._endpoints.get(name)

    def serving(self, *, now: float) -> dict[EndpointId, Endpoint]:
        """The endpoints that take new work."""
        version = self._health.version
        if now >= self._serving_until or version != self._health_version:
            chosen = self._health.serving(now=now)
            self._serving = {endpoint.name: endpoint for endpoint in chosen}
            self._weight = sum(
                endpoint.weight * self._health.ramp(name=endpoint.name, now=now)
                for endpoint in chosen
            )
            self._resting = [
                name for name in self._endpoints if name not in self._serving
            ]
            self._serving_until = now + SERVING_LIFETIME
            self._health_version = self._health.version
        return self._serving

    def bound(self, *, cost: int, now: float, surging: bool = False) -> Bound:
        """The bound with one more request of a cost."""
        self.serving(now=now)
        total = self._book.total
        for name in self._resting:
            total -= self._book.load(endpoint=name)
        return Bound(
            mean=max(total + cost, 0) / max(self._weight, 1e-6),
            multiple=self.pool.load_multiple,
            capacity=self.pool.max_in_flight * 1000,
            surging=surging,
        )

    def limit(self, *, endpoint: Endpoint, bound: Bound, now: float) -> int:
        """Highest load that an endpoint may carry."""
        ramp = self._health.ramp(name=endpoint.name, now=now)
        limit = bound.limit(weight=endpoint.weight, ramp=ramp)
        return self._reservations.cap(endpoint=endpoint.name, limit=limit, now=now)

    def has_room(
        self, *, endpoint: Endpoint, cost: int, bound: Bound, now: float
    ) -> bool:
        """Tell whether an endpoint may take a request; an idle one always may."""
        load = self._book.load(endpoint=endpoint.name)
        if load <= 0:
            return True
        return load + cost <= self.limit(endpoint=endpoint, bound=bound, now=now)

    def ranked(self, *, wish: Wish, now: float) -> Iterator[Endpoint]:
        """Endpoints that may take a wish, in the order of the chat's hash."""
        serving = self.serving(now=now)
        key = wish.affinity if wish.affinity is not None else _spread(wish=wish)
        for endpoint in self._ring.ranked(key=key):
            if endpoint.name in serving and endpoint.name not in wish.excluded:
                yield endpoint

    def preference(self, *, wish: Wish, now: float) -> Preference | None:
        """Where a chat would go if load didn't matter, None without endpoints."""
        home = next(self.ranked(wish=wish, now=now), None)
        if home is None:
            return None
        if wish.affinity is None:
            return Preference(endpoint=home, reason=PlacementReason.LEAST_LOADED)
        remembered = self._remembered(wish=wish, now=now)
        if remembered is not None and remembered.name != home.name:
            return Preference(
                endpoint=remembered, reason=PlacementReason.REMEMBERED, cached=True
            )
        former = self._former_home(wish=wish, home=home, now=now)
        return self._at_home(home=home, former=former, affinity=wish.affinity, now=now)

    def choose(self, *, wish: Wish, exact: bool, now: float) -> Choice | None:
        """Choose an endpoint within the bound, None if none has capacity left.

        Args:
            wish: What is to be placed.
            exact: Whether all loads are exact. If not, overflow goes to the
                better of the two endpoints with room that come next in the
                chat's hash order, because all routers would run to the endpoint
                that was least loaded a moment ago.
            now: Seconds on the monotonic clock.
        """
        bound = self.bound(cost=wish.cost, now=now, surging=wish.surging)
        preference = self.preference(wish=wish, now=now)
        if preference is None:
            return None
        if wish.affinity is None:
            return self._least_loaded(wish=wish, bound=bound, now=now, exact=exact)
        if self._is_better_free(preference=preference, bound=bound):
            return self._least_loaded(wish=wish, bound=bound, now=now, exact=exact)
        chosen = self._with_cache(
            wish=wish, preference=preference, bound=bound, now=now
        )
        if chosen is not None:
            return chosen
        return self._overflow(wish=wish, bound=bound, now=now, exact=exact)

    def alternatives(
        self, *, chosen: Endpoint, cost: int, now: float
    ) -> tuple[Alternative, ...]:
        """Some endpoints that were passed over, as their loads are known here."""
        bound = self.bound(cost=cost, now=now)
        passed = [each for each in self._endpoints.values() if each is not chosen]
        return tuple(
            Alternative(
                endpoint=endpoint.name,
                load=self._book.load(endpoint=endpoint.name) / 1000,
                why=self._why_not(endpoint=endpoint, cost=cost, bound=bound, now=now),
            )
            for endpoint in passed[:MAX_ALTERNATIVES]
        )

    def _why_not(
        self, *, endpoint: Endpoint, cost: int, bound: Bound, now: float
    ) -> str:
        state = self._health.availability(name=endpoint.name, now=now)
        if state is not Availability.SERVING:
            return state.value
        if self.has_room(endpoint=endpoint, cost=cost, bound=bound, now=now):
            return "not_preferred"
        return "over_bound"

    def choose_light(self, *, wish: Wish, now: float) -> Choice | None:
        """The better of two endpoints that the hash picks, for a wish without chat."""
        bound = self.bound(cost=wish.cost, now=now, surging=wish.surging)
        return self._least_loaded(wish=wish, bound=bound, now=now, exact=False)

    def skew(self, *, now: float) -> float | None:
        """Highest relative load over the mean, None while nothing is in flight."""
        serving = self.serving(now=now)
        loads = [
            self._book.load(endpoint=name) / max(endpoint.weight, 1e-6)
            for name, endpoint in serving.items()
        ]
        mean = sum(loads) / len(loads) if loads else 0.0
        return max(loads) / mean if mean > 0.0 else None

    def _remembered(self, *, wish: Wish, now: float) -> Endpoint | None:
        assert wish.affinity is not None
        name = self._away.find(tag=chat_tag(affinity=wish.affinity)) or wish.hint
        if name is None or name in wish.excluded:
            return None
        return self.serving(now=now).get(name)

    def _former_home(
        self, *, wish: Wish, home: Endpoint, now: float
    ) -> Endpoint | None:
        """Where a chat lived before its home joined, None if that is long ago."""
        if not self._health.is_new(name=home.name, now=now):
            return None
        for endpoint in self.ranked(wish=wish, now=now):
            if not self._health.is_new(name=endpoint.name, now=now):
                return endpoint
        return None

    def _at_home(
        self,
        *,
        home: Endpoint,
        former: Endpoint | None,
        affinity: AffinityKey,
        now: float,
    ) -> Preference:
        places = self.cache.places(key=affinity)
        serving = self.serving(now=now)
        usable = [name for name in places if name in serving]
        reason = self._home_reason(home=home, affinity=affinity, now=now)
        if home.name in usable:
            return Preference(endpoint=home, reason=reason, cached=True)
        lost = self.cache.is_gone(endpoint=home.name, key=affinity)
        moved = reason is not PlacementReason.HOME or former is not None
        if usable and (lost or moved):
            return Preference(
                endpoint=serving[usable[0]], reason=PlacementReason.CACHED, cached=True
            )
        if former is not None and not self._reads_cache(endpoint=former):
            # Only who reads its events could tell. Soon after a joining most
            # chats that are asked about lived there.
            return Preference(
                endpoint=former, reason=PlacementReason.CACHED, former=former
            )
        gone = lost and not usable
        return Preference(endpoint=home, reason=reason, gone=gone, former=former)

    def _reads_cache(self, *, endpoint: Endpoint) -> bool:
        if endpoint.name not in self.owned:
            return False
        return not self.cache.is_unknown(endpoint=endpoint.name)

    def _home_reason(
        self, *, home: Endpoint, affinity: AffinityKey, now: float
    ) -> PlacementReason:
        first = self._ring.home(key=affinity)
        if first is None or first.name == home.name:
            return PlacementReason.HOME
        state = self._health.availability(name=first.name, now=now)
        if state is Availability.LEAVING:
            return PlacementReason.HOME_LEAVING
        return PlacementReason.HOME_EJECTED

    def _is_better_free(self, *, preference: Preference, bound: Bound) -> bool:
        """Tell whether a chat without cache should not burden its home."""
        home = preference.endpoint
        load = self._book.load(endpoint=home.name)
        return preference.gone and load > bound.mean * home.weight

    def _with_cache(
        self, *, wish: Wish, preference: Preference, bound: Bound, now: float
    ) -> Choice | None:
        """Take the preferred endpoint, else its hash home, else another copy."""
        if self._fits(endpoint=preference.endpoint, wish=wish, bound=bound, now=now):
            return Choice(endpoint=preference.endpoint, reason=preference.reason)
        assert wish.affinity is not None
        serving = self.serving(now=now)
        for name in self.cache.places(key=wish.affinity):
            endpoint = serving.get(name)
            if endpoint is None or name in wish.excluded:
                continue
            if self._fits(endpoint=endpoint, wish=wish, bound=bound, now=now):
                return Choice(endpoint=endpoint, reason=PlacementReason.CACHED)
        return None

    def _overflow(
        self, *, wish: Wish, bound: Bound, now: float, exact: bool
    ) -> Choice | None:
        if not exact:
            fitting = (
                endpoint
                for endpoint in self.ranked(wish=wish, now=now)
                if self._fits(endpoint=endpoint, wish=wish, bound=bound, now=now)
            )
            pair = list(islice(fitting, 2))
            chosen = self._lightest(endpoints=pair, now=now)
            if chosen is not None:
                return Choice(endpoint=chosen, reason=PlacementReason.MOVED_OVER_BOUND)
        choice = self._least_loaded(wish=wish, bound=bound, now=now, exact=True)
        if choice is None:
            return None
        return Choice(endpoint=choice.endpoint, reason=PlacementReason.MOVED_OVER_BOUND)

    def _least_loaded(
        self, *, wish: Wish, bound: Bound, now: float, exact: bool
    ) -> Choice | None:
        """The least loaded endpoint under its capacity.

        With inexact loads it is the better of two that the hash picks.
        """
        candidates = self.ranked(wish=wish, now=now)
        if not exact:
            pair = list(islice(candidates, 2))
            chosen = self._lightest(endpoints=pair, now=now)
            if chosen is not None and self._under_capacity(
                endpoint=chosen, wish=wish, bound=bound
            ):
                return Choice(endpoint=chosen, reason=PlacementReason.LEAST_LOADED)
            candidates = self.ranked(wish=wish, now=now)
        free = [
            endpoint
            for endpoint in candidates
            if self._under_capacity(endpoint=endpoint, wish=wish, bound=bound)
        ]
        chosen = self._lightest(endpoints=free, now=now)
        if chosen is None:
            return None
        return Choice(endpoint=chosen, reason=PlacementReason.LEAST_LOADED)

    def _lightest(self, *, endpoints: list[Endpoint], now: float) -> Endpoint | None:
        return min(endpoints, key=self._relative_load(now=now), default=None)

    def _relative_load(self, *, now: float) -> Callable[[Endpoint], float]:
        def _rate(endpoint: Endpoint) -> float:
            ramp = self._health.ramp(name=endpoint.name, now=now)
            load = self._book.load(endpoint=endpoint.name)
            return load / max(endpoint.weight * ramp, 1e-6)

        return _rate

    def _fits(
        self, *, endpoint: Endpoint, wish: Wish, bound: Bound, now: float
    ) -> bool:
        return self.has_room(endpoint=endpoint, cost=wish.cost, bound=bound, now=now)

    def _under_capacity(self, *, endpoint: Endpoint, wish: Wish, bound: Bound) -> bool:
        load = self._book.load(endpoint=endpoint.name)
        capacity = bound.capacity_of(weight=endpoint.weight)
        return load <= 0 or load + wish.cost <= capacity


def _ring(*, endpoints: Iterable[Endpoint]) -> Rendezvous[Endpoint]:
    return Rendezvous(
        nodes=endpoints,
        name=lambda endpoint: endpoint.name,
        weight=lambda endpoint: endpoint.weight,
    )


def _spread(*, wish: Wish) -> int:
    """A key for a wish without a chat: routers start at different endpoints."""
    return digest(text=f"{wish.router}/{wish.number}")
