"""The last decisions, for explanation."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.ids import AccountId, AffinityKey, PoolId, RequestId
    from dotterelpaddle.placement.interface import Decision


@dataclass(frozen=True, kw_only=True, slots=True)
class PastDecision:
    """A decision that was made here.

    Attributes:
        at: When, seconds on the monotonic clock.
        request_id: The request.
        account: Whose it was.
        pool: The pool.
        affinity: The chat's key, None where no cache matters.
        decision: What was decided, and why.
    """

    at: float
    request_id: RequestId
    account: AccountId
    pool: PoolId
    affinity: AffinityKey | None
    decision: Decision


class History:
    """A bounded record of decisions.

    Args:
        length: Decisions kept.
    """

    def __init__(self, *, length: int) -> None:
        self._decisions: deque[PastDecision] = deque(maxlen=length)

    def add(self, *, past: PastDecision) -> None:
        """Keep a decision; the oldest goes."""
        self._decisions.append(past)

    def of_chat(self, *, affinity: AffinityKey) -> tuple[PastDecision, ...]:
        """Decisions for a chat, newest first."""
        return tuple(past for past in self._newest() if past.affinity == affinity)

    def of_request(self, *, request_id: RequestId) -> tuple[PastDecision, ...]:
        """Decisions for the attempts of a request, newest first."""
        return tuple(past for past in self._newest() if past.request_id == request_id)

    def _newest(self) -> Iterator[PastDecision]:
        return reversed(self._decisions)
