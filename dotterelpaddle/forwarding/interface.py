"""Interfaces that the platform adapters implement for forwarding."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from dotterelpaddle.forwarding.model import UNKNOWN_INCARNATION

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
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.forwarding.store_clock import StoreTime
    from dotterelpaddle.forwarding.use_queue import PartTag
    from dotterelpaddle.ids import (
        CacheEpoch,
        EndpointId,
        EndpointName,
        FailureDomain,
        Incarnation,
        ModelId,
        RequestId,
    )

Headers = list[tuple[bytes, bytes]]
"""Pairs of a name in lower case and a value, in order."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt, the unit that engines cache.

    Attributes:
        digest: Digest of the part; equal parts have equal digests.
        tokens: Length of the part in tokens.
    """

    digest: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenCount:
    """How many tokens a request takes in the memory of an engine.

    Attributes:
        prompt: Tokens of its prompt.
        max_output: Maximum number of tokens of its output.
    """

    prompt: int
    max_output: int


class HasPrompt(Protocol):
    """The properties of a request that decide its placement."""

    @property
    def model(self) -> ModelId:
        """Model that the request asks for, empty for none."""

    @property
    def prompt(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt, in order; the last is unique to the request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRequest:
    """A caller's request, decoded as far as forwarding needs.

    Attributes:
        request_id: Id that the caller gave this attempt; endpoints echo it.
        method: HTTP method.
        host: Host header without a port, in lower case.
        path: Path without the query, which selects the route.
        target: Path and query, unchanged.
        headers: End-to-end headers, which the router forwards unchanged.
        key: The caller's key, empty for none.
        time_left: Seconds from now that the caller waits, None if it names none.
        model: Model that the caller asks for, empty for none.
        prompt: Parts of the prompt, in order; the last is unique to the request.
        last_event_id: Id of the last event that the caller has, empty for none.
        resumes: Id of the caller's attempt that brought the first event of the stream
            that it resumes, None if it names none.
        token_count: Its tokens, None if it does not state them.
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
    resumes: RequestId | None = None
    token_count: TokenCount | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointLoad:
    """The load that an endpoint reports in an answer.

    Only the slowdown decides anything; owners count requests themselves.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait for a slot.
        slots: Requests that it can run at a time.
        slowdown: Factor on the usual time of work on its host, None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, which the router forwards unchanged.
        request_id: Id of the request that it answers, empty if it names none.
        has_origin_proof: Whether it carries an endpoint's proof of origin.
        not_executed: Whether the endpoint guarantees that the request has not run.
        wrong_endpoint: Whether an endpoint other than the addressed one answered.
        has_unexpected_encoding: Whether the body has an encoding that callers did
            not ask for.
        leaving: Whether the endpoint reports that it is leaving.
        retry_after: Seconds for which the endpoint asks for no more requests, None
            if it does not.
        rejection_limit: Requests that the endpoint may reject within a second before it
            ends, None if any number.
        load: Load of the endpoint, None if it reports none.
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
    rejection_limit: int | None = None
    load: EndpointLoad | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """What the router sends to an endpoint besides the caller's own headers.

    Attributes:
        endpoint: Name of the addressed endpoint; any other one must refuse.
        account: The client account, None on public routes.
        priority: Priority, 0 is the highest; None for the endpoint's default.
        last_event_id: Id of the last event that the caller has, empty for none.
        fetch_from: Address of an endpoint from whose cache to fetch prompt parts.
    """

    endpoint: EndpointName
    account: ClientAccount | None
    priority: int | None
    last_event_id: str
    fetch_from: Address | None = None


class WireCodec(Protocol):
    """Translates between the wire format and the types of forwarding."""

    def decode_request(self, *, scope: Mapping[str, Any]) -> ForwardRequest:
        """Decode the head of a caller's request.

        Raises:
            MalformedRequest: If the head can't be decoded.
        """

    def encode_headers(
        self, *, request: ForwardRequest, metadata: RequestMetadata, time_left: float
    ) -> Headers:
        """Return the headers of a request to an endpoint.

        Args:
            request: The caller's request.
            metadata: What the router adds.
            time_left: Seconds until the deadline as the headers are sent.
        """

    def decode_answer(
        self, *, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> AnswerHead:
        """Decode the head of an endpoint's answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorUpdate:
    """A snapshot or a delta of the operator's configuration and evacuations.

    Attributes:
        revision: Position in the order of changes up to which the update goes.
        configuration: The configuration, None if there is no new or usable one.
        evacuations: All evacuations in a snapshot, else those begun or ended.
        undecodable: Failure domains whose evacuation row can't be decoded; their
            evacuation state stays as it is.
        is_snapshot: Whether `evacuations` lists all evacuations.
        as_of: When the source made the answer, None if it does not say.
    """

    revision: StoreRevision
    configuration: FleetConfiguration | None
    evacuations: tuple[EvacuationChange, ...] = ()
    undecodable: frozenset[FailureDomain] = frozenset()
    is_snapshot: bool = False
    as_of: StoreTime | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointsUpdate:
    """A snapshot or a delta of the endpoints' entries.

    Attributes:
        revision: Position in the order of changes up to which the update goes.
        entries: All entries in a snapshot, else the changed ones.
        removed: Names of removed entries, each with the revision of the removal;
            empty in a snapshot.
        is_snapshot: Whether `entries` lists all entries.
        as_of: When the source made the answer; None if it does not say, or if the
            update comes from a peer.
    """

    revision: StoreRevision
    entries: tuple[EndpointEntry, ...]
    removed: Mapping[EndpointName, StoreRevision] = field(default_factory=dict)
    is_snapshot: bool = False
    as_of: StoreTime | None = None


