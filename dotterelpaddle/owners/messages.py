"""Messages between routers and shard owners, and their datagram format."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.counts import bounded_count, decode_count, decode_integer
from dotterelpaddle.exceptions import MALFORMED_DOCUMENT, ControlError
from dotterelpaddle.forwarding.choice import ChoiceReason
from dotterelpaddle.forwarding.interface import PromptPart
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    ServiceName,
)
from dotterelpaddle.owners.handover import (
    HANDOVER_KIND,
    Handover,
    decode_handover,
    encode_handover,
)
from dotterelpaddle.owners.in_flight_report import (
    InFlightReport as InFlightReport,
    decode_report,
    encode_report,
)
from dotterelpaddle.owners.request_options import (
    Admission,
    decode_admission,
    decode_slowdowns,
    encode_admission,
    encode_slowdowns,
)

if TYPE_CHECKING:
    from typing import Any

    from dotterelpaddle.forwarding.slowdowns import SlowdownNote

GRANT_REQUEST_KIND, GRANT_KIND, REPORT_KIND = "question", "grant", "held"
WAITING_KIND, REFUSAL_KIND = "waiting", "refused"

MS_PER_SECOND = 1000.0

SLOWDOWNS_INDEX = 13
"""Index of the slowdowns in a grant request, after all other fields."""

DATAGRAM_PREFIX = b'["'
"""Start of each of these datagrams; load reports between peers start with a number."""


class RefusalReason(Enum):
    """Why an owner grants a request no slot."""

    LONG_QUEUE = "long_queue"
    QUEUE_FULL = "queue_full"
    EXPIRED = "expired"
    NO_ENDPOINT = "no_endpoint"
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> RefusalReason:
        """Accept the reasons of later releases."""
        return cls.UNKNOWN


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementQuery:
    """A request to place, in the form that `ForwardPlacer` reads.

    Attributes:
        service: The service that the caller requests.
        shard: Failure domain whose endpoints may be chosen, None for all.
        model: The model that the caller requests, empty for none.
        prompt: Parts of its prompt, in order; no other request shares the last one.
        retryable: Whether the router can retry the request at another endpoint.
        excluded: Endpoints that the owner must not choose.
        ignore_bound: Whether the owner chooses even if all endpoints are over their
            load bound.
        cached_at: Endpoint of another shard that caches the shared parts, or None.
        brittle: Whether the endpoints of the service may get no more requests than
            they have slots.
        admission: What decides when the request gets a slot, None if endpoints may
            get more requests than they have slots.
    """

    service: ServiceName
    shard: FailureDomain | None
    model: ModelId
    prompt: tuple[PromptPart, ...]
    retryable: bool
    excluded: frozenset[EndpointId]
    ignore_bound: bool
    cached_at: EndpointId | None = None
    brittle: bool = False
    admission: Admission | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRequest:
    """Asks an owner for an endpoint.

    Attributes:
        number: Identifies this grant request to its sender.
        report: Requests that the sender has in flight.
        query: The request to place.
        slowdowns: Slowdowns that endpoints reported to the sender.
    """

    number: int
    report: InFlightReport
    query: PlacementQuery
    slowdowns: tuple[SlowdownNote, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """An owner's answer to a grant request.

    Attributes:
        number: Number of the grant request.
        endpoint: The chosen endpoint, None if none takes work or all are over their
            load bound.
        fetch_from: Endpoint that caches the parts which the chosen one lacks, or all
            shared parts if the owner chose none; None if no endpoint does.
        reason: Why the owner chose the endpoint.
        load: Requests in flight at the endpoint, without this one.
        mean_load: Mean requests in flight over the endpoints of the service.
        missing_tokens: Shared prompt tokens that the endpoint has not cached.
        work_tokens: Work queued before the answer starts, in prompt tokens to read.
        others_wait: Whether requests wait for a slot of the shard; None if the
            grant request states no admission.
    """

    number: int
    endpoint: EndpointId | None = None
    fetch_from: EndpointId | None = None
    reason: ChoiceReason = ChoiceReason.LEAST_LOADED
    load: int = 0
    mean_load: float = 0.0
    missing_tokens: int = 0
    work_tokens: int = 0
    others_wait: bool | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """States that an owner has queued a request.

    Attributes:
        number: Number of the grant request.
    """

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """States that a request gets no slot.

    Attributes:
        number: Number of the grant request.
        retry_after: Seconds after which the caller may retry.
        reason: Why the request gets none.
    """

    number: int
    retry_after: float
    reason: RefusalReason


Answer = Grant | Waiting | Refusal
Message = GrantRequest | InFlightReport | Answer | Handover


def encode(*, message: Message) -> bytes:
    """Encode a message as a datagram."""
    match message:
        case GrantRequest(number=number, report=report, query=query):
            return orjson.dumps(
                [
                    GRANT_REQUEST_KIND,
                    number,
                    encode_report(report=report),
                    query.service,
                    query.shard,
                    query.model,
                    [[part.digest, part.tokens] for part in query.prompt],
                    query.retryable,
                    sorted(query.excluded),
                    query.ignore_bound,
                    query.cached_at,
                    *_encode_options(query, message.slowdowns),
                ]
            )
        case Grant():
            return orjson.dumps(
                [
                    GRANT_KIND,
                    message.number,
                    message.endpoint,
                    message.fetch_from,
                    message.reason.value,
                    bounded_count(value=message.load),
                    message.mean_load,
                    bounded_count(value=message.missing_tokens),
                    bounded_count(value=message.work_tokens),
                    # Routers without admission accept no further field.
                    *([] if message.others_wait is None else [message.others_wait]),
                ]
            )
        case Waiting(number=number):
            return orjson.dumps([WAITING_KIND, number])
        case Refusal(number=number, retry_after=retry_after, reason=reason):
            return orjson.dumps(
                [REFUSAL_KIND, number, _milliseconds(retry_after), reason.value]
            )
        case InFlightReport():
            return orjson.dumps([REPORT_KIND, encode_report(report=message)])
        case Handover():
            return orjson.dumps([HANDOVER_KIND, *encode_handover(handover=message)])


def decode(*, datagram: bytes) -> Message:
    """Decode a datagram.

    Raises:
        ControlError: If the datagram is malformed or of an unknown kind.
    """
    try:
        fields = orjson.loads(datagram)
        match fields[0]:
            case "question":
                return _decode_grant_request(fields)
            case "grant":
                return _decode_grant(fields)
            case "held":
                return decode_report(fields=fields[1])
            case "waiting":
                return Waiting(number=decode_integer(fields[1]))
            case "refused":
                return _decode_refusal(fields)
            case "handover":
                return decode_handover(fields=fields[1:])
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"malformed owner message: {error!r}") from error
    raise ControlError(f"unknown kind of owner message: {fields[0]!r}")


def _encode_options(
    query: PlacementQuery, slowdowns: tuple[SlowdownNote, ...]
) -> list[Any]:
    """Encode the fields that earlier releases don't know, up to the last used one."""
    options: list[Any] = [
        query.brittle,
        encode_admission(admission=query.admission),
        encode_slowdowns(notes=slowdowns),
    ]
    while options and not options[-1]:
        options.pop()
    return options


