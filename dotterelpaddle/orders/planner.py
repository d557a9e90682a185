"""Decides which engines get an order next, without I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.orders.target import EngineTarget, WeightSizes, target_of
from dotterelpaddle.records.model import EndpointIntent

if TYPE_CHECKING:
    from dotterelpaddle.endpoint.engine import EngineState
    from dotterelpaddle.ids import LeaseEpoch
    from dotterelpaddle.records.model import Endpoint, Pool


class Obstacle(Enum):
    """Why an engine that differs from its record gets no order yet."""

    MIN_SERVING = "min_serving"
    OTHERS_FIRST = "others_first"
    NEW_HOLDER = "new_holder"
    NEWER_HOLDER = "newer_holder"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineView:
    """What is known of one engine.

    Attributes:
        endpoint: Its record.
        state: What it said last, None if it could not be asked.
        ordered: Target of an order that it has not followed yet, None for none.
    """

    endpoint: Endpoint
    state: EngineState | None
    ordered: EngineTarget | None = None

    @property
    def target(self) -> EngineTarget | None:
        """What its record asks for, None if nothing can be or is to be ordered."""
        if self.state is None or self.endpoint.intent is EndpointIntent.DRAIN:
            return None
        return target_of(endpoint=self.endpoint, state=self.state)

    @property
    def changing(self) -> bool:
        """Whether it is loading or about to load."""
        if self.state is None:
            return self.ordered is not None
        if self.state.loading:
            return True
        return self.ordered is not None and self.ordered.needs_load(state=self.state)

    @property
    def serving(self) -> bool:
        """Whether it takes requests."""
        state = self.state
        if state is None or self.changing or not state.model:
            return False
        return not state.draining and self.endpoint.intent is EndpointIntent.SERVE


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """Under which lease orders are given.

    Attributes:
        epoch: Its fencing number.
        settled: Whether orders of an earlier holder can't be under way any more.
    """

    epoch: LeaseEpoch
    settled: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """An order to be given.

    Attributes:
        endpoint: The engine's record.
        state: What the engine has now.
        target: What it shall have.
        transfer: Bytes to fetch from the weight store.
    """

    endpoint: Endpoint
    state: EngineState
    target: EngineTarget
    transfer: int

    @property
    def interrupts(self) -> bool:
        """Whether the engine serves less while it follows."""
        return self.target.needs_load(state=self.state)


@dataclass(frozen=True, kw_only=True, slots=True)
class Blocked:
    """An engine that differs from its record and gets no order yet.

    Attributes:
        endpoint: The engine's record.
        obstacle: Why.
    """

    endpoint: Endpoint
    obstacle: Obstacle


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """What to do about a pool now.

    Attributes:
        moves: Orders to give, most useful first.
        blocked: Engines that have to wait.
        serving: Engines that serve now.
    """

    moves: tuple[Move, ...]
    blocked: tuple[Blocked, ...]
    serving: int

    @property
    def finished(self) -> bool:
        """Whether every engine that could be asked is as its record says."""
        return not self.moves and not self.blocked


def plan_orders(
    *,
    pool: Pool,
    engines: tuple[EngineView, ...],
    sizes: WeightSizes,
    tenure: Tenure,
    max_share: float,
) -> Plan:
    """Choose the fewest orders that bring a pool nearer to its records.

    An engine gets one order for all that differs, and none where nothing does.
    Engines that serve nothing come first, as their change costs no capacity,
    then those with the least to fetch. Serving engines follow while enough
    others serve.

    Args:
        pool: The pool's record.
        engines: What is known of its engines.
        sizes: Sizes in the weight store.
        tenure: Under which lease orders are given.
        max_share: Share of the engines that change at a time.
    """
    budget = _Budget(pool=pool, engines=engines, max_share=max_share)
    moves: list[Move] = []
    blocked: list[Blocked] = []
    for engine, move in _wanted(engines=engines, sizes=sizes):
        obstacle = _obstacle(engine=engine, tenure=tenure)
        if obstacle is None and move.interrupts:
            obstacle = budget.take(engine=engine)
        if obstacle is None:
            moves.append(move)
        else:
            blocked.append(Blocked(endpoint=engine.endpoint, obstacle=obstacle))
    return Plan(moves=tuple(moves), blocked=tuple(blocked), serving=budget.serving)


class _Budget:
    """How many engines may stop serving for a while."""

    def __init__(
        self, *, pool: Pool, engines: tuple[EngineView, ...], max_share: float
    ) -> None:
        self.serving = sum(engine.serving for engine in engines)
        self._spare = self.serving - pool.min_serving
        changing = sum(engine.changing for engine in engines)
        self._slots = max(1, math.floor(len(engines) * max_share)) - changing

    def take(self, *, engine: EngineView) -> Obstacle | None:
        """Let an engine stop serving, or say why not."""
        if not engine.serving:
            return None
        if self._spare < 1:
            return Obstacle.MIN_SERVING
        if self._slots < 1:
            return Obstacle.OTHERS_FIRST
        self._spare -= 1
        self._slots -= 1
        return None


def _wanted(
    *, engines: tuple[EngineView, ...], sizes: WeightSizes
) -> list[tuple[EngineView, Move]]:
    wanted: list[tuple[EngineView, Move]] = []
    for engine in engines:
        state, target = engine.state, engine.target
        if state is None or target is None or target == engine.ordered:
            continue
        if target.met_by(state=state) and engine.ordered is None:
            continue
        transfer = sizes.transfer(state=state, target=target)
        move = Move(
            endpoint=engine.endpoint, state=state, target=target, transfer=transfer
        )
        wanted.append((engine, move))
    return sorted(wanted, key=_usefulness)


def _usefulness(entry: tuple[EngineView, Move]) -> tuple[bool, int, str]:
    engine, move = entry
    return engine.serving, move.transfer, engine.endpoint.name


def _obstacle(*, engine: EngineView, tenure: Tenure) -> Obstacle | None:
    if engine.state is not None and engine.state.fencing > tenure.epoch:
        return Obstacle.NEWER_HOLDER
    if not engine.endpoint.checks_fencing and not tenure.settled:
        return Obstacle.NEW_HOLDER
    return None
