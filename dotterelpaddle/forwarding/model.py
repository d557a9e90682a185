"""Data model of a fleet: its configuration and the entries of its endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.ids import (
    EndpointId,
    EndpointName,
    Incarnation,
    SoftwareVersion,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import (
        AccountId,
        FailureDomain,
        ModelId,
        Region,
        ServiceName,
    )

UNKNOWN_INCARNATION = Incarnation(0)
"""Incarnation of an endpoint that does not report its start time."""

INCARNATION_SEPARATOR = "@"
"""Separates the name and the incarnation in an endpoint id."""


class RequestKind(Enum):
    """Kind of a route's requests, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class EndpointState(Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """One of the services among which a route's requests are split.

    Attributes:
        service: Name of the service.
        weight: Its share of the requests, relative to the weights of the others.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRoute:
    """Target and options of the requests with one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host header that the route matches, in lower case.
        prefix: Path prefix that the route matches, with a slash at both ends.
        kind: Kind of its requests.
        services: The services among which its requests are split.
        timeout: Seconds until a caller gets a final answer, an error included.
        latency_objective: Seconds to the answer, or to a stream's first event, that
            callers expect.
        max_attempts: Maximum number of endpoints to which one request is sent.
        priority: Priority, 0 is the highest.
        public: Whether callers need no key.
        resumable: Whether another endpoint can continue a stream.
        gap_objective: Maximum seconds between two events of a stream that
            callers expect, 0 if the route states none.
        regions: Regions in which its requests may run; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout: float
    latency_objective: float
    max_attempts: int
    priority: int = 5
    public: bool = False
    resumable: bool = False
    gap_objective: float = 0.0
    regions: frozenset[Region] = frozenset()

    @property
    def retryable(self) -> bool:
        """Whether a request may be retried after an endpoint may have run it."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        max_header_bytes: Maximum size of a request's head.
        max_body_bytes: Maximum size of a request's body.
        header_timeout: Seconds within which a caller must send a head.
        idle_timeout: Seconds that a connection may stay open without a request.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientAccount:
    """The fields of a client account that forwarding uses.

    Attributes:
        name: Name of the account, which the router passes to endpoints.
        priority: Priority that overrides the route's; None for the route's.
        regions: Regions in which its requests may run; empty for all.
    """

    name: AccountId
    priority: int | None = None
    regions: frozenset[Region] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class SlowStart:
    """Slow-start options of a service.

    Attributes:
        duration: Seconds for which an endpoint is cold after its start.
        rate: Requests per second that a cold endpoint can handle.
    """

    duration: float
    rate: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetConfiguration:
    """One version of the whole configuration.

    Attributes:
        version: Version number, which increases with each accepted change.
        routes: All routes.
        limits: Limits on callers.
        accounts_by_key: Client accounts by key, None if callers need no keys.
        slow_starts: Slow-start options of the services that have any.
        max_connections: Connections that an endpoint accepts from all routers, of the
            services that state it.
        document: The encoded configuration, which routers pass on unchanged.
        engine_tokens: Tokens for which one engine has memory, of the services that
            state it.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    limits: CallerLimits
    accounts_by_key: Mapping[str, ClientAccount] | None
    slow_starts: Mapping[ServiceName, SlowStart] = field(default_factory=dict)
    max_connections: Mapping[ServiceName, int] = field(default_factory=dict)
    document: bytes = b""
    engine_tokens: Mapping[ServiceName, int] = field(default_factory=dict)

    @property
    def resumable_services(self) -> tuple[ServiceName, ...]:
        """Services to which routes with resumable streams lead, in order."""
        resumable = (route for route in self.routes if route.resumable)
        return tuple(
            sorted({each.service for route in resumable for each in route.services})
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointEntry:
    """The registration of one endpoint.

    Attributes:
        endpoint: Id of this incarnation of the endpoint; see `endpoint_id`.
        incarnation: Start time by the endpoint's own clock, Unix time in
            milliseconds; UNKNOWN_INCARNATION if it does not report one.
        service: The service that it belongs to.
        address: Address that it listens on; another endpoint may reuse it later.
        failure_domain: Failure domain of the endpoint.
        slots: Number of requests that it processes concurrently.
        state: Whether it accepts new requests.
        models: Models that it has loaded; empty for plain services.
        software_version: Version of its software, which its incarnation keeps.
        cold_left: Seconds for which it is still cold as of this entry, 0 if warm.
        revision: Position of this entry in the order of all changes.
        document: The encoded entry, which routers pass on unchanged.
    """

    endpoint: EndpointId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    state: EndpointState
    revision: StoreRevision
    models: frozenset[ModelId] = field(default_factory=frozenset)
    software_version: SoftwareVersion = SoftwareVersion("")
    cold_left: float = 0.0
    document: bytes = b""

    @property
    def name(self) -> EndpointName:
        """The name under which the endpoint registered."""
        return split_endpoint_id(endpoint=self.endpoint)[0]


def endpoint_id(*, name: EndpointName, incarnation: Incarnation) -> EndpointId:
    """Return the id of one incarnation of an endpoint.

    Routers key all that they know of an endpoint (load, results, cached parts,
    connections) by this id. A restarted endpoint has lost its earlier state, so
    nothing known of an earlier incarnation may apply to it.
    """
    if incarnation == UNKNOWN_INCARNATION and INCARNATION_SEPARATOR not in name:
        return EndpointId(name)
    return EndpointId(f"{name}{INCARNATION_SEPARATOR}{incarnation}")


def split_endpoint_id(*, endpoint: EndpointId) -> tuple[EndpointName, Incarnation]:
    """Return an endpoint's registered name and its incarnation."""
    name, separator, incarnation = endpoint.rpartition(INCARNATION_SEPARATOR)
    if not separator:
        return EndpointName(endpoint), UNKNOWN_INCARNATION
    return EndpointName(name), Incarnation(int(incarnation))
