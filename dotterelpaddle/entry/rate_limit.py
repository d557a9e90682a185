"""Keeps client accounts to the mean rate of their limit records.

The balancer spreads callers over all routers, so each router grants its share
of the rate. A bucket that holds some seconds of that share evens out what the
balancer does not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import Overloaded
from dotterelpaddle.membership.view import MemberState

if TYPE_CHECKING:
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import AccountId
    from dotterelpaddle.membership.view import View
    from dotterelpaddle.pipeline import Exchange, Next

BURST_SECONDS = 2.0
"""Seconds of an account's share that may come at once."""

MIN_BURST = 5.0
"""Requests that may come at once however small the share is."""


class Bucket:
    """A token bucket whose rate may change.

    Args:
        now: Current time, seconds on the monotonic clock.
    """

    def __init__(self, *, now: float) -> None:
        self._tokens = MIN_BURST
        self._filled_at = now

    def take(self, *, rate: float, now: float) -> float:
        """Take a token.

        Args:
            rate: Tokens a second.
            now: Current time, seconds on the monotonic clock.

        Returns:
            0, or the seconds until there is a token again.
        """
        burst = max(MIN_BURST, rate * BURST_SECONDS)
        self._tokens = min(burst, self._tokens + rate * (now - self._filled_at))
        self._filled_at = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / rate
        self._tokens -= 1.0
        return 0.0


class KeepRate:
    """Refuses requests over their client account's rate.

    Args:
        catalog: The records in force.
        view: The member list, None for a router on its own.
        clock: Source of time.
    """

    def __init__(self, *, catalog: Catalog, view: View | None, clock: Clock) -> None:
        self._catalog = catalog
        self._view = view
        self._clock = clock
        self._buckets: dict[AccountId, Bucket] = {}

    async def __call__(self, exchange: Exchange, rest: Next) -> None:
        """Go on if the account's rate allows it.

        Raises:
            Overloaded: If it does not.
        """
        assert exchange.account is not None
        account = exchange.account
        limit = self._catalog.limit(name=account.limit) if account.limit else None
        if limit is not None and limit.requests_per_second > 0.0:
            self._check(account=account.name, rate=limit.requests_per_second)
        await rest(exchange)

    def _check(self, *, account: AccountId, rate: float) -> None:
        now = self._clock()
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = Bucket(now=now)
        wait = bucket.take(rate=rate / self._routers(), now=now)
        if wait > 0.0:
            raise Overloaded(
                f"client account '{account}' is over its limit of {rate:g} "
                "requests a second",
                retry_after=wait,
            )

    def _routers(self) -> int:
        if self._view is None:
            return 1
        alive = (each.state is MemberState.ALIVE for each in self._view.members())
        return max(1, sum(alive))
