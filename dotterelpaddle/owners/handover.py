"""What an owner that stops granting passes on to its successor.

The successor can grant at once, as it then knows all requests in flight and that the
earlier owner grants nothing more.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.counts import decode_count, decode_integer
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
from dotterelpaddle.owners.in_flight_report import (
    InFlightReport,
    decode_report,
    encode_report,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from typing import Any

HANDOVER_KIND = "handover"

ROUTERS_PER_PART = 8
"""Routers in one datagram, so that it fits in a packet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RouterCounts:
    """What one router has in flight.

    Attributes:
        report: Its latest report.
        granted: Endpoints granted to it that the report does not cover, by number of
            the grant request.
        age: Seconds since the report arrived, so that it expires when it would have.
    """

    report: InFlightReport
    granted: Mapping[int, EndpointId] = field(default_factory=dict)
    age: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Handover:
    """A part of the counts of an owner that has stopped granting.

    Attributes:
        router: The earlier owner.
        domain: Failure domain whose slots it granted.
        number: Number of the handover, which increases within a process.
        part: Index of this part.
        parts: Number of parts.
        counts: What some routers have in flight.
    """

    router: RouterId
    domain: FailureDomain
    number: int
    part: int
    parts: int
    counts: tuple[RouterCounts, ...]


def split_handover(
    *,
    router: RouterId,
    domain: FailureDomain,
    number: int,
    counts: Sequence[RouterCounts],
) -> list[Handover]:
    """Split the counts of an owner into parts that fit in a packet."""
    starts = range(0, max(1, len(counts)), ROUTERS_PER_PART)
    return [
        Handover(
            router=router,
            domain=domain,
            number=number,
            part=part,
            parts=len(starts),
            counts=tuple(counts[start : start + ROUTERS_PER_PART]),
        )
        for part, start in enumerate(starts)
    ]


def encode_handover(*, handover: Handover) -> list[Any]:
    """Encode a part of a handover as a JSON array."""
    return [
        handover.router,
        handover.domain,
        handover.number,
        handover.part,
        handover.parts,
        [
            [
                encode_report(report=each.report),
                [[number, endpoint] for number, endpoint in each.granted.items()],
                round(each.age, 3),
            ]
            for each in handover.counts
        ],
    ]


def decode_handover(*, fields: Any) -> Handover:
    """Decode a part of a handover.

    Raises:
        AttributeError, TypeError, ValueError: If it is malformed.
    """
    router, domain, number, part, parts, counts = fields
    return Handover(
        router=RouterId(str(router)),
        domain=FailureDomain(str(domain)),
        number=decode_integer(number),
        part=decode_count(part),
        parts=decode_count(parts),
        counts=tuple(
            RouterCounts(
                report=decode_report(fields=report),
                granted={
                    decode_integer(key): EndpointId(str(endpoint))
                    for key, endpoint in granted
                },
                age=float(age),
            )
            for report, granted, age in counts
        ),
    )
