"""How long an attempt waits for progress."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

KeepWaiting = Callable[[], Awaitable[bool]]
"""Is asked when a limit on progress passes; whether to wait for as long again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Patience:
    """Deadlines on progress of one attempt.

    Attributes:
        connect: Seconds until a connection stands.
        first_byte: Seconds from sending until the answer begins.
        gap: Seconds between two parts of an answer.
        slow_first_byte: The same as first_byte while the endpoint is slow for all
            rather than silent for one; no longer than that where it is 0.
    """

    connect: float = 1.0
    first_byte: float = 30.0
    gap: float = 5.0
    slow_first_byte: float = 0.0


CONTROL_PATIENCE = Patience(connect=0.5, first_byte=2.0, gap=2.0)
"""For load reports, cache events, orders and health checks."""
