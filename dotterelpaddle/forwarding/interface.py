"""What forwarding asks of the adapter to its surroundings."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from typing import Any

    from dotterelpaddle.address import Address
    from dotterelpaddle.forwarding.evacuations import EvacuationChange
    from dotterelpaddle.forwarding.model import (
        ClientAccount,
        EndpointEntry,
        FleetConfiguration,
    )
    from dotterelpaddle.forwarding.use_queue import PartTag
    from dotterelpaddle.ids import (
        EndpointId,
        EndpointName,
        FailureDomain,
        ModelId,
        RequestId,
        Revision,
    )

Headers = list[tuple[bytes, bytes]]
"""Names in lower case and values, in order."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt that engines cache.

    Attributes:
        digest: Its digest; equal parts have equal digests.
        tokens: Its length.
    """

    digest: str
    tokens: int


class HasPrompt(Protocol):
    """What a placer needs to know of a request."""

    @property
    def model(self) -> ModelId:
        """Model that it asks for, empty for none."""

    @property
    def prompt(self) -> tuple[PromptPart, ...]:
        """Parts of its prompt, in order; the last is its own."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRequest:
    """A caller's request, decoded as far as forwarding needs.

    Attributes:
        request_id: The caller's name of this attempt; endpoints echo it.
        method: HTTP method.
        host: Host header without a port, in lower case.
        path: Path without the query, which selects the route.
        target: Path and query as they came.
        headers: End-to-end headers that go on as they came.
        key: The caller's key, empty for none.
        time_left: Seconds that the caller waits from now, None if unsaid.
        model: Model that the caller asks for, empty for none.
        prompt: Parts of the prompt, in order; the last is the request's own.
        last_event_id: Id of the last event that the caller has, empty for none.
    """

    request_id: RequestId
    method: str
    host: str
    path: str
    target: bytes
    headers: Headers
    key: str = ""
    time_left: float | None = None
    model: ModelId
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, to be passed on as they came.
        request_id: The request that it answers, empty if it does not say.
        has_origin_proof: Whether it bears an endpoint's proof of origin.
        not_executed: Whether it promises that the request has not run.
        wrong_endpoint: Whether another endpoint than the one meant answered.
        has_unexpected_encoding: Whether the body is not as callers asked for it.
        leaving: Whether the endpoint says that it leaves.
        retry_after: Seconds for which the endpoint asks to be left alone, None if it
            does not.
    """

    status: int
    headers: Headers
    request_id: str
    has_origin_proof: bool
    not_executed: bool
    wrong_endpoint: bool
    has_unexpected_encoding: bool
    leaving: bool = False
    retry_after: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """What an endpoint is told beside the caller's own headers.

    Attributes:
        endpoint: Name of the endpoint that is meant; any other one must refuse.
        time_left: Seconds after which nobody waits any more.
        account: The client account, None on public routes.
        priority: Priority, 0 is the highest; None for the endpoint's default.
        last_event_id: Id of the last event that the caller has, empty for none.
        fetch_from: Endpoint from whose cache to fetch what it has of the prompt.
    """

    endpoint: EndpointName
    time_left: float
    account: ClientAccount | None
    priority: int | None
    last_event_id: str
    fetch_from: Address | None = None


class WireCodec(Protocol):
    """Translates between the wire and forwarding's own types."""

    def decode_request(self, *, scope: Mapping[str, Any]) -> ForwardRequest:
        """Decode the head of a caller's request.

        Raises:
            MalformedRequest: If it can't be understood.
        """

    def encode_headers(
        self, *, request: ForwardRequest, metadata: RequestMetadata
    ) -> Headers:
        """Make the headers of a request to an endpoint."""

    def decode_answer(
        self, *, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> AnswerHead:
        """Decode the head of an endpoint's answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorUpdate:
    """What the operator wants at some moment, or what changed up to it.

    Attributes:
        revision: Position in the order of changes up to which this is known.
        configuration: The configuration, None if nothing new or usable is there.
        evacuations: Evacuations that there are, or have begun or ended.
        undecodable: Failure domains whose evacuation can't be made out, as its row can't
            be decoded: nothing changes for them.
        is_snapshot: Whether there are no others.
    """

    revision: Revision
    configuration: FleetConfiguration | None
    evacuations: tuple[EvacuationChange, ...] = ()
    undecodable: frozenset[FailureDomain] = frozenset()
    is_snapshot: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointsUpdate:
    """Endpoints' entries at some moment, or what changed up to it.

    Attributes:
        revision: Position in the order of changes up to which this is known.
        entries: Entries that are there, or have changed.
        removed: Names whose entries are gone, with the revision of that; empty in
            a whole list.
        is_snapshot: Whether entries that are not here do not exist.
    """

    revision: Revision
    entries: tuple[EndpointEntry, ...]
    removed: Mapping[EndpointName, Revision] = field(default_factory=dict)
    is_snapshot: bool = False


class DocumentDecoder(Protocol):
    """Decodes what the source holds; routers pass it on as it is."""

    def configuration(self, *, document: bytes) -> FleetConfiguration:
        """Decode a configuration.

        Raises:
            RecordError: If it can't be used; the error names the field.
        """

    def endpoint(
        self, *, name: EndpointName, document: bytes, revision: Revision
    ) -> EndpointEntry:
        """Decode an endpoint's entry.

        Raises:
            RecordError: If it can't be used; the error names the field.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedParts:
    """Parts of prompts that an endpoint has cached.

    Attributes:
        endpoint: The start of it that answered, which may be a later one than that
            whose entry is known.
        parts: Their tags.
        leaving: Whether that start says that it leaves.
    """

    endpoint: EndpointId
    parts: tuple[PartTag, ...]
    leaving: bool = False


class CacheReader(Protocol):
    """Asks endpoints for what they have cached."""

    async def cached_parts(self, *, entry: EndpointEntry) -> CachedParts:
        """Return the parts of prompts that an endpoint has cached.

        Raises:
            EndpointError: If it gives no usable answer in time.
        """


class PeerStatus(Protocol):
    """What other routers say of the source."""

    @property
    def is_platform_reader(self) -> bool:
        """Whether this router reads from the source for those that it hears."""

    @property
    def receives_configurations(self) -> bool:
        """Whether others pass configurations on, so that this router need not ask."""

    @property
    def receives_endpoints(self) -> bool:
        """The same of endpoints."""

    @property
    def configuration_age(self) -> float:
        """Seconds since one that has the same version heard from the source."""

    @property
    def endpoints_age(self) -> float:
        """Seconds since one that knows the same endpoints heard from the source."""

    @property
    def endpoints_outdated(self) -> bool:
        """Whether another router knows other endpoints, and later ones."""


class Source(Protocol):
    """Where configuration and endpoints' entries are kept.

    All methods raise PlatformError if there is no usable answer in time, and
    HistoryLost if changes since `after` can't be told one by one any more.
    """

    async def configuration(self) -> OperatorUpdate:
        """Read the configuration."""

    async def configuration_after(
        self, *, after: Revision, wait: float
    ) -> OperatorUpdate:
        """Wait for a change of the configuration, some seconds at most."""

    async def endpoints(self) -> EndpointsUpdate:
        """Read all endpoints' entries."""

    async def endpoints_after(self, *, after: Revision, wait: float) -> EndpointsUpdate:
        """Wait for changes of endpoints' entries, some seconds at most."""
