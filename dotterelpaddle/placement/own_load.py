"""What this router itself has in flight on a shard."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.placement.fairness import AccountShares
from dotterelpaddle.placement.loads import Refresh

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.ids import AccountId, EndpointId


@dataclass(kw_only=True, slots=True)
class ResultCount:
    """Results of attempts at an endpoint.

    Attributes:
        succeeded: Attempts that went well.
        failed: Attempts that failed.
        seconds: Latencies of those that went well, summed up.
    """

    succeeded: int = 0
    failed: int = 0
    seconds: float = 0.0


class OwnLoad:
    """The router's own load, its open permit requests and results.

    Attributes:
        accounts: The load by account.
    """

    def __init__(self) -> None:
        self._loads: Counter[EndpointId] = Counter()
        self.accounts = AccountShares()
        self._results: dict[EndpointId, ResultCount] = {}
        self._changed: dict[EndpointId, int] = {}
        self._begun: dict[EndpointId, int] = {}
        self._ended: dict[EndpointId, int] = {}
        self._open: set[int] = set()
        self._last = 0
        self._sequence = 0
        self._version = 0

    @property
    def version(self) -> int:
        """Grows with each change of the loads."""
        return self._version

    def load(self, *, endpoint: EndpointId) -> int:
        """Load on an endpoint."""
        return self._loads[endpoint]

    def changed_since(self, *, version: int, endpoints: Iterable[EndpointId]) -> bool:
        """Tell whether the load on some endpoints has changed since a version."""
        return any(self._changed.get(name, 0) > version for name in endpoints)

    def begun_since(self, *, version: int, endpoints: Iterable[EndpointId]) -> bool:
        """Tell whether requests have begun there that their owner doesn't know."""
        return any(self._begun.get(name, 0) > version for name in endpoints)

    def ended_since(self, *, version: int, endpoints: Iterable[EndpointId]) -> bool:
        """Tell whether requests have ended there since a version."""
        return any(self._ended.get(name, 0) > version for name in endpoints)

    def open_request(self) -> int:
        """Number a new wish, which counts as open until it is closed."""
        self._last += 1
        self._open.add(self._last)
        return self._last

    def close_request(self, *, number: int) -> None:
        """Note that a wish has its outcome, or was given up."""
        self._open.discard(number)

    def begin(
        self,
        *,
        endpoint: EndpointId,
        account: AccountId | None,
        share: float = 1.0,
        cost: int,
        permitted: bool,
    ) -> None:
        """Count a request that is on its way to an endpoint.

        Args:
            endpoint: The endpoint.
            account: Its account, None to count it for none.
            share: The account's weight.
            cost: Its load.
            permitted: Whether the endpoint's owner has counted it already.
        """
        self._version += 1
        self._changed[endpoint] = self._version
        if not permitted:
            self._begun[endpoint] = self._version
        self._loads[endpoint] += cost
        if account is not None:
            self.accounts.begin(account=account, share=share, cost=cost)

    def end(
        self, *, endpoint: EndpointId, account: AccountId | None, cost: int
    ) -> None:
        """Stop counting a request."""
        self._version += 1
        self._changed[endpoint] = self._version
        self._ended[endpoint] = self._version
        self._loads[endpoint] -= cost
        if self._loads[endpoint] <= 0:
            del self._loads[endpoint]
        if account is not None:
            self.accounts.end(account=account, cost=cost)

    def count_result(
        self, *, endpoint: EndpointId, succeeded: bool, latency: float
    ) -> None:
        """Count the result of an attempt."""
        result = self._results.setdefault(endpoint, ResultCount())
        if succeeded:
            result.succeeded += 1
            result.seconds += latency
        else:
            result.failed += 1

    def take_results(
        self, *, endpoints: Iterable[EndpointId]
    ) -> dict[EndpointId, ResultCount]:
        """Results at some endpoints since the last call."""
        return {
            name: self._results.pop(name) for name in endpoints if name in self._results
        }

    def refresh(self) -> Refresh:
        """The present state, for whoever counts this router."""
        self._sequence += 1
        return Refresh(
            sequence=self._sequence,
            last_request=self._last,
            open_requests=frozenset(self._open),
            loads=dict(self._loads),
        )
