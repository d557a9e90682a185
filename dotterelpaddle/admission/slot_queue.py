"""Orders the requests that wait for a slot of one shard.

Meets the load in which client accounts and priorities together request more than the
slots can serve: without an order, one of them would take the slots that others need.
All requests pass through the queue, even those that need not wait, because shares are
counted over all grants.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

from dotterelpaddle.admission.fair_queue import Entry, FairQueue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from dotterelpaddle.ids import AccountId

T = TypeVar("T")

GRANTS_PER_LESS_URGENT_GRANT = 10
"""One grant in this many goes to less urgent ranks while their requests wait, so that
none is starved."""

RECENT_GRANTS = 64
"""Number of latest grants that show how much others take of the service, 0.6 to 0.9 s
of a plain service."""

MIN_RETURN_SAMPLE = 16
"""Grants of an account over which its share of returning requests is taken at least,
so that one or two of them don't count as a trend."""

MAX_RETURN_SHARE = 0.9
"""Largest part of an account's grants that is expected to go to returning requests. It
keeps estimates finite, which divide by the rest."""

MAX_CREDIT_REQUESTS = 16.0
"""Grants that an account catches up on after its requests could not be admitted for a
time. Without a bound it would then keep all others waiting for as long."""

REQUESTS_TRIED = 8
"""Requests of an account that are tried for a free slot. The first one may exclude the
endpoint, as it has failed there, and must not hold up the others. More would cost too
much where many accounts wait."""

EQUAL_SHARE = 1.0
"""Weight of each account."""

