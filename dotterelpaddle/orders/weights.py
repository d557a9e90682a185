"""Paces orders by the weight store's reservations."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import WeightStore
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.orders.planner import Move


class TransferSchedule:
    """When engines may fetch weights.

    Args:
        weights: The platform's weight store.
        clock: Source of time.
        keep: Seconds for which a turn that has come stays valid.
    """

    def __init__(self, *, weights: WeightStore, clock: Clock, keep: float) -> None:
        self._weights = weights
        self._clock = clock
        self._keep = keep
        self._turns: dict[str, float] = {}

    async def may_start(self, *, move: Move) -> bool:
        """Tell whether a move's transfer may start now; book it if need be.

        Raises:
            PlatformError: If the weight store can't be asked.
        """
        if move.transfer == 0:
            return True
        name = _name(move=move)
        self._forget()
        if name not in self._turns:
            start_in = await self._weights.reserve(name=name, size=move.transfer)
            self._turns[name] = self._clock() + start_in
        return self._turns[name] <= self._clock()

    def started(self, *, move: Move) -> None:
        """Give a turn up, because its transfer has started."""
        self._turns.pop(_name(move=move), None)

    def _forget(self) -> None:
        limit = self._clock() - self._keep
        self._turns = {name: at for name, at in self._turns.items() if at > limit}


def _name(*, move: Move) -> str:
    target = move.target
    adapters = "+".join(target.missing(state=move.state))
    return f"{move.endpoint.name}/{target.model}/{target.version}/{adapters}"
