"""The report that routers send each other a few times a second."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.repeats import RepeatCounts
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    Revision,
    RouterId,
    ServiceName,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.caches import Use

FORMAT = 2
"""Version of the format; reports of another one are dropped and counted."""

MOST_PEERS_TOLD = 16
"""Routers named in one report, so that it stays in one packet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReport:
    """What one router knows and does.

    Attributes:
        router: Its name.
        failure_domain: Where it is.
        incarnation: Number of its process; another one is another process.
        sequence: Grows with each report of the process.
        control: Where it hands out what it knows.
        version: Version of its configuration.
        revision: Revision up to which it knows the endpoints, -1 for none.
        configuration_age: Seconds since it heard of the configuration from the
            platform itself, infinite if it never did.
        endpoints_age: The same of the endpoints.
        endpoints_tag: Digest of the endpoints that it knows.
        loads: Its requests in flight, by endpoint.
        repeats: What it sent of late, by service.
        uses: Where it sent parts of prompts of late.
        parts: Parts of prompts that it knows the places of, 0 while it is still
            learning what was there before it began.
        peers: Addresses of routers that it hears.
    """

    router: RouterId
    failure_domain: FailureDomain
    incarnation: int
    sequence: int
    control: Address
    version: int
    revision: Revision
    configuration_age: float
    endpoints_age: float
    endpoints_tag: int
    loads: Mapping[EndpointId, int]
    repeats: Mapping[ServiceName, RepeatCounts]
    uses: tuple[Use, ...] = ()
    parts: int = 0
    peers: tuple[Address, ...] = ()


def encode_report(*, report: PeerReport) -> bytes:
    """Turn a report into a datagram."""
    return orjson.dumps(
        [
            FORMAT,
            report.router,
            report.failure_domain,
            report.incarnation,
            report.sequence,
            str(report.control),
            report.version,
            report.revision,
            _milliseconds(report.configuration_age),
            _milliseconds(report.endpoints_age),
            report.endpoints_tag,
            report.loads,
            {
                service: [counts.requests, counts.repeats]
                for service, counts in report.repeats.items()
            },
            report.uses,
            report.parts,
            [str(peer) for peer in report.peers[:MOST_PEERS_TOLD]],
        ]
    )


def decode_report(*, datagram: bytes) -> PeerReport:
    """Turn a datagram back into a report.

    Raises:
        ControlError: If it is no report of this format.
    """
    try:
        fields = orjson.loads(datagram)
        if fields[0] != FORMAT:
            raise ControlError(f"a report of format {fields[0]!r}, not {FORMAT}")
        return PeerReport(
            router=RouterId(str(fields[1])),
            failure_domain=FailureDomain(str(fields[2])),
            incarnation=int(fields[3]),
            sequence=int(fields[4]),
            control=Address.parse(text=fields[5]),
            version=int(fields[6]),
            revision=Revision(int(fields[7])),
            configuration_age=_seconds(fields[8]),
            endpoints_age=_seconds(fields[9]),
            endpoints_tag=int(fields[10]),
            loads={EndpointId(name): int(load) for name, load in fields[11].items()},
            repeats={
                ServiceName(name): RepeatCounts(
                    requests=int(counts[0]), repeats=int(counts[1])
                )
                for name, counts in fields[12].items()
            },
            uses=tuple((int(part), EndpointId(name)) for part, name in fields[13]),
            parts=int(fields[14]),
            peers=tuple(Address.parse(text=peer) for peer in fields[15]),
        )
    except (
        orjson.JSONDecodeError,
        AttributeError,
        IndexError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise ControlError(f"a datagram that is no report: {error!r}") from error


def _milliseconds(age: float) -> int | None:
    return round(1000 * age) if math.isfinite(age) else None


def _seconds(milliseconds: int | None) -> float:
    return float("inf") if milliseconds is None else max(0, milliseconds) / 1000