COST = 1
"""Cost of each request, so that costs are numbers of requests."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """What determines the order of a request.

    Attributes:
        rank: Priority; 0 is the most urgent.
        account: Client account, empty on public routes.
        returning: Whether it comes back at the time that it was told.
        deadline: Latest time of a grant, seconds on the monotonic clock.
    """

    rank: int
    account: AccountId
    returning: bool
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Demand:
    """Requests of others that may be granted before a new one.

    Attributes:
        waiting: Number that wait now.
        share: Part of all grants that went to them lately, from 0 to 1.
        most: Number at most that the order allows.
    """

    waiting: float
    share: float
    most: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Grant:
    """A grant after which other requests still waited."""

    rank: int
    account: AccountId
    returning: bool


class SlotQueue(Generic[T]):
    """A bounded queue, by rank and fair between the accounts of each rank.

    Items must be hashable, and each may be in the queue once.

    Args:
        limit: Most requests that may wait.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._ranks: dict[int, FairQueue[T]] = {}
        self._entries: dict[T, Entry[T]] = {}
        self._backlogs: Counter[AccountId] = Counter()
        # Grants to each rank since less urgent ones last had one, while they wait.
        self._turns: Counter[int] = Counter()
        # None stands for a grant after which no request waited.
        self._recent: deque[_Grant | None] = deque()
        self._recent_counts: Counter[_Grant] = Counter()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[T]:
        """Yield the waiting items in the order of their arrival."""
        return iter(self._entries)

    def __contains__(self, item: T) -> bool:
        return item in self._entries

    def push(self, *, request: SlotRequest, item: T) -> T | None:
        """Queue a request.

        Returns:
            The item that must be refused because the queue is full, which may be
            the new one, or None.

        Raises:
            ValueError: If the item is already in the queue.
        """
        if item in self._entries:
            raise ValueError(f"{item!r} is already in the queue")
        entry = _entry(request=request, item=item)
        fair_queue = self._ranks.get(entry.rank)
        if fair_queue is None:
            # The limit applies to all ranks together, so `_evict` enforces it.
            fair_queue = FairQueue(
                limit=self._limit + 1,
                ties_by_arrival=True,
                max_credit=MAX_CREDIT_REQUESTS,
                depth=REQUESTS_TRIED,
            )
            self._ranks[entry.rank] = fair_queue
        fair_queue.push(entry=entry)
        self._entries[item] = entry
        self._backlogs[entry.account] += 1
        return self._evict() if len(self._entries) > self._limit else None

    def pop(self, *, admit: Callable[[T], bool]) -> T | None:
        """Take the next request whose admission succeeds.

        Args:
            admit: Tells whether a request can be granted now. It is asked about
                the first requests of each account in order, and has granted the
                request when it returns True.
        """
        for rank in self._ranks_in_turn():
            taken = self._ranks[rank].pop(admit=lambda entry: admit(entry.item))
            if taken is not None:
                self._forget(entry=taken)
                self._count_grant(entry=taken)
                return taken.item
        return None

    def remove(self, *, item: T) -> bool:
        """Take a request out that isn't granted; tell whether it was there."""
        entry = self._entries.get(item)
        if entry is None:
            return False
        self._ranks[entry.rank].remove(entry=entry)
        self._forget(entry=entry)
        return True

    def expire(self, *, now: float) -> list[T]:
        """Take out all requests whose deadline has been reached.

        Args:
            now: Seconds on the monotonic clock.
        """
        expired = [
            entry
            for fair_queue in self._ranks.values()
            for entry in fair_queue.expire(now=now)
        ]
        for entry in expired:
            self._forget(entry=entry)
        return [entry.item for entry in expired]

    def requests_ahead(self, *, request: SlotRequest) -> float:
        """Estimate how many requests are granted before a new one.

        Others that took a share of the latest grants while requests waited are
        expected to go on with it, up to what the order allows them. Without that, a
        request of a flooding account or of a less urgent rank would be queued
        although later arrivals of others keep it waiting until its deadline.
        """
        own_ahead, demands = self._demands_in_rank(request=request)
        in_rank = _grants_before(certain=own_ahead, demands=demands)
        own_turns = in_rank + 1.0
        urgent = [rank for rank in self._active_ranks() if rank < request.rank]
        demands.append(
            _Demand(
                waiting=sum(len(self._ranks[rank]) for rank in urgent),
                share=sum(self._share(rank=rank) for rank in urgent),
                most=own_turns * (GRANTS_PER_LESS_URGENT_GRANT ** len(urgent) - 1),
            )
        )
        ahead = _grants_before(certain=own_ahead, demands=demands)
        less_urgent = sum(
            len(fair_queue)
            for rank, fair_queue in self._ranks.items()
            if rank > request.rank
        )
        return ahead + min(
            float(less_urgent), ahead / (GRANTS_PER_LESS_URGENT_GRANT - 1)
        )

    def _demands_in_rank(self, *, request: SlotRequest) -> tuple[float, list[_Demand]]:
        fair_queue = self._ranks.get(request.rank)
        if fair_queue is None:
            return 0.0, []
        entry = _entry(request=request, item=None)
        own_ahead = float(fair_queue.own_ahead(entry=entry))
        if not request.returning:
            kept = 1.0 - self._return_share(request=request)
            own_ahead = (own_ahead + 1.0) / kept - 1.0
        demands = [
            _Demand(
                waiting=each.waiting,
                share=self._share(rank=request.rank, account=each.account),
                most=each.entitled,
            )
            for each in fair_queue.competitors(entry=entry, own_ahead=own_ahead)
        ]
        return own_ahead, demands

    def _return_share(self, *, request: SlotRequest) -> float:
        """Part of the account's latest grants that went to returning requests."""
        returning, others = (
            self._recent_counts[
                _Grant(rank=request.rank, account=request.account, returning=each)
            ]
            for each in (True, False)
        )
        sample = max(returning + others, MIN_RETURN_SAMPLE)
        return min(returning / sample, MAX_RETURN_SHARE)

    def _active_ranks(self) -> list[int]:
        """Ranks with requests that wait or were granted lately."""
        recent = {grant.rank for grant in self._recent_counts}
        return [
            rank
            for rank, fair_queue in self._ranks.items()
            if fair_queue or rank in recent
        ]

    def _share(self, *, rank: int, account: AccountId | None = None) -> float:
        """Part of the latest grants that went to a rank, or to one account of it."""
        number = sum(
            number
            for grant, number in self._recent_counts.items()
            if grant.rank == rank and account in (None, grant.account)
        )
        return number / RECENT_GRANTS

    def _ranks_in_turn(self) -> list[int]:
        """Ranks with waiting requests, those first whose turn it is."""
        waiting = sorted(rank for rank, queue in self._ranks.items() if queue)
        yielding = []
        for rank in waiting[:-1]:
            if self._turns[rank] < GRANTS_PER_LESS_URGENT_GRANT - 1:
                break
            yielding.append(rank)
        return [*waiting[len(yielding) :], *yielding]

    def _count_grant(self, *, entry: Entry[T]) -> None:
        for rank in self._ranks:
            if rank < entry.rank:
                self._turns[rank] = 0
        if any(queue for rank, queue in self._ranks.items() if rank > entry.rank):
            self._turns[entry.rank] += 1
        if len(self._recent) == RECENT_GRANTS:
            self._forget_grant(grant=self._recent.popleft())
        # A grant after which no request waits takes nothing from others.
        if not self._entries:
            self._recent.append(None)
            return
        grant = _Grant(
            rank=entry.rank, account=entry.account, returning=entry.returning
        )
        self._recent.append(grant)
        self._recent_counts[grant] += 1

    def _forget_grant(self, *, grant: _Grant | None) -> None:
        if grant is None:
            return
        self._recent_counts[grant] -= 1
        if not self._recent_counts[grant]:
            del self._recent_counts[grant]

    def _forget(self, *, entry: Entry[T]) -> None:
        del self._entries[entry.item]
        self._backlogs[entry.account] -= 1
        if not self._backlogs[entry.account]:
            del self._backlogs[entry.account]

    def _evict(self) -> T:
        """Take out the latest request of the account with the largest backlog.

        Among equal accounts, the least urgent and latest request goes.
        """
        largest = max(self._backlogs.values())
        candidates = (
            fair_queue.latest(account=account, rank=rank)
            for account, backlog in self._backlogs.items()
            if backlog == largest
            for rank, fair_queue in self._ranks.items()
        )
        latest = max(
            (entry for entry in candidates if entry is not None),
            key=lambda entry: (entry.rank, entry.order),
        )
        self.remove(item=latest.item)
        return latest.item


def _entry(*, request: SlotRequest, item: T) -> Entry[T]:
    return Entry(
        account=request.account,
        share=EQUAL_SHARE,
        rank=request.rank,
        cost=COST,
        deadline=request.deadline,
        item=item,
        returning=request.returning,
    )


def _grants_before(*, certain: float, demands: list[_Demand]) -> float:
    """Return the number of grants before a request, itself not counted.

    It is the solution of `n = certain + sum(min(most, waiting + share * n))`. The
    right side is concave and linear in pieces, so Newton's method, started above the
    solution, descends to it in a few steps.

    Args:
        certain: Requests that surely go first.
        demands: Requests of others.
    """
    number = certain + sum(each.most for each in demands)
    while True:
        fixed, slope = certain, 0.0
        for each in demands:
            if each.waiting + each.share * number < each.most:
                fixed += each.waiting
                slope += each.share
            else:
                fixed += each.most
        lower = fixed / (1.0 - slope) if slope < 1.0 else number
        if lower >= number - 1e-6:
            return number
        number = lower
