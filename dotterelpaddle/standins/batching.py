"""Continuous batching: all running requests progress in every step."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import TYPE_CHECKING

import anyio
from sortedcontainers import SortedKeyList

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.ids import RequestId
    from dotterelpaddle.standins.answers import AnswerText
    from dotterelpaddle.standins.prefix_cache import PrefixCache


class RunState(Enum):
    """Progress of a run."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


ENDED = frozenset({RunState.DONE, RunState.CANCELLED, RunState.EXPIRED})
"""States after which nothing more happens to a run."""


@dataclass(kw_only=True, eq=False)
class Run:
    """One request inside an engine.

    Attributes:
        request_id: The caller's name for it.
        answer: Text to generate.
        priority: Lower values run first.
        prompt_tokens: Length of the prompt.
        max_tokens: Length of the answer.
        cache_key: Key of its prefix, empty for none.
        deadline: When it need not start any more, seconds on the monotonic clock.
        resume_offset: Tokens that another run has generated before.
        generated: Tokens generated, those before the resume offset included.
        cached_tokens: Prompt tokens found in the prefix cache.
        prefill_left: Prompt tokens still to be processed.
        ran: Whether it has started.
        state: Its progress.
    """

    request_id: RequestId
    answer: AnswerText
    priority: int
    prompt_tokens: int
    max_tokens: int
    cache_key: str
    deadline: float
    resume_offset: int = 0
    generated: int = field(init=False)
    cached_tokens: int = 0
    prefill_left: int = 0
    ran: bool = False
    state: RunState = RunState.WAITING
    _progress: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.generated = self.resume_offset

    @property
    def ended(self) -> bool:
        """Whether nothing more will happen."""
        return self.state in ENDED

    async def progress(self) -> None:
        """Wait until the run has got further."""
        await self._progress.wait()

    async def until_ended(self) -> None:
        """Wait until nothing more will happen."""
        while not self.ended:
            await self.progress()

    def notify(self) -> None:
        """Wake those who wait for progress."""
        self._progress.set()
        self._progress = anyio.Event()


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchLimits:
    """How much an engine does at a time.

    Attributes:
        max_batch: Requests that run at a time.
        max_waiting: Requests that may wait.
        prefill_per_step: Uncached prompt tokens processed in one step, over all
            requests.
    """

    max_batch: int = 32
    max_waiting: int = 128
    prefill_per_step: int = 32


class Batch:
    """The running and waiting requests of an engine.

    Args:
        limits: How much it does at a time.
        cache: The engine's prefix cache.

    Attributes:
        max_load: Most requests that were running or waiting at a time.
        tokens_generated: Tokens generated, over all requests.
        cancellations: Requests that were cancelled before they ended.
    """

    def __init__(self, *, limits: BatchLimits, cache: PrefixCache) -> None:
        self._limits = limits
        self._cache = cache
        self._running: list[Run] = []
        self._waiting: SortedKeyList = SortedKeyList(key=_order)
        self._arrivals: Iterator[int] = count()
        self.max_load = 0
        self.tokens_generated = 0
        self.cancellations = 0

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self._running and not self._waiting

    @property
    def full(self) -> bool:
        """Whether another request would have to be refused."""
        room = self._limits.max_batch - len(self._running)
        return self.waiting >= self._limits.max_waiting + max(0, room)

    @property
    def tokens_in_flight(self) -> int:
        """Tokens that the running requests hold in memory."""
        return sum(run.prompt_tokens + run.generated for run in self._running)

    def add(self, *, run: Run) -> None:
        """Queue a request."""
        self._waiting.add((run.priority, next(self._arrivals), run))
        self.max_load = max(self.max_load, self.running + self.waiting)

    def step(self, *, now: float) -> tuple[Run, ...]:
        """Do one step.

        Returns:
            The requests that have started to run in this step.
        """
        started = self._admit(now=now)
        budget = self._limits.prefill_per_step
        for run in self._running:
            budget = self._advance(run=run, budget=budget, now=now)
        for run in self._running:
            run.notify()
        self._running = [run for run in self._running if not run.ended]
        return started

    def cancel(self, *, run: Run) -> None:
        """Stop a request that has not ended; its prefix stays in the cache."""
        if run.ended:
            return
        self.cancellations += 1
        self._remove(run=run)
        run.state = RunState.CANCELLED
        run.notify()

    def find(self, *, request_id: RequestId) -> tuple[Run, ...]:
        """Find the requests of a name that have not ended."""
        waiting = (entry[-1] for entry in self._waiting)
        candidates = (*self._running, *waiting)
        return tuple(run for run in candidates if run.request_id == request_id)

    def _admit(self, *, now: float) -> tuple[Run, ...]:
        started: list[Run] = []
        while self._waiting and len(self._running) < self._limits.max_batch:
            run = self._waiting.pop(0)[-1]
            if run.deadline <= now:
                run.state = RunState.EXPIRED
                run.notify()
                continue
            self._start(run=run)
            started.append(run)
        return tuple(started)

    def _start(self, *, run: Run) -> None:
        run.state = RunState.RUNNING
        run.ran = True
        run.cached_tokens = self._cache.hit(
            key=run.cache_key, prompt_tokens=run.prompt_tokens
        )
        # A resumed answer needs the context of its first part again.
        context = run.prompt_tokens + run.generated
        run.prefill_left = context - run.cached_tokens
        self._running.append(run)

    def _advance(self, *, run: Run, budget: int, now: float) -> int:
        if run.prefill_left > 0:
            processed = min(run.prefill_left, budget)
            run.prefill_left -= processed
            if run.prefill_left == 0 and processed:
                self._cache.store(key=run.cache_key, tokens=run.prompt_tokens, now=now)
            return budget - processed
        run.generated += 1
        self.tokens_generated += 1
        if run.generated >= run.max_tokens:
            self._finish(run=run, now=now)
        return budget

    def _finish(self, *, run: Run, now: float) -> None:
        run.state = RunState.DONE
        total = run.prompt_tokens + run.generated
        self._cache.store(key=run.cache_key, tokens=total, now=now)

    def _remove(self, *, run: Run) -> None:
        if run.state is RunState.RUNNING:
            self._running.remove(run)
            return
        entry = next(entry for entry in self._waiting if entry[-1] is run)
        self._waiting.remove(entry)


def _order(entry: tuple[int, int, Run]) -> tuple[int, int]:
    return entry[0], entry[1]
