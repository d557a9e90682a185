"""Load reports and cache events of engines, polled by their owners."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import anyio

from dotterelpaddle.endpoint.caller import EndpointCaller
from dotterelpaddle.endpoint.engine import EngineClient
from dotterelpaddle.exceptions import EndpointError
from dotterelpaddle.logs import get_logger
from dotterelpaddle.placement.policies import LeastReportedPolicy
from dotterelpaddle.records.model import PoolKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.endpoint.engine import CacheEventPage, EngineLoad
    from dotterelpaddle.ids import AffinityKey, EndpointId
    from dotterelpaddle.links import Links
    from dotterelpaddle.placement.directory import Directory
    from dotterelpaddle.placement.settings import PlacementSettings
    from dotterelpaddle.placement.shard_state import ShardState
    from dotterelpaddle.records.model import Endpoint

log = get_logger(name=__name__)

PROBE_TIMEOUT = 1.0
"""Seconds after which a probe counts as lost."""

EVENTS_TURN = 4
"""Every so many probes, one asks for cache events instead of load."""


class Engines(Protocol):
    """What placement asks of engines and services; `EngineClient` fits."""

    async def load(self, *, endpoint: Endpoint) -> EngineLoad:
        """Read a load report."""

    async def cache_events(self, *, endpoint: Endpoint, after: int) -> CacheEventPage:
        """Read cache events after a sequence number."""

    async def export_cache(
        self, *, endpoint: Endpoint, key: AffinityKey
    ) -> bytes | None:
        """Read the KV cache of a chat, None if the engine has it no more."""

    async def import_cache(
        self, *, endpoint: Endpoint, key: AffinityKey, content: bytes
    ) -> None:
        """Give an engine the KV cache of a chat."""


def open_engines(*, links: Links, clock: Clock) -> Engines:
    """Make a client of engines with connections of its own."""
    return EngineClient(caller=EndpointCaller(links=links, clock=clock))


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSeen:
    """What a load report said.

    Attributes:
        endpoint: The endpoint.
        requests: Requests that run or wait there.
        draining: Whether it takes no new work.
    """

    endpoint: EndpointId
    requests: float
    draining: bool


class Prober:
    """Probes the owned endpoints in turn, at a steady pace.

    Args:
        engines: The client of endpoints.
        directory: The shards.
        settings: Settings of placement.
        clock: Monotonic clock.
        on_load: Is told of each load report.
    """

    def __init__(
        self,
        *,
        engines: Engines,
        directory: Directory,
        settings: PlacementSettings,
        clock: Clock,
        on_load: Callable[[ShardState, LoadSeen], None],
    ) -> None:
        self._engines = engines
        self._directory = directory
        self._settings = settings
        self._clock = clock
        self._on_load = on_load
        self._turn = 0
        self._load_position = 0
        self._events_position = 0
        self._last_events: dict[EndpointId, int] = {}
        self._read: set[EndpointId] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._settings.probe_interval)
                self._turn += 1
                unread = self._unread()
                events = self._turn % EVENTS_TURN == 0 or unread is not None
                target = unread or self._next_target(events=events)
                if target is not None:
                    probe = self._probe_events if events else self._probe_load
                    tasks.start_soon(probe, *target)

    def _unread(self) -> tuple[ShardState, Endpoint] | None:
        """An owned engine whose events were never read here, None without."""
        for state in self._directory.owned:
            if state.decider.chooser.pool.kind is not PoolKind.ENGINE:
                continue
            for name in state.owned - self._read:
                self._read.add(name)
                endpoint = state.decider.chooser.endpoint(name=name)
                if endpoint is not None:
                    return state, endpoint
        return None

    def _next_target(self, *, events: bool) -> tuple[ShardState, Endpoint] | None:
        targets = [
            (state, endpoint)
            for state in self._probed()
            for endpoint in state.decider.chooser.endpoints
            if self._is_mine(state=state, endpoint=endpoint)
            if not events or state.decider.chooser.pool.kind is PoolKind.ENGINE
        ]
        if not targets:
            return None
        if events:
            self._events_position += 1
            return targets[self._events_position % len(targets)]
        self._load_position += 1
        return targets[self._load_position % len(targets)]

    def _probed(self) -> Iterable[ShardState]:
        if isinstance(self._settings.policy, LeastReportedPolicy):
            return self._directory
        return self._directory.owned

    def _is_mine(self, *, state: ShardState, endpoint: Endpoint) -> bool:
        if isinstance(self._settings.policy, LeastReportedPolicy):
            return True
        return endpoint.name in state.owned

    async def _probe_load(self, state: ShardState, endpoint: Endpoint) -> None:
        try:
            with anyio.move_on_after(PROBE_TIMEOUT):
                report = await self._engines.load(endpoint=endpoint)
                seen = LoadSeen(
                    endpoint=endpoint.name,
                    requests=float(report.running + report.waiting),
                    draining=report.draining,
                )
                self._on_load(state, seen)
        except EndpointError as error:
            log.debug("placement_probe", endpoint=endpoint.name, error=str(error))

    async def _probe_events(self, state: ShardState, endpoint: Endpoint) -> None:
        after = self._last_events.get(endpoint.name, 0)
        try:
            with anyio.move_on_after(PROBE_TIMEOUT):
                page = await self._engines.cache_events(endpoint=endpoint, after=after)
                self._take_events(state=state, endpoint=endpoint, page=page)
        except EndpointError as error:
            log.debug("placement_probe", endpoint=endpoint.name, error=str(error))

    def _take_events(
        self, *, state: ShardState, endpoint: Endpoint, page: CacheEventPage
    ) -> None:
        name = endpoint.name
        last = self._last_events.get(name, 0)
        if page.last < last:
            # The engine has started anew: what was known of its cache is gone.
            state.cache.forget(endpoint=name)
            last = 0
        for event in sorted(page.events, key=lambda event: event.sequence):
            if event.sequence <= last:
                continue
            if event.sequence != last + 1:
                state.cache.gap(endpoint=name)
            last = event.sequence
            if event.stored:
                state.cache.stored(
                    endpoint=name,
                    key=event.key,
                    tokens=event.tokens,
                    now=self._clock(),
                )
            else:
                state.cache.evicted(endpoint=name, key=event.key)
        self._last_events[name] = last
