"""What a router knows of its fleet: configuration and endpoints in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.ids import EndpointId, EndpointName, Incarnation

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.ids import (
        AccountId,
        FailureDomain,
        ModelId,
        Region,
        Revision,
        ServiceName,
    )

UNKNOWN_INCARNATION = Incarnation(0)
"""Incarnation of an endpoint that does not say when it started."""

START_MARK = "@"
"""Stands between an endpoint's name and its start."""


class RequestKind(Enum):
    """What the requests of a route are, which decides what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class EndpointState(Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """One of the services among which a route's requests are split.

    Attributes:
        service: Its name.
        weight: Its part of the requests, relative to the others' weights.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRoute:
    """Where requests of one host and path prefix go, and how.

    Attributes:
        name: Its name.
        host: Host header that it matches, in lower case.
        prefix: Path prefix that it matches, with a slash at both ends.
        kind: What its requests are.
        services: The services among which its requests are split.
        timeout: Seconds until a caller gets a final answer, whatever it is.
        latency_objective: Seconds to the answer, or to a stream's first event, that
            callers expect.
        max_attempts: Endpoints to which one request may be sent.
        priority: Priority, 0 is the highest.
        public: Whether callers need no key.
        resumable: Whether a stream may go on at another endpoint.
        gap_objective: Longest seconds between two events of a stream that
            callers expect, 0 where there is none.
        regions: Where its requests may run; empty for anywhere.
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
        """Whether a request may be sent again after it may have run."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send.

    Attributes:
        max_header_bytes: Longest head of a request.
        max_body_bytes: Longest body.
        header_timeout: Seconds to send a head.
        idle_timeout: Seconds that a connection may stay without a request.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientAccount:
    """A client account as routes need to know it.

    Attributes:
        name: Its name, which endpoints are told.
        priority: Its priority, which goes before a route's; None for the route's.
        regions: Where its requests may run; empty for anywhere.
    """

    name: AccountId
    priority: int | None = None
    regions: frozenset[Region] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class SlowStart:
    """What a service says of its cold endpoints.

    Attributes:
        duration: Seconds for which an endpoint is cold after its start.
        rate: Requests a second that it bears meanwhile.
    """

    duration: float
    rate: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetConfiguration:
    """One version of the whole configuration.

    Attributes:
        version: Grows with each accepted change.
        routes: All routes.
        limits: What callers may send.
        accounts_by_key: Client accounts by key, None where no keys are asked for.
        slow_starts: Services whose endpoints are cold after their start.
        document: The configuration as its source holds it, for other routers.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    limits: CallerLimits
    accounts_by_key: Mapping[str, ClientAccount] | None
    slow_starts: Mapping[ServiceName, SlowStart] = field(default_factory=dict)
    document: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointEntry:
    """One endpoint as it registered itself.

    Attributes:
        endpoint: Names this start of it; see `endpoint_id`.
        incarnation: Its start, a Unix time in milliseconds by its own clock;
            UNKNOWN_START if it does not say.
        service: The service that it belongs to.
        address: Where it listens; used again by others after it has ended.
        failure_domain: Where it is.
        slots: Requests that it works on at a time.
        state: Whether it takes new work.
        models: Models that it has loaded; empty for plain services.
        cold_left: Seconds that it is still cold as of this entry, 0 if it is warm.
        revision: Position of this entry in the order of all changes.
        document: The entry as its source holds it, for other routers.
    """

    endpoint: EndpointId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    state: EndpointState
    revision: Revision
    models: frozenset[ModelId] = field(default_factory=frozenset)
    cold_left: float = 0.0
    document: bytes = b""

    @property
    def name(self) -> EndpointName:
        """The name under which it registered."""
        return split_endpoint_id(endpoint=self.endpoint)[0]

    @property
    def precedence(self) -> tuple[Incarnation, Revision]:
        """Which of two entries of one name is in force: the greater one."""
        return self.incarnation, self.revision


def endpoint_id(*, name: EndpointName, incarnation: Incarnation) -> EndpointId:
    """Name one start of an endpoint.

    All that is known of an endpoint (load, results, cached parts, connections) is
    kept by this name. An endpoint that starts again holds nothing from before, and
    so nothing that was known of its earlier start counts for it.
    """
    if incarnation == UNKNOWN_INCARNATION and START_MARK not in name:
        return EndpointId(name)
    return EndpointId(f"{name}{START_MARK}{incarnation}")


def split_endpoint_id(*, endpoint: EndpointId) -> tuple[EndpointName, Incarnation]:
    """Return the name under which an endpoint registered, and its start."""
    name, mark, incarnation = endpoint.rpartition(START_MARK)
    if not mark:
        return EndpointName(endpoint), UNKNOWN_INCARNATION
    return EndpointName(name), Incarnation(int(incarnation))