def _milliseconds(seconds: float) -> int:
    return bounded_count(value=round(seconds * MS_PER_SECOND))


def _decode_refusal(fields: Any) -> Refusal:
    _, number, retry_after, reason, *_ = fields
    return Refusal(
        number=decode_integer(number),
        retry_after=decode_count(retry_after) / MS_PER_SECOND,
        reason=RefusalReason(reason),
    )


def _decode_grant_request(fields: Any) -> GrantRequest:
    return GrantRequest(
        number=decode_integer(fields[1]),
        report=decode_report(fields=fields[2]),
        query=_decode_query(fields[3:]),
        slowdowns=decode_slowdowns(
            fields=fields[SLOWDOWNS_INDEX] if len(fields) > SLOWDOWNS_INDEX else None
        ),
    )


def _decode_query(fields: Any) -> PlacementQuery:
    (
        service,
        shard,
        model,
        prompt,
        retryable,
        excluded,
        ignore_bound,
        cached_at,
        *appended,
    ) = fields
    return PlacementQuery(
        service=ServiceName(str(service)),
        shard=None if shard is None else FailureDomain(str(shard)),
        model=ModelId(str(model)),
        prompt=tuple(
            PromptPart(digest=str(part), tokens=decode_count(tokens))
            for part, tokens in prompt
        ),
        retryable=bool(retryable),
        excluded=frozenset(EndpointId(str(each)) for each in excluded),
        ignore_bound=bool(ignore_bound),
        cached_at=_decode_endpoint(cached_at),
        brittle=bool(appended and appended[0]),
        admission=decode_admission(fields=appended[1]) if len(appended) > 1 else None,
    )


def _decode_grant(fields: Any) -> Grant:
    _, number, endpoint, source, reason, load, mean_load, missing, work, *added = fields
    return Grant(
        number=decode_integer(number),
        endpoint=_decode_endpoint(endpoint),
        fetch_from=_decode_endpoint(source),
        reason=ChoiceReason(reason),
        load=decode_count(load),
        mean_load=float(mean_load),
        missing_tokens=decode_count(missing),
        work_tokens=decode_count(work),
        others_wait=bool(added[0]) if added else None,
    )


def _decode_endpoint(value: Any) -> EndpointId | None:
    return None if value is None else EndpointId(str(value))
