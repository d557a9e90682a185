"""What a router reports to the owners of shards, and its format in datagrams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.counts import bounded_count, decode_count, decode_integer
from dotterelpaddle.ids import EndpointId, RouterId

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlightReport:
    """All requests that a router has in flight.

    Each report is a full snapshot, so the next one makes up for a lost one.

    Attributes:
        router: The reporting router.
        incarnation: Random number of its process.
        sequence: Number of the report, which increases within an incarnation.
        loads: Requests in flight by endpoint, including grants not yet in use.
        pending: Numbers of its grant requests without an answer.
    """

    router: RouterId
    incarnation: int
    sequence: int
    loads: Mapping[EndpointId, int] = field(default_factory=dict)
    pending: frozenset[int] = frozenset()


def encode_report(*, report: InFlightReport) -> list[Any]:
    """Encode a report as a JSON array."""
    return [
        report.router,
        report.incarnation,
        report.sequence,
        {name: bounded_count(value=load) for name, load in report.loads.items()},
        sorted(report.pending),
    ]


def decode_report(*, fields: Any) -> InFlightReport:
    """Decode a report.

    Raises:
        AttributeError, TypeError, ValueError: If it is malformed.
    """
    router, incarnation, sequence, loads, numbers = fields
    return InFlightReport(
        router=RouterId(str(router)),
        incarnation=decode_integer(incarnation),
        sequence=decode_integer(sequence),
        loads={
            EndpointId(str(name)): decode_count(load) for name, load in loads.items()
        },
        pending=frozenset(decode_integer(number) for number in numbers),
    )
