"""What a shard's decider is asked and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.ids import AccountId, AffinityKey, EndpointId, RouterId
    from dotterelpaddle.placement.interface import Alternative, PlacementReason
    from dotterelpaddle.records.model import Endpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class Wish:
    """A router's wish to send a request to a shard.

    Attributes:
        router: The router.
        number: Its number for this wish, never used twice.
        account: Client account, for fair queueing.
        share: The account's weight.
        rank: Priority rank; lower ranks are served first.
        max_in_flight: The account's bound at its router in mean requests, 0 for
            none.
        surging: Whether the account is far over its share.
        affinity: The chat's key, None where no cache matters.
        cost: Load in thousandths of a mean request.
        prompt_tokens: Estimated length of the prompt.
        deadline: Seconds on this router's clock.
        excluded: Endpoints that were tried already.
        wait: Whether the request may queue.
        hint: Where the asking router believes the chat to live, away from home.
    """

    router: RouterId
    number: int
    account: AccountId
    share: float = 1.0
    rank: int = 0
    max_in_flight: int = 0
    surging: bool = False
    affinity: AffinityKey | None = None
    cost: int = 1000
    prompt_tokens: int = 0
    deadline: float
    excluded: frozenset[EndpointId] = frozenset()
    wait: bool = True
    hint: EndpointId | None = None


class RefusalCause(Enum):
    """Why a wish is refused."""

    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """A wish that was granted.

    Attributes:
        wish: The wish.
        endpoint: Where the request goes.
        reason: Why there.
        load: The endpoint's load before this request, thousandths.
        mean: The shard's mean load with this request, thousandths.
        waited: Seconds in the queue.
        alternatives: Endpoints passed over.
    """

    wish: Wish
    endpoint: Endpoint
    reason: PlacementReason
    load: int
    mean: float
    waited: float = 0.0
    alternatives: tuple[Alternative, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """A wish that waits.

    Attributes:
        wish: The wish.
        expected: Seconds that it will probably wait.
    """

    wish: Wish
    expected: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A wish that was refused.

    Attributes:
        wish: The wish.
        cause: Why.
        retry_after: Seconds after which another try makes sense.
    """

    wish: Wish
    cause: RefusalCause
    retry_after: float


Verdict = Granted | Queued | Refused
