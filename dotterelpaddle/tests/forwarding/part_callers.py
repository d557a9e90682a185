"""Callers of a fleet in which one part of a prompt crashes endpoints."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.tests.forwarding.crash_callers import (
    CALL_TIMEOUT_SECONDS,
    Callers,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.tests.forwarding.crash_world import CrashWorld

SYSTEM_PART = "5e"
DEADLY_PARTS = ("dead01", "dead02", "dead03")
SESSION_PARTS = tuple(f"5e55{number:02}" for number in range(12))

SUCCESS = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class FirstAttempt:
    """The first attempt of a sound request.

    Attributes:
        at: When it was sent.
        begun: Whether its answer began.
        calm: Whether its router had no recent fault.
    """

    at: float
    begun: bool
    calm: bool


@dataclass(kw_only=True)
class PartCallers:
    """Callers with and without a part in their prompts that crashes endpoints.

    Attributes:
        world: The fleet.
        session_parts: Shared parts of sound prompts, beside the common first one.
        first_attempts: First attempts of sound requests.
    """

    world: CrashWorld
    session_parts: Sequence[str] = SESSION_PARTS
    first_attempts: list[FirstAttempt] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.callers = Callers(world=self.world)
        self._dice = random.Random(self.world.seed)
        self._numbers = itertools.count(1)

    async def send_sound(
        self, *, rate: float, seconds: float, first: Sequence[str] = (SYSTEM_PART,)
    ) -> None:
        """Send sound requests at random intervals.

        Args:
            rate: Requests per second.
            seconds: How long.
            first: First parts of their prompts, one of which each has.
        """
        end_at = anyio.current_time() + seconds
        while anyio.current_time() < end_at:
            await anyio.sleep(self._dice.expovariate(rate))
            prompt = self._prompt(
                self._dice.choice(first), self._dice.choice(self.session_parts)
            )
            self.world.tasks.start_soon(self._send_one_sound, prompt)

    async def send_deadly(
        self, *parts: str, rate: float, seconds: float, clump: int = 1
    ) -> None:
        """Send requests that crash endpoints, no two alike.

        Args:
            parts: Shared parts of their prompts; `*` stands for that of any session.
            rate: Requests per second.
            seconds: How long.
            clump: Requests sent at a time.
        """
        end_at = anyio.current_time() + seconds
        while anyio.current_time() < end_at:
            await anyio.sleep(self._dice.expovariate(rate / clump))
            for _ in range(clump):
                shared = [
                    self._dice.choice(self.session_parts) if part == "*" else part
                    for part in parts
                ]
                self.world.tasks.start_soon(
                    self._send_one_deadly, self._prompt(*shared)
                )

    def share_begun(
        self, *, after: float = float("-inf"), before: float = float("inf")
    ) -> float:
        """Return the share of sound requests that began at the first attempt."""
        begun = [
            each.begun
            for each in self.first_attempts
            if after <= each.at < before and each.calm
        ]
        assert begun
        return sum(begun) / len(begun)

    def _prompt(self, *shared: str) -> str:
        own = f"{next(self._numbers):x}"
        return ",".join([*(f"{part}:500" for part in shared), f"{own}:100"])

    async def _send_one_sound(self, prompt: str) -> None:
        """Send a sound request, and retry it once if it failed."""
        sent_at = anyio.current_time()
        path = f"/stream/again/x{next(self._numbers)}"
        answer = await self.callers.call(path, prompt=prompt)
        self.first_attempts.append(
            FirstAttempt(
                at=sent_at, begun=answer.status == SUCCESS, calm=answer.at_calm_router
            )
        )
        if not answer.whole:
            await anyio.sleep(min(answer.retry_after or 0.0, CALL_TIMEOUT_SECONDS / 3))
            await self.callers.call(path, prompt=prompt)

    async def _send_one_deadly(self, prompt: str) -> None:
        """Send a request that crashes endpoints, and retry it once."""
        path = f"/stream/again/x{next(self._numbers)}"
        for _ in range(2):
            answer = await self.callers.call(path, prompt=prompt)
            await anyio.sleep(min(answer.retry_after or 0.0, CALL_TIMEOUT_SECONDS / 3))
