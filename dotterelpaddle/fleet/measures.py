"""What is measured on a fleet while load runs."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.entry.affinity import affinity_key
from dotterelpaddle.fleet.metrics_reader import read_counter
from dotterelpaddle.ids import AdapterId, VersionId
from dotterelpaddle.records.model import Route

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.fleet.conversations import Chat
    from dotterelpaddle.fleet.fleet import Fleet
    from dotterelpaddle.ids import RouterId

SAMPLE_INTERVAL = 0.01
"""Seconds between two samples of the engines' load."""

LEAST_MEAN = 3.0
"""Least mean load of a sample that counts; under it the ratio says nothing."""

CONTROL_COUNTER = "dotterelpaddle_control_sent_bytes_total"

KEY_DIGITS = 16


class CacheWatch:
    """Asks the engine stand-ins which caches exist.

    Args:
        fleet: The fleet.
    """

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet

    def existing_tokens(self, *, chat: Chat) -> int:
        """Return the longest cache of a chat over all running engines."""
        key = self._cache_key(chat=chat)
        return max(
            (engine.cache.peek(key=key) for engine in self._fleet.engines.values()),
            default=0,
        )

    def _cache_key(self, *, chat: Chat) -> str:
        pool = self._fleet.shape.engine_pool
        route = Route(
            account=chat.account.name,
            service=pool.service,
            pool=pool.name,
            model=pool.model,
            adapter=AdapterId(""),
            version=VersionId(""),
        )
        key = affinity_key(route=route, chat_id=chat.name, messages=())
        return f"{key:0{KEY_DIGITS}x}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Skew:
    """How unevenly the engines were loaded.

    Attributes:
        mean: Mean over the samples of the largest load over the mean load.
        p99: Its 99th percentile.
        samples: Number of samples that count.
    """

    mean: float
    p99: float
    samples: int


class SkewSampler:
    """Samples the load of the engines that take work.

    Args:
        fleet: The fleet.
        least_mean: Least mean load of a sample that counts.
    """

    def __init__(self, *, fleet: Fleet, least_mean: float = LEAST_MEAN) -> None:
        self._fleet = fleet
        self._least_mean = least_mean
        self._ratios: list[float] = []

    def result(self) -> Skew:
        """Sum the samples up."""
        if not self._ratios:
            return Skew(mean=0.0, p99=0.0, samples=0)
        ordered = sorted(self._ratios)
        return Skew(
            mean=sum(ordered) / len(ordered),
            p99=quantile(ordered=ordered, share=0.99),
            samples=len(ordered),
        )

    async def watch(self) -> None:
        """Sample until cancelled."""
        while True:
            self._sample()
            await anyio.sleep(SAMPLE_INTERVAL)

    def _sample(self) -> None:
        loads = [
            engine.batch.running + engine.batch.waiting
            for name, engine in self._fleet.engines.items()
            if name not in self._fleet.leaving and not engine.loading
        ]
        if not loads:
            return
        mean = sum(loads) / len(loads)
        if mean >= self._least_mean:
            self._ratios.append(max(loads) / mean)


class ControlMeter:
    """Measures the control traffic that each router sends.

    Args:
        fleet: The fleet.
    """

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._first: dict[RouterId, float] = {}
        self._started_at = 0.0

    async def start(self) -> None:
        """Begin to measure."""
        self._started_at = time.monotonic()
        self._first = await self._read()

    async def bytes_per_second(self) -> dict[RouterId, float]:
        """Return the mean rate of each router that has run all the time."""
        seconds = max(time.monotonic() - self._started_at, 1e-9)
        return {
            router: (now - self._first[router]) / seconds
            for router, now in (await self._read()).items()
            if now >= self._first.get(router, now + 1.0)
        }

    async def _read(self) -> dict[RouterId, float]:
        return {
            name: await read_counter(
                operator=running.operator_address, name=CONTROL_COUNTER
            )
            for name, running in self._fleet.running.items()
        }


@asynccontextmanager
async def sample_skew(
    *, fleet: Fleet, least_mean: float = LEAST_MEAN
) -> AsyncIterator[SkewSampler]:
    """Sample the load of a fleet's engines until the context ends.

    Yields:
        The sampler.
    """
    sampler = SkewSampler(fleet=fleet, least_mean=least_mean)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sampler.watch)
        yield sampler
        tasks.cancel_scope.cancel()


def quantile(*, ordered: list[float], share: float) -> float:
    """Return the value below which a share of sorted values lies, 0 for none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
