"""What is asked of model engines, and what they tell."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from dotterelpaddle.exceptions import EndpointError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.endpoint.patience import KeepWaiting, Patience
    from dotterelpaddle.ids import (
        AdapterId,
        AffinityKey,
        LeaseEpoch,
        ModelId,
        RequestId,
        VersionId,
    )
    from dotterelpaddle.records.model import EndpointRole


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatCall:
    """One attempt at a chat request.

    Attributes:
        request_id: Name of the request.
        content: Fields of the caller's body, with the engine's model in place.
        affinity: The chat's key, None where nothing is cached.
        time_left: Seconds until the caller's deadline.
        resume_at: Offset of the first token that is wanted.
        patience: Deadlines on progress.
        fresh: Whether only a new connection may carry it.
        keep_waiting: Asked when a deadline on progress passes.
    """

    request_id: RequestId
    content: Mapping[str, Any]
    affinity: AffinityKey | None
    time_left: float
    resume_at: int = 0
    patience: Patience
    fresh: bool = False
    keep_waiting: KeepWaiting | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """An engine's load report, which lags.

    Attributes:
        running: Requests in the batch.
        waiting: Requests that wait in the engine.
        tokens_in_flight: Tokens of these requests.
        cache_tokens: Tokens in the prefix cache.
        cache_capacity: Tokens that the prefix cache holds at most.
        draining: Whether the engine takes no new work.
    """

    running: int = 0
    waiting: int = 0
    tokens_in_flight: int = 0
    cache_tokens: int = 0
    cache_capacity: int = 0
    draining: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache.

    Attributes:
        sequence: Its number at the engine; missing numbers are lost events.
        stored: Whether the key was stored; evicted otherwise.
        key: The chat's key.
        tokens: Length of the cached prefix.
    """

    sequence: int
    stored: bool
    key: AffinityKey
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEventPage:
    """Cache events after a sequence number.

    Attributes:
        events: The events that the engine still has.
        last: Newest sequence number at the engine.
    """

    events: tuple[CacheEvent, ...]
    last: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineState:
    """What an engine serves.

    Attributes:
        model: Its model.
        version: Version of the weights.
        adapters: Loaded adapters.
        role: Part of the work it does.
        fencing: Fencing number of the newest order it took.
        draining: Whether it takes no new work.
        loading: Whether it takes no work until it has loaded something.
    """

    model: ModelId
    version: VersionId
    adapters: tuple[AdapterId, ...]
    role: str
    fencing: int
    draining: bool
    loading: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOrder:
    """An order to load something or to change role.

    Attributes:
        fencing: Epoch of the lease under which the order is given.
        model: Model to serve.
        version: Version of the weights.
        adapters: Adapters to have loaded.
        role: Part of the work to do.
    """

    fencing: LeaseEpoch
    model: ModelId
    version: VersionId
    adapters: tuple[AdapterId, ...]
    role: EndpointRole


class StaleFencing(EndpointError):
    """The engine has taken an order with a higher fencing number."""
