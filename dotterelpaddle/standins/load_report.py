"""Load reports of a stand-in, which lag behind."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """How busy an endpoint was at one time.

    Attributes:
        running: Requests that ran.
        waiting: Requests that waited.
        tokens_in_flight: Tokens held in memory by running requests.
        cache_tokens: Tokens in the prefix cache.
        cache_capacity: Tokens that fit into the prefix cache.
        draining: Whether it refuses new requests.
    """

    running: int
    waiting: int
    tokens_in_flight: int = 0
    cache_tokens: int = 0
    cache_capacity: int = 0
    draining: bool = False

    def content(self) -> dict[str, Any]:
        """Spell the report."""
        return asdict(self)


class LaggingReport:
    """A report that is renewed only once in a while.

    Args:
        measure: Makes a current report.
        lag: Seconds between two renewals, 0 for a report that is never old.
    """

    def __init__(self, *, measure: Callable[[], LoadReport], lag: float) -> None:
        self._measure = measure
        self._lag = lag
        self._report = measure()

    def read(self) -> LoadReport:
        """Return the report, which may be old."""
        return self._report if self._lag > 0.0 else self._measure()

    async def renew(self) -> None:
        """Renew the report until cancelled."""
        while self._lag > 0.0:
            await anyio.sleep(self._lag)
            self._report = self._measure()
