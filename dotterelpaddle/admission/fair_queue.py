"""Weighted fair queueing across client accounts.

Accounts of a lower rank are served first. Among accounts of one rank, start-time
fair queueing shares the service by weight. Within one account the earliest
deadline goes first. The queue is bounded; when it is full, the account with the
largest backlog for its weight loses its latest request, so that a surge of one
account never pushes out another's requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count, islice
from math import inf
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from sortedcontainers import SortedKeyList

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from dotterelpaddle.ids import AccountId

T = TypeVar("T")

MIN_SHARE = 1e-6
"""Smallest weight, so that no division fails."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry(Generic[T]):
    """A queued request.

    Attributes:
        account: Whose it is.
        share: The account's weight.
        rank: Priority rank; lower ranks are served first.
        cost: Its load, in a unit that the user of the queue chooses.
        deadline: When it is of no use any more, seconds.
        item: What is queued.
        returning: Whether it goes before the account's requests that do not return.
    """

    account: AccountId
    share: float
    rank: int
    cost: int
    deadline: float
    item: T
    returning: bool = False

    @property
    def order(self) -> tuple[bool, float]:
        """Sort key among the requests of one account and rank."""
        return (not self.returning, self.deadline)


@dataclass(frozen=True, kw_only=True, slots=True)
class Competitor:
    """Another account of the same rank as a new request.

    Attributes:
        account: Which one.
        waiting: Cost of its queued requests.
        entitled: Cost at most that may be served before the new request, by its
            share.
    """

    account: AccountId
    waiting: int
    entitled: float


class _Flow(Generic[T]):
    """The queued requests of one account and rank."""

    def __init__(self, *, rank: int, account: AccountId) -> None:
        self.rank = rank
        self.account = account
        self.start = 0.0
        self.arrival = 0
        self.backlog = 0
        self.share = 1.0
        self.entries: SortedKeyList = SortedKeyList(key=lambda entry: entry.order)

    @property
    def order(self) -> tuple[int, float, int]:
        """Sort key among flows."""
        return (self.rank, self.start, self.arrival)

    @property
    def excess(self) -> float:
        """Backlog relative to the weight."""
        return self.backlog / self.share


