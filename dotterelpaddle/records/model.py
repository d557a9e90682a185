"""Internal form of the records, independent of schema versions.

Routing code sees only these data classes. The modules beside this one turn a
record of any known schema version into its internal form.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.ids import (
        AccountId,
        AdapterId,
        EndpointId,
        FailureDomain,
        ModelId,
        PoolId,
        ServiceName,
        VersionId,
    )


class RecordKind(Enum):
    """Kinds of record."""

    ACCOUNT = "account"
    ROUTE = "route"
    POOL = "pool"
    ENDPOINT = "endpoint"
    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"
    PRIORITY = "priority"
    LIMIT = "limit"


class PoolKind(Enum):
    """What the endpoints of a pool are."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointIntent(Enum):
    """What an operator wants of an endpoint."""

    SERVE = "serve"
    DRAIN = "drain"


class EndpointRole(Enum):
    """Which part of the work an engine does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Its name.
        token_salt: Salt of the token digests, in hexadecimal.
        token_digests: Salted SHA-256 digests of the accepted bearer tokens.
        share: Weight in fair queueing.
        priority: Name of a priority record, empty for the default.
        limit: Name of a limit record, empty for none.
    """

    name: AccountId
    token_salt: str
    token_digests: tuple[str, ...]
    share: float = 1.0
    priority: str = ""
    limit: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A way from a client account's service to a pool.

    Attributes:
        account: The client account that may use it.
        service: Name the caller uses: the chat request's model name, or the
            first path segment of a plain-service call.
        pool: Where requests go.
        model: Model asked of the engine, empty for plain services.
        adapter: Adapter asked of the engine, empty for none.
        version: Version of the model's weights, empty for any.
        idempotent: Whether a request may run more than once.
        timeout: Seconds after which a caller gets no answer any more.
    """

    account: AccountId
    service: ServiceName
    pool: PoolId
    model: ModelId
    adapter: AdapterId
    version: VersionId
    idempotent: bool = True
    timeout: float = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Pool:
    """A set of endpoints that serve the same work.

    Attributes:
        name: Its name.
        kind: What its endpoints are.
        load_multiple: No endpoint carries more than this multiple of the
            pool's mean load.
        min_serving: Orders never leave fewer endpoints serving.
        max_in_flight: Requests that one endpoint of weight 1 takes at a time.
        queue_length: Requests that may wait for the pool at its owner.
        slow_start: Seconds over which a joining endpoint's share grows.
    """

    name: PoolId
    kind: PoolKind
    load_multiple: float = 1.25
    min_serving: int = 1
    max_in_flight: int = 64
    queue_length: int = 256
    slow_start: float = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A model engine or a plain service process.

    Attributes:
        name: Its name.
        pool: The pool it belongs to.
        address: Where it listens for HTTP.
        failure_domain: Where it runs.
        weight: Capacity relative to the pool's other endpoints.
        intent: Whether it serves or drains.
        checks_fencing: Whether it refuses orders with an old fencing number.
        model: Model it should serve, empty to leave it as it is.
        adapters: Adapters it should have loaded.
        version: Version of the weights it should serve, empty for any.
        role: Part of the work it should do.
    """

    name: EndpointId
    pool: PoolId
    address: Address
    failure_domain: FailureDomain
    weight: float = 1.0
    intent: EndpointIntent = EndpointIntent.SERVE
    checks_fencing: bool = False
    model: ModelId
    adapters: tuple[AdapterId, ...] = ()
    version: VersionId
    role: EndpointRole = EndpointRole.MIXED


@dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """A model.

    Attributes:
        name: Its name.
        prefill_rate: Prompt tokens an engine processes a second without cache.
        context_length: Longest prompt and answer together, in tokens.
        cache_bytes_per_token: Size of the KV cache of one token.
    """

    name: ModelId
    prefill_rate: float = 8000.0
    context_length: int = 32768
    cache_bytes_per_token: int = 65536


@dataclass(frozen=True, kw_only=True, slots=True)
class Adapter:
    """An adapter of a model.

    Attributes:
        name: Its name.
        model: The model it changes.
        weight_bytes: Size in the weight store.
    """

    name: AdapterId
    model: ModelId
    weight_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Version:
    """A version of a model's weights.

    Attributes:
        name: Its name.
        model: The model.
        weight_bytes: Size in the weight store.
    """

    name: VersionId
    model: ModelId
    weight_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Priority:
    """A priority that client accounts can have.

    Attributes:
        name: Its name.
        rank: Lower ranks are served first.
    """

    name: str
    rank: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Limit:
    """Bounds on what a client account may use.

    Attributes:
        name: Its name.
        max_in_flight: Requests at a time over the whole fleet, 0 for no bound.
        requests_per_second: Mean rate, 0 for no bound.
    """

    name: str
    max_in_flight: int = 0
    requests_per_second: float = 0.0


type_of_kind = {
    RecordKind.ACCOUNT: Account,
    RecordKind.ROUTE: Route,
    RecordKind.POOL: Pool,
    RecordKind.ENDPOINT: Endpoint,
    RecordKind.MODEL: Model,
    RecordKind.ADAPTER: Adapter,
    RecordKind.VERSION: Version,
    RecordKind.PRIORITY: Priority,
    RecordKind.LIMIT: Limit,
}

InternalRecord = (
    Account | Route | Pool | Endpoint | Model | Adapter | Version | Priority | Limit
)
