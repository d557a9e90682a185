"""How long requests stay at endpoints, to foretell waiting times."""

from __future__ import annotations

KEEP = 0.95
"""Weight that an observation keeps with each later one."""


class Residence:
    """Smoothed time that a request is in flight."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._weight = 0.0

    def observe(self, *, seconds: float) -> None:
        """Count a request that has ended."""
        self._seconds = self._seconds * KEEP + seconds
        self._weight = self._weight * KEEP + 1.0

    def time_for(self, *, excess: float, load: float) -> float | None:
        """Seconds until some load has left, None if nothing is known.

        By Little's law load leaves at the rate of the load in flight over the
        time that it stays.

        Args:
            excess: The load that has to leave.
            load: The load in flight at the same place.
        """
        if excess <= 0.0:
            return 0.0
        if self._weight <= 0.0 or load <= 0.0:
            return None
        mean = self._seconds / self._weight
        return excess * mean / load