class FairQueue(Generic[T]):
    """A bounded queue, fair between accounts.

    Args:
        limit: Most requests that may wait.
        ties_by_arrival: Whether the account that has waited longest goes first
            among accounts that have had equal service, instead of the one that
            has been known longest.
        max_credit: Service, relative to its weight, that an account catches up on
            after its requests could not be admitted for a time.
        depth: Requests of an account that may be tried for one place, in order.

    Attributes:
        limit: As above; lowering it refuses nothing that waits already.
    """

    def __init__(
        self,
        *,
        limit: int,
        ties_by_arrival: bool = False,
        max_credit: float = inf,
        depth: int = 1,
    ) -> None:
        self.limit = limit
        self._depth = depth
        self._max_credit = max_credit
        self._arrivals = count(1) if ties_by_arrival else None
        self._length = 0
        self._virtual = 0.0
        self._flows: dict[tuple[int, AccountId], _Flow[T]] = {}

    @property
    def backlog(self) -> int:
        """Cost of all queued requests."""
        return sum(flow.backlog for flow in self._flows.values())

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Entry[T]]:
        for flow in self._flows.values():
            yield from flow.entries

    def push(self, *, entry: Entry[T]) -> Entry[T] | None:
        """Queue a request.

        Returns:
            The request that must be refused because the queue is full, which
            may be the new one, or None.
        """
        flow = self._flow_of(entry=entry)
        if not flow.entries:
            flow.start = max(flow.start, self._virtual)
            flow.arrival = next(self._arrivals) if self._arrivals is not None else 0
        flow.share = max(entry.share, MIN_SHARE)
        flow.entries.add(entry)
        flow.backlog += entry.cost
        self._length += 1
        return self._evict() if self._length > self.limit else None

    def pop(self, *, admit: Callable[[Entry[T]], bool]) -> Entry[T] | None:
        """Take the next request whose admission succeeds.

        Args:
            admit: Tells whether a request can be served now. It is asked about
                the first requests of each account in order of service, and has taken
                the request when it returns True.
        """
        waiting = [flow for flow in self._flows.values() if flow.entries]
        if self._max_credit < inf:
            for flow in waiting:
                flow.start = max(flow.start, self._virtual - self._max_credit)
        for flow in sorted(waiting, key=lambda flow: flow.order):
            first: list[Entry[T]] = list(islice(flow.entries, self._depth))
            for entry in first:
                if admit(entry):
                    self._serve(flow=flow, entry=entry)
                    return entry
        return None

    def remove(self, *, entry: Entry[T]) -> bool:
        """Take a request out unserved; tell whether it was there."""
        flow = self._flows.get((entry.rank, entry.account))
        if flow is None or entry not in flow.entries:
            return False
        self._drop(flow=flow, entry=entry)
        return True

    def expire(self, *, now: float) -> list[Entry[T]]:
        """Take out all requests whose deadline has passed."""
        expired = []
        for flow in self._flows.values():
            for first in ((False, -inf), (True, -inf)):
                while (entry := _entry_from(flow=flow, order=first)) is not None:
                    if entry.deadline > now:
                        break
                    expired.append(entry)
                    self._drop(flow=flow, entry=entry)
        return expired

    def latest(self, *, account: AccountId, rank: int) -> Entry[T] | None:
        """The request of an account and rank that would be served last, if any."""
        flow = self._flows.get((rank, account))
        return flow.entries[-1] if flow is not None and flow.entries else None

    def own_ahead(self, *, entry: Entry[Any]) -> int:
        """Cost of the account's requests that go before one that isn't queued."""
        flow = self._flows.get((entry.rank, entry.account))
        if flow is None:
            return 0
        index = flow.entries.bisect_key_right(entry.order)
        return sum(each.cost for each in flow.entries.islice(0, index))

    def competitors(self, *, entry: Entry[Any], own_ahead: float) -> list[Competitor]:
        """Return the other accounts of the rank of a request that isn't queued.

        Args:
            entry: The request.
            own_ahead: Cost of the account's own requests that go before it.
        """
        own = self._flows.get((entry.rank, entry.account))
        start = self._virtual if own is None else self._start_of(flow=own)
        start += own_ahead / max(entry.share, MIN_SHARE)
        arrival = own.arrival if own is not None and own.entries else inf
        return [
            self._competitor(flow=flow, start=start, arrival=arrival)
            for flow in self._flows.values()
            if flow is not own and flow.rank == entry.rank
        ]

    def _competitor(
        self, *, flow: _Flow[T], start: float, arrival: float
    ) -> Competitor:
        entitled = (start - self._start_of(flow=flow)) * flow.share
        if flow.entries and entitled >= 0.0 and flow.arrival < arrival:
            entitled += flow.entries[0].cost
        return Competitor(
            account=flow.account, waiting=flow.backlog, entitled=max(entitled, 0.0)
        )

    def _start_of(self, *, flow: _Flow[T]) -> float:
        """Virtual time at which the flow's next request starts."""
        return flow.start if flow.entries else max(flow.start, self._virtual)

    def cost_ahead(self, *, account: AccountId, share: float, rank: int) -> float:
        """Estimate the cost served before a new request of an account.

        Each other account of the same rank is served in proportion to its
        weight while this account's backlog is served, and all of a lower rank
        goes first.
        """
        own = self._flows.get((rank, account))
        own_backlog = own.backlog if own is not None else 0
        rounds = own_backlog / max(share, MIN_SHARE)
        ahead = float(own_backlog)
        for flow in self._flows.values():
            if flow is own or flow.rank > rank:
                continue
            fair = rounds * flow.share if flow.rank == rank else flow.backlog
            ahead += min(flow.backlog, fair)
        return ahead

    def _flow_of(self, *, entry: Entry[T]) -> _Flow[T]:
        key = (entry.rank, entry.account)
        flow = self._flows.get(key)
        if flow is None:
            self._prune()
            flow = _Flow(rank=entry.rank, account=entry.account)
            self._flows[key] = flow
        return flow

    def _prune(self) -> None:
        """Forget idle accounts that have no service to make up for."""
        idle = [
            key
            for key, flow in self._flows.items()
            if not flow.entries and flow.start <= self._virtual
        ]
        for key in idle:
            del self._flows[key]

    def _serve(self, *, flow: _Flow[T], entry: Entry[T]) -> None:
        self._virtual = max(self._virtual, flow.start)
        flow.start += entry.cost / flow.share
        self._drop(flow=flow, entry=entry)

    def _drop(self, *, flow: _Flow[T], entry: Entry[T]) -> None:
        flow.entries.remove(entry)
        flow.backlog -= entry.cost
        self._length -= 1

    def _evict(self) -> Entry[T]:
        flow = max(self._flows.values(), key=lambda flow: flow.excess)
        entry: Entry[T] = flow.entries[-1]
        self._drop(flow=flow, entry=entry)
        return entry


def _entry_from(*, flow: _Flow[T], order: tuple[bool, float]) -> Entry[T] | None:
    """Return a flow's first request from a place in its order on, if any."""
    index = flow.entries.bisect_key_left(order)
    if index == len(flow.entries) or flow.entries[index].returning is order[0]:
        return None
    return flow.entries[index]
