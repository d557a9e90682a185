"""The report that routers send each other a few times a second."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot
from dotterelpaddle.forwarding.leaving import LeavingNotice
from dotterelpaddle.forwarding.request_totals import (
    ReplyRequest,
    RequestTotals,
    RetryCounts,
    TotalsScope,
)
from dotterelpaddle.ids import (
    EndpointId,
    EndpointName,
    FailureDomain,
    Revision,
    RouterId,
    ServiceName,
)
from dotterelpaddle.peers.crash_notes import decode_notes, encode_notes
from dotterelpaddle.peers.incarnations import LatestIncarnations, decode_endpoints

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

    from dotterelpaddle.forwarding.crashes import CrashNote
    from dotterelpaddle.forwarding.use_queue import PartUse

FORMAT_VERSION = 3
"""Version of the format; reports of another one are dropped and counted."""

INCARNATIONS_INDEX = 19
"""Place of endpoints' starts; earlier releases end before it and read no further."""

QUEUED_TOKENS_INDEX = 20
"""Place of what waits to be read at endpoints, which earlier releases lack as well."""

OWNERS_INDEX = 21
"""Place of the owners of shards, which earlier releases lack as well."""

LEAVING_INDEX = 22
"""Place of whether the sender is stopping, which earlier releases lack as well."""

CRASHES_INDEX = 23
"""Place of requests under which endpoints ended, which earlier releases lack."""

LEAVING_ENDPOINTS_INDEX = 24
"""Place of endpoints that said that they leave, which earlier releases lack."""

SILENT_OWNERS_INDEX = 25
"""Place of owners that did not answer in time, which earlier releases lack."""

PLATFORM_LOST_INDEX = 26
"""Place of whether the sender reaches the platform, which earlier releases lack."""

EVACUATED_INDEX = 27
"""Place of evacuated failure domains, which earlier releases lack as well."""

