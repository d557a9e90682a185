"""Stand-in for a model engine with continuous batching and a prefix cache."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.clock import monotonic
from dotterelpaddle.http_server import SHUTDOWN_GRACE_SECONDS, serve
from dotterelpaddle.ids import RequestId
from dotterelpaddle.standins.answers import AnswerText, count_prompt_tokens
from dotterelpaddle.standins.batching import Batch, BatchLimits, Run
from dotterelpaddle.standins.connections import Connections
from dotterelpaddle.standins.engine_app import build_app
from dotterelpaddle.standins.engine_state import EngineState, OrderBody
from dotterelpaddle.standins.faults import Faults
from dotterelpaddle.standins.load_report import LaggingReport, LoadReport
from dotterelpaddle.standins.prefix_cache import CacheEvent, CacheEvents, PrefixCache
from dotterelpaddle.standins.run_counts import RunCounts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.standins.chat_wire import ChatBody, ChatHeaders

MILLISECONDS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineSettings:
    """How the engine stand-in behaves.

    Attributes:
        step: Seconds of one batching step at speed 1.
        limits: How much it does at a time.
        cache_capacity: Tokens that fit into its prefix cache.
        load_lag: Seconds between two renewals of its load report.
        event_lag: Seconds until a cache event shows.
        event_loss: Share of cache events that never show.
        checks_fencing: Whether it refuses orders with an old fencing number.
        load_time: Seconds it takes to load a model, version or adapter.
        state: What it has loaded at first.
        seed: Seed of its generators.
    """

    step: float = 0.004
    limits: BatchLimits = field(default_factory=BatchLimits)
    cache_capacity: int = 200_000
    load_lag: float = 1.0
    event_lag: float = 0.5
    event_loss: float = 0.0
    checks_fencing: bool = True
    load_time: float = 0.0
    state: EngineState = field(default_factory=EngineState)
    seed: int = 0


class EngineStandin:
    """State, switches and counters of a running engine stand-in.

    Args:
        name: Its name.
        settings: How it behaves.
        clock: Source of time.

    Attributes:
        name: Its name.
        address: Where it listens.
        speed: Steps are this much faster than the settings say.
        checks_fencing: Whether it refuses orders with an old fencing number.
        draining: Whether it refuses new requests.
        state: What it has loaded.
        target: What it is about to load, None for nothing.
        orders_obeyed: Orders that it carried out, in order.
        orders_refused: Orders that it refused.
        runs: How often it has run what.
        cached_tokens: Prompt tokens found in the prefix cache, over all runs.
        prompt_tokens: Prompt tokens over all runs.
        faults: Fault switches.
        connections: Open connections.
        events: Events of the prefix cache, with their lag and loss.
        cache: The prefix cache.
        batch: Running and waiting requests.
        report: The load report.
    """

    def __init__(
        self, *, name: str, settings: EngineSettings, clock: Clock = monotonic
    ) -> None:
        self.name = name
        self.address: Address
        self.speed = 1.0
        self.checks_fencing = settings.checks_fencing
        self.draining = False
        self.target: EngineState | None = None
        self.state = settings.state
        self.orders_obeyed: list[OrderBody] = []
        self.orders_refused: list[OrderBody] = []
        self.runs = RunCounts()
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self.faults = Faults(seed=settings.seed)
        self.connections = Connections()
        self.events = CacheEvents(
            lag=settings.event_lag, loss=settings.event_loss, seed=settings.seed
        )
        self.cache = PrefixCache(capacity=settings.cache_capacity, events=self.events)
        self.batch = Batch(limits=settings.limits, cache=self.cache)
        self.report = LaggingReport(measure=self._measure, lag=settings.load_lag)
        self._settings = settings
        self._clock = clock
        self._work = anyio.Event()
        self._ordered = anyio.Event()

    @property
    def loading(self) -> bool:
        """Whether it takes no requests because it is to load something."""
        return self.target is not None

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self.batch.idle

    async def run_steps(self) -> None:
        """Batch until cancelled."""
        wake_at = self._clock()
        while True:
            if self.batch.idle:
                await self._work.wait()
                wake_at = self._clock()
            self._work = anyio.Event()
            now = self._clock()
            # A step that ended late does not make the next ones shorter.
            wake_at = max(wake_at + self._settings.step / self.speed, now)
            await anyio.sleep(wake_at - now)
            for run in self.batch.step(now=self._clock()):
                self._count(run=run)

    def reason_to_refuse(self, *, body: ChatBody) -> str:
        """Tell why a request can't be taken, empty if it can."""
        if self.batch.full:
            return "overloaded"
        if self.draining:
            return "draining"
        if self.loading:
            return "loading"
        if not self.state.serves(model=body.model, adapter=body.adapter or ""):
            return "model_not_loaded"
        return ""

    def enqueue(self, *, body: ChatBody, headers: ChatHeaders) -> Run:
        """Queue a request."""
        answer = AnswerText.of(
            model=body.model,
            version=self.state.version,
            adapter=body.adapter or "",
            messages=body.messages,
        )
        run = Run(
            request_id=RequestId(headers.request_id),
            answer=answer,
            priority=body.priority,
            prompt_tokens=count_prompt_tokens(messages=body.messages),
            max_tokens=body.max_tokens,
            cache_key=headers.cache_key,
            deadline=self._clock() + headers.timeout_ms / MILLISECONDS,
            resume_offset=headers.resume_offset,
        )
        self.batch.add(run=run)
        self._work.set()
        return run

    def cache_events(self, *, after: int) -> tuple[CacheEvent, ...]:
        """Return the visible cache events after a sequence number."""
        return self.events.after(sequence=after, now=self._clock())

    def store(self, *, key: str, tokens: int) -> None:
        """Take a prefix into the cache."""
        self.cache.store(key=key, tokens=tokens, now=self._clock())

    def obey(self, *, order: OrderBody) -> bool:
        """Accept an order, unless its fencing number is refused.

        What takes no loading is done at once. Otherwise the engine takes no new
        requests, finishes those it has, and then loads.
        """
        if self.checks_fencing and order.fencing < self.state.fencing:
            self.orders_refused.append(order)
            return False
        self.orders_obeyed.append(order)
        target = self.state.after(order=order)
        if self._needs_time(target=target):
            self.state = replace(self.state, fencing=target.fencing)
            self._load(target=target)
        else:
            self._become(state=target)
        return True

    async def carry_out_orders(self) -> None:
        """Load what orders ask for until cancelled."""
        while True:
            while self.target is None:
                self._ordered = anyio.Event()
                await self._ordered.wait()
            target = self.target
            while not self.batch.idle:
                await anyio.sleep(self._settings.step)
            await anyio.sleep(self._settings.load_time)
            # A newer order makes the engine load anew.
            if self.target is target:
                self._become(state=replace(target, fencing=self.state.fencing))

    def _load(self, *, target: EngineState) -> None:
        current = self.target
        if current is None or replace(current, fencing=target.fencing) != target:
            self.target = target
            self._ordered.set()

    def _needs_time(self, *, target: EngineState) -> bool:
        if not self.state.model or not self.state.loads_for(other=target):
            return False
        return not self.batch.idle or self._settings.load_time > 0.0

    def _become(self, *, state: EngineState) -> None:
        # An engine that served any model keeps what it has cached.
        if self.state.model and self.state.fingerprint != state.fingerprint:
            self.cache.clear(now=self._clock())
        self.state = state
        self.target = None

    def _count(self, *, run: Run) -> None:
        self.cached_tokens += run.cached_tokens
        self.prompt_tokens += run.prompt_tokens
        if run.resume_offset:
            self.runs.add_resumed(request_id=run.request_id)
        else:
            self.runs.add(request_id=run.request_id)

    def _measure(self) -> LoadReport:
        return LoadReport(
            running=self.batch.running,
            waiting=self.batch.waiting,
            tokens_in_flight=self.batch.tokens_in_flight,
            cache_tokens=self.cache.used,
            cache_capacity=self.cache.capacity,
            # Whoever places requests need not know why it takes none.
            draining=self.draining or self.loading,
        )


@asynccontextmanager
async def run_engine(
    *,
    address: Address,
    name: str,
    step: float = 0.004,
    settings: EngineSettings | None = None,
    grace: float = SHUTDOWN_GRACE_SECONDS,
    clock: Clock = monotonic,
) -> AsyncIterator[EngineStandin]:
    """Run an engine stand-in until the context ends.

    Args:
        address: Where to listen; port 0 takes a free one.
        name: Its name.
        step: Seconds of one batching step.
        settings: How it behaves; replaces the step if given.
        grace: Seconds that open connections get at the end.
        clock: Source of time.

    Yields:
        Its state, with the address in use.
    """
    settings = settings or EngineSettings(step=step)
    standin = EngineStandin(name=name, settings=settings, clock=clock)
    protocol = standin.connections.protocol()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.run_steps)
        tasks.start_soon(standin.report.renew)
        tasks.start_soon(standin.carry_out_orders)
        async with serve(
            app=build_app(engine=standin),
            address=address,
            grace=grace,
            protocol=protocol,
        ) as bound:
            standin.address = bound
            yield standin
        tasks.cancel_scope.cancel()
