"""The load tool: returning chats of several client accounts, all checked."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.fleet.calls import Caller
from dotterelpaddle.fleet.conversations import Chat, ConversationSizes
from dotterelpaddle.fleet.turns import CallKind

if TYPE_CHECKING:
    from dotterelpaddle.fleet.balancer import Entries
    from dotterelpaddle.fleet.client import Client
    from dotterelpaddle.fleet.measures import CacheWatch
    from dotterelpaddle.fleet.shape import AccountShape, Shape
    from dotterelpaddle.fleet.turns import Turn


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadPlan:
    """What the load tool sends; the same plan always makes the same calls.

    Attributes:
        requests: Number of calls.
        rate: Calls a second over all client accounts, on average.
        chats: Chats of each client account per unit of its share.
        popularity: Exponent of the Zipf distribution by which chats return.
        stream_share: Share of the chat turns that ask for a stream.
        service_share: Share of the calls that go to plain services.
        keyed_share: Share of these that may run at most once.
        attempts: How often a caller sends a call that was not run.
        timeout: Seconds that a caller waits.
        max_in_flight: Calls in flight at a time; later ones are held back.
        sizes: How long conversations are.
        seed: Seed of all generators.
    """

    requests: int = 300
    rate: float = 100.0
    chats: int = 8
    popularity: float = 0.6
    stream_share: float = 0.5
    service_share: float = 0.1
    keyed_share: float = 0.5
    attempts: int = 3
    timeout: float = 15.0
    max_in_flight: int = 512
    sizes: ConversationSizes = field(default_factory=ConversationSizes)
    seed: int = 0


@dataclass(kw_only=True)
class _Source:
    """The arrivals of one client account."""

    account: AccountShape
    chats: list[Chat]
    weights: list[float]
    rate: float
    generator: random.Random
    factor: float = 1.0

    def gap(self) -> float:
        """Draw the seconds to the next call."""
        return self.generator.expovariate(self.rate * self.factor)

    def chat(self) -> Chat:
        """Draw the chat that returns."""
        return self.generator.choices(self.chats, cum_weights=self.weights)[0]


class LoadRun:
    """One run of the load tool.

    Args:
        plan: What to send.
        shape: The deployment, with its client accounts.
        entries: Where to send.
        client: Sends calls and reads answers.
        caches: Tells which caches exist, None if unknown.
    """

    def __init__(
        self,
        *,
        plan: LoadPlan,
        shape: Shape,
        entries: Entries,
        client: Client,
        caches: CacheWatch | None = None,
    ) -> None:
        self._plan = plan
        self._shape = shape
        self._sources = _sources(plan=plan, shape=shape)
        self._generator = random.Random(f"{plan.seed}/calls")
        self._caller = Caller(
            shape=shape,
            entries=entries,
            client=client,
            caches=caches,
            attempts=plan.attempts,
            timeout=plan.timeout,
            seed=plan.seed,
        )
        self._turns: list[Turn] = []
        self._started = 0
        self._stopping = False
        self._started_at = 0.0
        self._seconds = 0.0

    @property
    def plan(self) -> LoadPlan:
        """What is sent."""
        return self._plan

    @property
    def turns(self) -> list[Turn]:
        """All calls that have ended."""
        return self._turns

    @property
    def started(self) -> int:
        """Calls sent so far."""
        return self._started

    @property
    def in_flight(self) -> int:
        """Calls that have not ended."""
        return self._started - len(self._turns)

    @property
    def seconds(self) -> float:
        """How long the run took or has taken so far."""
        if self._seconds or not self._started_at:
            return self._seconds
        return time.monotonic() - self._started_at

    def surge(self, *, account: str, factor: float) -> None:
        """Multiply the rate of a client account; 1 ends the surge."""
        source = next(each for each in self._sources if each.account.name == account)
        source.factor = factor

    def stop(self) -> None:
        """Send no further calls."""
        self._stopping = True

    async def run(self) -> None:
        """Send all calls and wait for their ends."""
        self._started_at = time.monotonic()
        limiter = anyio.Semaphore(self._plan.max_in_flight)
        async with anyio.create_task_group() as tasks:
            arrivals = _Arrivals(sources=self._sources, start=self._started_at)
            while self._started < self._plan.requests and not self._stopping:
                at, source = arrivals.next()
                await anyio.sleep(max(0.0, at - time.monotonic()))
                await limiter.acquire()
                tasks.start_soon(partial(self._send, source=source, limiter=limiter))
                self._started += 1
        self._seconds = time.monotonic() - self._started_at

    async def _send(self, *, source: _Source, limiter: anyio.Semaphore) -> None:
        try:
            self._turns.append(await self._turn(source=source))
        finally:
            limiter.release()

    async def _turn(self, *, source: _Source) -> Turn:
        kind = self._kind()
        match kind:
            case CallKind.CHAT | CallKind.STREAM:
                chat = source.chat()
                async with chat.lock:
                    stream = kind is CallKind.STREAM
                    return await self._caller.chat(chat=chat, stream=stream)
            case CallKind.SERVICE | CallKind.KEYED:
                keyed = kind is CallKind.KEYED
                return await self._caller.service(account=source.account, keyed=keyed)

    def _kind(self) -> CallKind:
        draw = self._generator.random
        if draw() < self._plan.service_share:
            keyed = draw() < self._plan.keyed_share
            return CallKind.KEYED if keyed else CallKind.SERVICE
        return CallKind.STREAM if draw() < self._plan.stream_share else CallKind.CHAT


class _Arrivals:
    """The calls of all client accounts in order of time."""

    def __init__(self, *, sources: tuple[_Source, ...], start: float) -> None:
        self._ties = itertools.count()
        self._heap = [
            (start + source.gap(), next(self._ties), source) for source in sources
        ]
        heapq.heapify(self._heap)

    def next(self) -> tuple[float, _Source]:
        """Return the next call's time and its client account."""
        at, _, source = heapq.heappop(self._heap)
        heapq.heappush(self._heap, (at + source.gap(), next(self._ties), source))
        return at, source


def _sources(*, plan: LoadPlan, shape: Shape) -> tuple[_Source, ...]:
    whole = sum(account.share for account in shape.accounts)
    return tuple(
        _source(plan=plan, account=account, rate=plan.rate * account.share / whole)
        for account in shape.accounts
    )


def _source(*, plan: LoadPlan, account: AccountShape, rate: float) -> _Source:
    count = max(1, round(plan.chats * account.share))
    chats = [
        Chat(account=account, index=index, sizes=plan.sizes) for index in range(count)
    ]
    weights = [1.0 / (index + 1) ** plan.popularity for index in range(count)]
    return _Source(
        account=account,
        chats=chats,
        weights=list(itertools.accumulate(weights)),
        rate=rate,
        generator=random.Random(f"{plan.seed}/{account.name}"),
    )