MAX_LISTED_PEERS = 16
"""Routers named in one report, so that it stays in one packet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerInfo:
    """How to reach a router, and how much it can do for others.

    Attributes:
        router: Its name.
        failure_domain: Where it is.
        address: Where it exchanges reports.
        link: Bandwidth of its host's link, Mbit/s.
    """

    router: RouterId
    failure_domain: FailureDomain
    address: Address
    link: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReport:
    """What one router knows and does.

    Attributes:
        router: Its name.
        failure_domain: Where it is.
        link: Bandwidth of its host's link, Mbit/s.
        incarnation: Number of its process; another one is another process.
        sequence: Grows with each report of the process.
        control: Where it hands out what it knows.
        version: Version of its configuration.
        revision: Revision up to which it knows the endpoints, -1 for none.
        configuration_age: Seconds since the platform itself told anyone that this is
            the configuration, infinite if that is not known.
        endpoints_age: The same of the endpoints.
        endpoints_tag: Digest of the endpoints that it knows.
        share: Requests in flight and repeats that it tells of.
        ask: What it asks in return.
        routers: Routers that it knows of, itself included.
        domains: Failure domains whose routers it has just heard itself.
        uses: Where it sent parts of prompts of late.
        parts: Parts of prompts that it knows the places of, 0 while it is still
            learning what was there before it began.
        peers: Routers that it hears.
        owners: Routers that count what is in flight, one for a failure domain.
        leaving: Whether it is stopping, and others should take over what it does.
        crashes: Under which requests endpoints ended.
        leaving_endpoints: Endpoints that have said in an answer that they leave.
        silent_owners: Owners that have just not answered the sender in time.
        platform_lost: Whether its own calls to the platform fail.
        evacuated: Evacuated failure domains, None if it knows nothing of them.
    """

    router: RouterId
    failure_domain: FailureDomain
    link: int = 0
    incarnation: int
    sequence: int
    control: Address
    version: int
    revision: Revision
    configuration_age: float
    endpoints_age: float
    endpoints_tag: int
    share: RequestTotals
    ask: ReplyRequest = ReplyRequest.NOTHING
    routers: int = 1
    domains: tuple[FailureDomain, ...] = ()
    uses: tuple[PartUse, ...] = ()
    parts: int = 0
    peers: tuple[PeerInfo, ...] = ()
    owners: tuple[PeerInfo, ...] = ()
    leaving: bool = False
    crashes: tuple[CrashNote, ...] = ()
    leaving_endpoints: tuple[LeavingNotice, ...] = ()
    silent_owners: tuple[RouterId, ...] = ()
    platform_lost: bool = False
    evacuated: EvacuationSnapshot | None = None


def encode_report(*, report: PeerReport) -> bytes:
    """Turn a report into a datagram."""
    share = report.share
    told = LatestIncarnations(
        endpoints=(
            *share.loads,
            *share.queued_tokens,
            *(endpoint for _, endpoint in report.uses),
        )
    )
    return orjson.dumps(
        [
            FORMAT_VERSION,
            report.router,
            report.failure_domain,
            report.link,
            report.incarnation,
            report.sequence,
            str(report.control),
            report.version,
            report.revision,
            _milliseconds(report.configuration_age),
            _milliseconds(report.endpoints_age),
            report.endpoints_tag,
            [
                share.scope.value,
                share.routers,
                {
                    name: load
                    for endpoint, load in share.loads.items()
                    if (name := told.name(endpoint=endpoint)) is not None
                },
                {
                    service: [counts.requests, counts.retries]
                    for service, counts in share.retries.items()
                },
            ],
            report.ask.value,
            report.routers,
            report.domains,
            [
                (part, name)
                for part, endpoint in report.uses
                if (name := told.name(endpoint=endpoint)) is not None
            ],
            report.parts,
            [_peer_fields(peer) for peer in report.peers[:MAX_LISTED_PEERS]],
            told.encoded,
            {
                name: tokens
                for endpoint, tokens in share.queued_tokens.items()
                if (name := told.name(endpoint=endpoint)) is not None
            },
            [_peer_fields(owner) for owner in report.owners],
            report.leaving,
            encode_notes(notes=report.crashes),
            [
                (note.endpoint, round(1000 * note.age))
                for note in report.leaving_endpoints
            ],
            report.silent_owners,
            report.platform_lost,
            _evacuated_fields(report.evacuated),
        ]
    )


def decode_report(
    *, datagram: bytes, start_of: Callable[[EndpointName], EndpointId] = EndpointId
) -> PeerReport:
    """Turn a datagram back into a report.

    Args:
        datagram: The datagram.
        start_of: Returns the start of an endpoint that is known here. Routers of
            earlier releases tell names only: what they have in flight is counted
            there, which errs on the safe side, but where they say that parts of
            prompts are cached is not taken over, as that may be of an earlier start.

    Raises:
        ControlError: If it is no report of this format.
    """
    try:
        fields = orjson.loads(datagram)
        if fields[0] != FORMAT_VERSION:
            raise ControlError(
                f"a report of format {fields[0]!r}, not {FORMAT_VERSION}"
            )
        uses = fields[16]
        starts = _optional_field(fields, INCARNATIONS_INDEX, ())
        reading = _optional_field(fields, QUEUED_TOKENS_INDEX, {})
        endpoints = decode_endpoints(
            names=[*fields[12][2], *reading, *(name for _, name in uses)],
            incarnations=starts,
        )
        return PeerReport(
            router=RouterId(str(fields[1])),
            failure_domain=FailureDomain(str(fields[2])),
            link=int(fields[3]),
            incarnation=int(fields[4]),
            sequence=int(fields[5]),
            control=Address.parse(text=fields[6]),
            version=int(fields[7]),
            revision=Revision(int(fields[8])),
            configuration_age=_seconds(fields[9]),
            endpoints_age=_seconds(fields[10]),
            endpoints_tag=int(fields[11]),
            share=_share(
                fields[12],
                reading,
                endpoints if starts else _resolve(endpoints, start_of),
            ),
            ask=ReplyRequest(fields[13]),
            routers=int(fields[14]),
            domains=tuple(FailureDomain(str(domain)) for domain in fields[15]),
            uses=tuple((int(part), endpoints[name]) for part, name in uses),
            parts=int(fields[17]),
            peers=tuple(_peer(peer) for peer in fields[18]),
            owners=tuple(
                _peer(owner) for owner in _optional_field(fields, OWNERS_INDEX, ())
            ),
            leaving=bool(_optional_field(fields, LEAVING_INDEX, False)),
            crashes=decode_notes(fields=_optional_field(fields, CRASHES_INDEX, ())),
            leaving_endpoints=tuple(
                _leaving_note(note)
                for note in _optional_field(fields, LEAVING_ENDPOINTS_INDEX, ())
            ),
            silent_owners=tuple(
                RouterId(str(router))
                for router in _optional_field(fields, SILENT_OWNERS_INDEX, ())
            ),
            platform_lost=bool(_optional_field(fields, PLATFORM_LOST_INDEX, False)),
            evacuated=_evacuated(_optional_field(fields, EVACUATED_INDEX, None)),
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


def _resolve(
    endpoints: Mapping[str, EndpointId], start_of: Callable[[EndpointName], EndpointId]
) -> Mapping[str, EndpointId]:
    return {name: start_of(EndpointName(name)) for name in endpoints}


def _share(
    fields: Any, reading: Mapping[str, int], endpoints: Mapping[str, EndpointId]
) -> RequestTotals:
    scope, routers, loads, repeats = fields
    return RequestTotals(
        scope=TotalsScope(scope),
        routers=int(routers),
        loads={endpoints[name]: int(load) for name, load in loads.items()},
        queued_tokens={
            endpoints[name]: int(tokens) for name, tokens in reading.items()
        },
        retries={
            ServiceName(name): RetryCounts(
                requests=int(counts[0]), retries=int(counts[1])
            )
            for name, counts in repeats.items()
        },
    )


def _optional_field(fields: list[Any], index: int, default: Any) -> Any:
    """Return a field that came with a later release, or what it is without it."""
    return fields[index] if len(fields) > index else default


def _evacuated_fields(evacuated: EvacuationSnapshot | None) -> list[Any] | None:
    if evacuated is None:
        return None
    return [evacuated.revision, sorted(evacuated.domains)]


def _evacuated(fields: Any) -> EvacuationSnapshot | None:
    if fields is None:
        return None
    revision, domains = fields
    return EvacuationSnapshot(
        revision=Revision(int(revision)),
        domains=frozenset(FailureDomain(str(domain)) for domain in domains),
    )


def _leaving_note(fields: Any) -> LeavingNotice:
    endpoint, age = fields
    return LeavingNotice(
        endpoint=EndpointId(str(endpoint)), age=max(0, int(age)) / 1000
    )


def _peer_fields(peer: PeerInfo) -> list[Any]:
    return [peer.router, peer.failure_domain, str(peer.address), peer.link]


def _peer(fields: Any) -> PeerInfo:
    router, domain, address, link = fields
    return PeerInfo(
        router=RouterId(str(router)),
        failure_domain=FailureDomain(str(domain)),
        address=Address.parse(text=address),
        link=int(link),
    )


def _milliseconds(age: float) -> int | None:
    return round(1000 * age) if math.isfinite(age) else None


def _seconds(milliseconds: int | None) -> float:
    return float("inf") if milliseconds is None else max(0, milliseconds) / 1000
