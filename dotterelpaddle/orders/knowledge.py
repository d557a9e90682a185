"""What the holder of a pool's lease knows of the pool's engines, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.orders.planner import EngineView

if TYPE_CHECKING:
    from dotterelpaddle.endpoint.engine import EngineState
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.orders.settings import OrderSettings
    from dotterelpaddle.orders.target import EngineTarget
    from dotterelpaddle.records.model import Endpoint

NEVER = float("-inf")


class Progress(Enum):
    """What a look at an engine says about its order."""

    NONE = "none"
    UNDER_WAY = "under_way"
    FOLLOWED = "followed"
    NOT_FOLLOWED = "not_followed"


@dataclass(frozen=True, kw_only=True, slots=True)
class _Order:
    """An order that has been sent.

    Attributes:
        target: What it asks for.
        expires_at: When to give it again if it has not been followed.
    """

    target: EngineTarget
    expires_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Known:
    """What is known of one engine.

    Attributes:
        state: What it said last, None if it could not be asked.
        read_at: When it was asked last.
        order: The order under way, None for none.
    """

    state: EngineState | None = None
    read_at: float = NEVER
    order: _Order | None = None


class Knowledge:
    """States of engines and orders under way, for one tenure of a lease.

    Args:
        settings: Times and bounds of orders.
    """

    def __init__(self, *, settings: OrderSettings) -> None:
        self._settings = settings
        self._engines: dict[EndpointId, _Known] = {}

    def due(
        self, *, endpoints: tuple[Endpoint, ...], now: float, limit: int
    ) -> tuple[Endpoint, ...]:
        """Choose engines to ask: those never asked, those under way, the rest.

        Args:
            endpoints: The pool's endpoints.
            now: Seconds on the monotonic clock.
            limit: How many to choose at most.
        """
        waiting = [
            endpoint
            for endpoint in endpoints
            if now - self._known(endpoint).read_at >= self._period(endpoint)
        ]
        waiting.sort(key=self._urgency)
        return tuple(waiting[:limit])

    def learn(
        self, *, endpoint: Endpoint, state: EngineState | None, now: float
    ) -> Progress:
        """Take in what an engine said, None if it could not be asked."""
        known = self._known(endpoint)
        progress = _progress(order=known.order, state=state, now=now)
        order = known.order if progress is Progress.UNDER_WAY else None
        self._engines[endpoint.name] = _Known(state=state, read_at=now, order=order)
        return progress

    def ordered(self, *, endpoint: Endpoint, target: EngineTarget, now: float) -> None:
        """Note an order that is about to be sent and may get lost."""
        order = _Order(target=target, expires_at=now + self._settings.order_timeout)
        known = self._known(endpoint)
        self._engines[endpoint.name] = replace(known, order=order)

    def accepted(self, *, endpoint: Endpoint, now: float) -> None:
        """Note that an engine has accepted its order."""
        known = self._known(endpoint)
        if known.order is not None:
            expires_at = now + self._settings.follow_timeout
            order = replace(known.order, expires_at=expires_at)
            self._engines[endpoint.name] = replace(known, order=order)

    def not_sent(self, *, endpoint: Endpoint) -> None:
        """Note that an order never left this router."""
        known = self._known(endpoint)
        self._engines[endpoint.name] = replace(known, order=None)

    def out_of_reach(self, *, endpoints: tuple[Endpoint, ...]) -> bool:
        """Tell whether most engines gave no answer when they were asked last."""
        asked = [
            known for known in map(self._known, endpoints) if known.read_at > NEVER
        ]
        silent = sum(known.state is None for known in asked)
        return silent * 2 > len(asked)

    def views(self, *, endpoints: tuple[Endpoint, ...]) -> tuple[EngineView, ...]:
        """Return what is known, for the planner."""
        return tuple(self._view(endpoint=endpoint) for endpoint in endpoints)

    def _view(self, *, endpoint: Endpoint) -> EngineView:
        known = self._known(endpoint)
        return EngineView(
            endpoint=endpoint,
            state=known.state,
            ordered=None if known.order is None else known.order.target,
        )

    def _known(self, endpoint: Endpoint) -> _Known:
        return self._engines.get(endpoint.name, _Known())

    def _period(self, endpoint: Endpoint) -> float:
        if self._view(endpoint=endpoint).changing:
            return self._settings.busy_period
        return self._settings.idle_period

    def _urgency(self, endpoint: Endpoint) -> tuple[bool, bool, float]:
        known = self._known(endpoint)
        return known.read_at > NEVER, known.order is None, known.read_at


def _progress(
    *, order: _Order | None, state: EngineState | None, now: float
) -> Progress:
    if order is None:
        return Progress.NONE
    if state is not None and not state.loading and order.target.met_by(state=state):
        return Progress.FOLLOWED
    if now >= order.expires_at and not (state is not None and state.loading):
        return Progress.NOT_FOLLOWED
    return Progress.UNDER_WAY
