"""Requests that wait until an owner has room for them at a brittle endpoint."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.forwarding.choice import Choice, LocalChoiceReason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.ids import EndpointId, ServiceName

MAX_WAITING_REQUESTS = 8
"""Requests of a router that wait for one service; the others are refused at once."""

ASK_INTERVAL_SECONDS = 0.1
"""Seconds after which a router asks again, unless one of its own requests ends."""


class RoomQueue:
    """Lets the requests of this router ask again for a place, in their order.

    Args:
        loads: Requests of this router in flight.
    """

    def __init__(self, *, loads: LoadTracker) -> None:
        self._turns: dict[ServiceName, anyio.Lock] = defaultdict(anyio.Lock)
        self._waiting: Counter[ServiceName] = Counter()
        self._request_ended = anyio.Event()
        loads.on_change(self._on_load_change)

    def is_empty(self, *, service: ServiceName) -> bool:
        """Return whether no request waits for a service."""
        return not self._waiting[service]

    async def ask_in_turn(
        self,
        *,
        service: ServiceName,
        ask: Callable[[], Awaitable[Choice | LocalChoiceReason]],
        max_wait: float,
    ) -> Choice | LocalChoiceReason:
        """Ask owners until one grants a place or none can be asked.

        Args:
            service: The service.
            ask: Asks the owners once.
            max_wait: Longest wait in seconds.

        Returns:
            The choice, or why no owner has decided.
        """
        answer: Choice | LocalChoiceReason = LocalChoiceReason.NOTHING_GRANTED
        if self._waiting[service] >= MAX_WAITING_REQUESTS:
            return answer
        self._waiting[service] += 1
        try:
            with anyio.move_on_after(max_wait):
                async with self._turns[service]:
                    while answer is LocalChoiceReason.NOTHING_GRANTED:
                        with anyio.move_on_after(ASK_INTERVAL_SECONDS):
                            await self._request_ended.wait()
                        answer = await ask()
        finally:
            self._waiting[service] -= 1
        return answer

    def _on_load_change(self, _: EndpointId, count: int) -> None:
        if count < 0:
            self._request_ended.set()
            self._request_ended = anyio.Event()
