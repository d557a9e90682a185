"""What the request pipeline asks of placement."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from dotterelpaddle.ids import (
        AccountId,
        AffinityKey,
        EndpointId,
        PermitId,
        RequestId,
        RouterId,
    )
    from dotterelpaddle.records.model import Endpoint, Pool


class PlacementReason(Enum):
    """Why an endpoint was chosen."""

    HOME = "home"
    REMEMBERED = "remembered"
    CACHED = "cached"
    MOVED_OVER_BOUND = "moved_over_bound"
    LEAST_LOADED = "least_loaded"
    HOME_LEAVING = "home_leaving"
    HOME_EJECTED = "home_ejected"
    WAITED = "waited"
    ROUND_ROBIN = "round_robin"


class PlacementPath(Enum):
    """Who decided."""

    OWNER = "owner"
    LOCAL_OWNER = "local_owner"
    FAST = "fast"
    FALLBACK = "fallback"


class AttemptResult(Enum):
    """How an attempt at an endpoint went, as placement needs to know it.

    REFUSED concerns one request; LEAVING is a refusal of all new work. With
    UNREACHABLE no connection could be made, so nothing was sent.
    """

    OK = "ok"
    REFUSED = "refused"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """A wish to send one request to one endpoint of a pool.

    Attributes:
        request_id: Name of the request.
        account: Client account, for fair queueing.
        share: The account's weight in fair queueing.
        rank: Priority rank; lower ranks are served first.
        max_in_flight: The account's bound over the fleet, 0 for none.
        pool: The pool.
        affinity: The chat's key, None where no cache matters.
        cost: Estimated load in thousandths of a mean request.
        prompt_tokens: Estimated length of the prompt.
        deadline: Seconds on the monotonic clock.
        excluded: Endpoints that were tried already.
        wait: Whether the request may queue.
    """

    request_id: RequestId
    account: AccountId
    share: float
    rank: int
    max_in_flight: int = 0
    pool: Pool
    affinity: AffinityKey | None
    cost: int
    prompt_tokens: int = 0
    deadline: float
    excluded: frozenset[EndpointId] = frozenset()
    wait: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Alternative:
    """An endpoint that was passed over.

    Attributes:
        endpoint: The endpoint.
        load: Its load when the decision was made.
        why: Why it was not taken.
    """

    endpoint: EndpointId
    load: float
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """An endpoint chosen for a request, with the reasons.

    Attributes:
        permit: Name of the permit at the shard's owner.
        endpoint: The chosen endpoint's record.
        reason: Why it was chosen.
        path: Who decided.
        decided_by: Router that decided.
        load: The endpoint's load as seen by the decision, this request excluded.
        mean_load: The pool's mean load as seen by the decision.
        waited: Seconds in the admission queue.
        alternatives: Endpoints passed over.
    """

    permit: PermitId
    endpoint: Endpoint
    reason: PlacementReason
    path: PlacementPath
    decided_by: RouterId
    load: float
    mean_load: float
    waited: float = 0.0
    alternatives: tuple[Alternative, ...] = ()


class Grant(Protocol):
    """A decision that is in force until its context ends."""

    @property
    def decision(self) -> Decision:
        """The decision."""

    def report(
        self, *, result: AttemptResult, latency: float = 0.0, cached_tokens: int = 0
    ) -> None:
        """Tell how the attempt went; without it the result is CANCELLED.

        Args:
            result: How it went.
            latency: Seconds to the first token or the whole short answer.
            cached_tokens: Prompt tokens that the engine found in its cache.
        """


class Placer(Protocol):
    """Chooses endpoints."""

    def grant(self, *, request: PlacementRequest) -> AbstractAsyncContextManager[Grant]:
        """Choose an endpoint and count the request there until the context ends.

        Raises:
            Overloaded: If no capacity is expected before the deadline.
            NoEndpoint: If the pool has no endpoint that takes work.
        """
