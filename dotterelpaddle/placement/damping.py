"""Damping of endpoints that flap between up and down.

Each change of state adds a penalty that decays with a half-life, as in BGP route
flap damping (RFC 2439). An endpoint over the suppress threshold gets no new work
until its penalty has fallen below the reuse threshold.
"""

from __future__ import annotations

PENALTY = 1.0
"""Penalty of one change of state."""

HALF_LIFE = 10.0
"""Seconds in which a penalty halves."""

SUPPRESS = 3.5
"""Penalty above which an endpoint is suppressed."""

REUSE = 1.5
"""Penalty below which it is used again."""

CEILING = 8.0
"""Highest penalty, so that no endpoint is suppressed for minutes."""


class Damper:
    """The flap history of one endpoint.

    Args:
        now: Seconds on the monotonic clock.
    """

    def __init__(self, *, now: float) -> None:
        self._penalty = 0.0
        self._at = now
        self._suppressed = False

    def change(self, *, now: float) -> None:
        """Count a change of state."""
        self._decay(now=now)
        self._penalty = min(self._penalty + PENALTY, CEILING)
        if self._penalty >= SUPPRESS:
            self._suppressed = True

    def suppressed(self, *, now: float) -> bool:
        """Tell whether the endpoint is to be left alone."""
        self._decay(now=now)
        if self._penalty < REUSE:
            self._suppressed = False
        return self._suppressed

    def _decay(self, *, now: float) -> None:
        elapsed = max(now - self._at, 0.0)
        self._penalty *= 0.5 ** (elapsed / HALF_LIFE)
        self._at = now
