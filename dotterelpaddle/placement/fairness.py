"""Which accounts use more than their share, by what this router has in flight.

The balancer spreads each account's requests over all routers, so a router's own
part is a sample of the whole, smoothed over some seconds because it is small. A
part of each endpoint's capacity is kept from accounts far over their share: the
others then find room at once, without waiting for a request of the surging account
to end.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from dotterelpaddle.placement.bound import MEAN_COST

if TYPE_CHECKING:
    from dotterelpaddle.ids import AccountId

TOLERANCE = 1.5
"""Times its fair share that an account may use before it counts as over it."""

SLACK = MEAN_COST // 2
"""Load that any account may have more, because small samples say little."""

TIME_CONSTANT = 5.0
"""Seconds over which loads are smoothed."""

MIN_INTERVAL = 0.1
"""Seconds between two updates of the smoothed loads."""

NEGLIGIBLE = 1.0
"""Smoothed load under which an account is forgotten."""


class AccountShares:
    """The load in flight of each account."""

    def __init__(self) -> None:
        self._loads: Counter[AccountId] = Counter()
        self._shares: dict[AccountId, float] = {}
        self._smoothed: dict[AccountId, float] = {}
        self._updated_at = 0.0

    def load(self, *, account: AccountId) -> int:
        """Load of an account."""
        return self._loads[account]

    def begin(self, *, account: AccountId, share: float, cost: int) -> None:
        """Count a request."""
        self._shares[account] = share
        self._loads[account] += cost

    def end(self, *, account: AccountId, cost: int) -> None:
        """Stop counting a request."""
        self._loads[account] -= cost
        if self._loads[account] <= 0:
            del self._loads[account]

    def is_over(self, *, account: AccountId, now: float) -> bool:
        """Tell whether an account has been far over its share lately."""
        self._update(now=now)
        used = self._smoothed.get(account, 0.0)
        if used <= SLACK:
            return False
        shares = sum(self._shares[name] for name in self._smoothed)
        part = self._shares[account] / max(shares, 1e-6)
        fair = sum(self._smoothed.values()) * part
        return used > TOLERANCE * fair + SLACK

    def _update(self, *, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed < MIN_INTERVAL:
            return
        self._updated_at = now
        keep = math.exp(-elapsed / TIME_CONSTANT)
        for name in self._smoothed.keys() | self._loads.keys():
            before = self._smoothed.get(name, 0.0)
            smoothed = before * keep + self._loads.get(name, 0) * (1.0 - keep)
            self._smoothed[name] = smoothed
            if smoothed < NEGLIGIBLE and name not in self._loads:
                del self._smoothed[name]
                self._shares.pop(name, None)
