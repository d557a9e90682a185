"""Sizes of the plain answers of each route, as far as they have been seen.

A request reserves room for its answer before it is sent to an endpoint: once it runs, a
refusal would not be true any more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import ForwardRoute

WEIGHT = 0.125
"""Weight of the latest answer in the estimate."""


class AnswerSize:
    """Estimates the size of the next plain answer of one route, bytes."""

    def __init__(self) -> None:
        self._bytes = 0.0

    @property
    def expected(self) -> int:
        """Mean of the answers so far, the latest of which count most."""
        return round(self._bytes)

    def record(self, *, size: int) -> None:
        """Record how many bytes of an answer have come."""
        self._bytes += WEIGHT * (size - self._bytes)


class AnswerSizes:
    """The estimates of all routes."""

    def __init__(self) -> None:
        self._sizes: dict[tuple[str, str], AnswerSize] = {}

    def of(self, *, route: ForwardRoute) -> AnswerSize:
        """Return the estimate of a route."""
        return self._sizes.setdefault((route.host, route.prefix), AnswerSize())
