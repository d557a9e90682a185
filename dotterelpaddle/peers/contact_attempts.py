"""Limits how often a router reports to addresses that do not answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock

RETRY_SECONDS = 1.0
"""Time between reports to an address that does not answer, after the first two."""

FIRST_RETRY_SECONDS = 0.3
"""Time between the first two reports to an address that does not answer. Hosts that
start together do so within this time; a recipient may start after the first report."""


@dataclass(kw_only=True, slots=True)
class _Attempts:
    """Attempts to reach an address that has not answered.

    Attributes:
        sent_at: Time of the last attempt, seconds on the monotonic clock.
        backoff: Seconds between the last attempt and the next one.
    """

    sent_at: float = 0.0
    backoff: float = 0.0

    def record(self, *, at: float) -> None:
        """Record an attempt."""
        self.sent_at = at
        self.backoff = RETRY_SECONDS if self.backoff else FIRST_RETRY_SECONDS


class ContactAttempts:
    """Tracks the attempts to reach routers.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._attempts: dict[Address, _Attempts] = {}

    def take_due(self, *, addresses: Iterable[Address]) -> list[Address]:
        """Return the addresses for which an attempt is due, and record it."""
        due = [address for address in sorted(addresses) if self._is_due(address)]
        for address in due:
            self._attempts.setdefault(address, _Attempts()).record(at=self._clock())
        return due

    def forget(self, *, address: Address) -> None:
        """Forget the attempts to reach an address."""
        self._attempts.pop(address, None)

    def _is_due(self, address: Address) -> bool:
        attempt = self._attempts.get(address)
        return attempt is None or self._clock() - attempt.sent_at >= attempt.backoff