class DocumentDecoder(Protocol):
    """Decodes the documents of the source, which routers pass on unchanged."""

    def configuration(self, *, document: bytes) -> FleetConfiguration:
        """Decode a configuration.

        Raises:
            RecordError: If it can't be used; the error names the field.
        """

    def endpoint(
        self, *, name: EndpointName, document: bytes, revision: StoreRevision
    ) -> EndpointEntry:
        """Decode an endpoint's entry.

        Raises:
            RecordError: If it can't be used; the error names the field.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class LifetimeMark:
    """What an engine's answer tells of the lifetime that gave it.

    Attributes:
        incarnation: Its start; UNKNOWN_INCARNATION if the answer names none.
        epoch: Epoch of its cache; None if the answer names none.
    """

    incarnation: Incarnation = UNKNOWN_INCARNATION
    epoch: CacheEpoch | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedParts:
    """Parts of prompts that an endpoint has cached.

    Attributes:
        endpoint: The incarnation that answered, which may be later than the one
            whose entry is known.
        parts: Tags of the parts.
        leaving: Whether that incarnation reports that it is leaving.
        mark: What the answer tells of the lifetime that gave it.
    """

    endpoint: EndpointId
    parts: tuple[PartTag, ...]
    leaving: bool = False
    mark: LifetimeMark = field(default_factory=LifetimeMark)


class CacheReader(Protocol):
    """Queries endpoints for the contents of their caches."""

    async def cached_parts(self, *, entry: EndpointEntry) -> CachedParts:
        """Return the parts of prompts that an endpoint has cached.

        Raises:
            EndpointError: If the endpoint gives no usable answer in time.
        """


class PeerStatus(Protocol):
    """What the peers, which are the other routers, report about the source."""

    @property
    def is_platform_reader(self) -> bool:
        """Whether this router reads the source on behalf of its peers."""

    @property
    def receives_configurations(self) -> bool:
        """Whether peers pass on configurations, so that this router need not poll."""

    @property
    def receives_endpoints(self) -> bool:
        """Whether peers pass on endpoints, so that this router need not poll."""

    @property
    def configuration_as_of(self) -> StoreTime | None:
        """When the source last confirmed this configuration to a peer, if known."""

    @property
    def endpoints_as_of(self) -> StoreTime | None:
        """When the source last confirmed these endpoints to a peer, if known."""

    @property
    def endpoints_outdated(self) -> bool:
        """Whether a peer has different endpoints as of a later revision."""


class Source(Protocol):
    """The store of the configuration and the endpoints' entries.

    All methods raise PlatformError if there is no usable answer in time, and
    HistoryLost if the source no longer has the single changes since `after`, or comes
    back from a copy meanwhile.
    """

    async def configuration(self) -> OperatorUpdate:
        """Read the configuration."""

    async def configuration_after(
        self, *, after: StoreRevision, wait: float
    ) -> OperatorUpdate:
        """Wait up to `wait` seconds for a change of the configuration."""

    async def endpoints(self) -> EndpointsUpdate:
        """Read all endpoints' entries."""

    async def endpoints_after(
        self, *, after: StoreRevision, wait: float
    ) -> EndpointsUpdate:
        """Wait up to `wait` seconds for changes of the endpoints' entries."""
