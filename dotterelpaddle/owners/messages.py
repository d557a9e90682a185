"""What routers and the owner of a shard tell each other, as datagrams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.choice import ChoiceReason
from dotterelpaddle.forwarding.interface import PromptPart
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    RouterId,
    ServiceName,
)

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

GRANT_REQUEST_KIND, GRANT_KIND, REPORT_KIND = "question", "grant", "held"

DATAGRAM_PREFIX = b'["'
"""How each of these datagrams begins; reports begin with a number."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlightReport:
    """What a router has in flight, so that whoever counts it can count anew.

    Each message tells it whole: one that is lost is made good by the next.

    Attributes:
        router: The router.
        incarnation: Number of its process.
        sequence: Grows with each of its messages.
        loads: Requests in flight, by endpoint, those granted just now included.
        pending: Numbers of its questions that have no answer yet.
    """

    router: RouterId
    incarnation: int
    sequence: int
    loads: Mapping[EndpointId, int] = field(default_factory=dict)
    pending: frozenset[int] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementQuery:
    """What an endpoint is wanted for; a placer reads it like a request.

    Attributes:
        service: The service that the request is for.
        shard: Failure domain whose endpoints may be chosen, None for all.
        model: Model that the request is for, empty for none.
        prompt: Parts of its prompt, in order; the last is the request's own.
        repeatable: Whether a failure there could be made good elsewhere.
        excluded: Endpoints that can't be chosen.
        ignore_bound: Whether an endpoint is to be chosen even if all are over their bound.
        cached_at: Endpoint of another shard that has the shared parts, None if none.
    """

    service: ServiceName
    shard: FailureDomain | None
    model: ModelId
    prompt: tuple[PromptPart, ...]
    repeatable: bool
    excluded: frozenset[EndpointId]
    ignore_bound: bool
    cached_at: EndpointId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRequest:
    """Asks where a request should go.

    Attributes:
        number: Names the question to its sender.
        report: What the sender has in flight.
        query: What the endpoint is wanted for.
    """

    number: int
    report: InFlightReport
    query: PlacementQuery


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The owner's answer.

    Attributes:
        number: The question that it answers.
        endpoint: Where the request should go; None if all are over their bound.
        fetch_from: Endpoint whose cache has what it lacks, or all that is shared
            where none was chosen; None if none has.
        reason: Why it was chosen.
        load: Its requests in flight, this one excluded.
        mean_load: The mean over the endpoints of the service.
        missing: Shared prompt tokens that it does not have.
        work: Time until it can answer, in tokens read.
    """

    number: int
    endpoint: EndpointId | None = None
    fetch_from: EndpointId | None = None
    reason: ChoiceReason = ChoiceReason.LEAST_LOADED
    load: int = 0
    mean_load: float = 0.0
    missing: int = 0
    work: int = 0


Message = GrantRequest | Grant | InFlightReport


def encode(*, message: Message) -> bytes:
    """Turn a message into a datagram."""
    match message:
        case GrantRequest(number=number, report=held, query=wanted):
            return orjson.dumps(
                [
                    GRANT_REQUEST_KIND,
                    number,
                    _encode_report(held),
                    wanted.service,
                    wanted.shard,
                    wanted.model,
                    [[part.digest, part.tokens] for part in wanted.prompt],
                    wanted.repeatable,
                    sorted(wanted.excluded),
                    wanted.ignore_bound,
                    wanted.cached_at,
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
                    message.load,
                    message.mean_load,
                    message.missing,
                    message.work,
                ]
            )
        case InFlightReport():
            return orjson.dumps([REPORT_KIND, _encode_report(message)])


def decode(*, datagram: bytes) -> Message:
    """Turn a datagram back into a message.

    Raises:
        ControlError: If it is none.
    """
    try:
        fields = orjson.loads(datagram)
        match fields[0]:
            case "question":
                return _decode_grant_request(fields)
            case "grant":
                return _decode_grant(fields)
            case "held":
                return _decode_report(fields[1])
    except (
        orjson.JSONDecodeError,
        AttributeError,
        IndexError,
        TypeError,
        ValueError,
    ) as error:
        raise ControlError(f"a message that can't be read: {error!r}") from error
    raise ControlError(f"a message of unknown kind {fields[0]!r}")


def _decode_grant_request(fields: Any) -> GrantRequest:
    return GrantRequest(
        number=int(fields[1]),
        report=_decode_report(fields[2]),
        query=_decode_query(fields[3:]),
    )


def _decode_query(fields: Any) -> PlacementQuery:
    service, shard, model, prompt, repeatable, excluded, must, cached_at = fields
    return PlacementQuery(
        service=ServiceName(str(service)),
        shard=None if shard is None else FailureDomain(str(shard)),
        model=ModelId(str(model)),
        prompt=tuple(
            PromptPart(digest=str(part), tokens=int(tokens)) for part, tokens in prompt
        ),
        repeatable=bool(repeatable),
        excluded=frozenset(EndpointId(str(each)) for each in excluded),
        ignore_bound=bool(must),
        cached_at=_decode_endpoint(cached_at),
    )


def _decode_grant(fields: Any) -> Grant:
    _, number, endpoint, source, reason, load, mean_load, missing, work = fields
    return Grant(
        number=int(number),
        endpoint=_decode_endpoint(endpoint),
        fetch_from=_decode_endpoint(source),
        reason=ChoiceReason(reason),
        load=int(load),
        mean_load=float(mean_load),
        missing=int(missing),
        work=int(work),
    )


def _decode_endpoint(value: Any) -> EndpointId | None:
    return None if value is None else EndpointId(str(value))


def _encode_report(report: InFlightReport) -> list[Any]:
    return [
        report.router,
        report.incarnation,
        report.sequence,
        dict(report.loads),
        sorted(report.pending),
    ]


def _decode_report(fields: Any) -> InFlightReport:
    router, incarnation, sequence, loads, numbers = fields
    return InFlightReport(
        router=RouterId(str(router)),
        incarnation=int(incarnation),
        sequence=int(sequence),
        loads={EndpointId(str(name)): int(load) for name, load in loads.items()},
        pending=frozenset(int(number) for number in numbers),
    )
